"""Settings of a balancer, validated on construction.

An invalid value raises ValueError with the name of its field. The message names `score_weights`,
`penalties` and `weight_mode` by their keys in the configuration: `goal`, `prices` and `weights`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .idempotency import DeduplicationScope, Idempotency
from .units import MS, SECOND

__all__ = ["Limits", "RequestClass", "Rules", "ScorePenalties", "ScoreWeights", "Settings", "Tenant"]


def _require_positive(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not value > 0:
            raise ValueError(f"{owner}.{name} must be above zero, not {value!r}")


def _require_non_negative(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not value >= 0:
            raise ValueError(f"{owner}.{name} must not be negative, not {value!r}")


def _require_share(owner: str, **values: float) -> None:
    for name, value in values.items():
        if not 0 <= value <= 1:
            raise ValueError(f"{owner}.{name} must be between 0 and 1, not {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: its weight, latency objective and idempotency."""

    name: str
    latency_objective_ns: int
    """Latency up to which a response has its full weight."""
    max_timeout_ns: int
    """Maximum timeout that clients set for this class."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    """Time for which endpoints recognize a repeated idempotency key."""
    priority_weight: float = 1.0
    """Weight of a response within the latency objective."""
    late_weight: float = 0.0
    """Weight of a response after the latency objective, as a share of `priority_weight`."""
    streaming: bool = False
    objective_cost_factor: float = 0.0
    """Multiple of a request's cost hint that is added to its latency objective, up to the deadline."""

    def __post_init__(self) -> None:
        owner = f"class {self.name!r}"
        _require_positive(
            owner, latency_objective_ns=self.latency_objective_ns, max_timeout_ns=self.max_timeout_ns
        )
        _require_non_negative(
            owner,
            priority_weight=self.priority_weight,
            late_weight=self.late_weight,
            objective_cost_factor=self.objective_cost_factor,
        )
        if self.idempotency is Idempotency.IDEMPOTENCY_KEY:
            _require_positive(owner, deduplication_window_ns=self.deduplication_window_ns)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_per_s: float = 0.0
    """Requests per second with full weight, over all gateways; 0 for no quota."""
    traffic_share: float = 0.0
    """Share of all traffic that comes from this tenant; 0 if unknown."""

    def __post_init__(self) -> None:
        owner = f"tenant {self.name!r}"
        _require_non_negative(owner, quota_per_s=self.quota_per_s, traffic_share=self.traffic_share)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits and optional features of the deployment."""

    max_attempts: int = 3
    cancellation: bool = True
    """Whether attempts may be cancelled."""
    hedging: bool = True
    """Whether a request may have more than one attempt in flight."""
    health_checks: bool = False
    gossip: bool = False
    """Whether gateways may send each other messages."""
    retry_after: bool = False
    """Whether rejections may carry a Retry-After value."""
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 250 * MS
    idle_timeout_ns: int = 0
    """Time after which endpoints close an idle connection; 0 if unknown."""
    streams_per_connection: int = 1
    max_open_requests: int = 0
    """Maximum number of open requests; 0 for no limit other than the gateway's own.

    The gateway rejects further requests without passing them to its balancer.
    """
    cpu_us_per_s: float = 0.0
    """CPU time available to a gateway, in microseconds per second; 0 if unknown."""
    cpu_us_per_request: float = 0.0

    def __post_init__(self) -> None:
        _require_positive(
            "limits", max_attempts=self.max_attempts, streams_per_connection=self.streams_per_connection
        )
        _require_non_negative(
            "limits",
            max_retry_after_ns=self.max_retry_after_ns,
            idle_timeout_ns=self.idle_timeout_ns,
            connect_timeout_ns=self.connect_timeout_ns,
            max_open_requests=self.max_open_requests,
            cpu_us_per_s=self.cpu_us_per_s,
            cpu_us_per_request=self.cpu_us_per_request,
        )


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the operators' rules."""

    response_slack_ns: int = 5 * MS
    """Time after the deadline by which the final response must be sent."""
    drain_grace_ns: int = SECOND
    """Time for which a draining endpoint may still get attempts after the gateway was notified."""
    poll_interval_ns: int = 10 * SECOND
    """Maximum age of the endpoint list where discovery is polled."""
    slow_start_initial_share: float = 0.33
    """Share of its full capacity that an endpoint has when it starts."""
    slow_start_window_ns: int = 10 * SECOND
    """Time in which an endpoint's capacity share grows from the initial share to 1."""
    overload_factor: float = 3.0
    """Multiple of its current capacity at which an endpoint in slow start is overloaded."""
    overload_window_ns: int = SECOND
    """Time over which the load of an endpoint in slow start is measured."""

    def __post_init__(self) -> None:
        _require_share("rules", slow_start_initial_share=self.slow_start_initial_share)
        _require_positive(
            "rules",
            poll_interval_ns=self.poll_interval_ns,
            overload_factor=self.overload_factor,
            overload_window_ns=self.overload_window_ns,
            slow_start_initial_share=self.slow_start_initial_share,
        )


@dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Weights of the components of the operators' score, 0 if unknown, and the parameter `top_nines`."""

    overall: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    nines: float = 0.0
    top_nines: float = 3.0

    def __post_init__(self) -> None:
        _require_non_negative(
            "goal",
            overall=self.overall,
            worst_window=self.worst_window,
            nines=self.nines,
            worst_class=self.worst_class,
            worst_tenant=self.worst_tenant,
        )
        _require_positive("goal", top_nines=self.top_nines)


@dataclass(frozen=True, slots=True)
class ScorePenalties:
    """Penalties in the operators' score, in units of the mean priority weight; 0 if unknown."""

    cross_zone: float = 0.0
    """Penalty for an attempt at an endpoint of another zone."""
    waste: float = 0.0
    """Penalty for work that led to no served response, as a share of all work."""
    health_check: float = 0.0
    handshake: float = 0.0
    """Penalty for a new connection."""
    connection: float = 0.0
    """Penalty for each hundred open connections at an endpoint."""
    late_failure: float = 0.0
    """Penalty for a request that ends unserved after its latency objective."""

    def __post_init__(self) -> None:
        _require_non_negative(
            "prices",
            cross_zone=self.cross_zone,
            waste=self.waste,
            health_check=self.health_check,
            handshake=self.handshake,
            connection=self.connection,
            late_failure=self.late_failure,
        )


WEIGHT_MODES = ("off", "nominal", "rough", "live")


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the balancer of one gateway."""

    zone: int
    """Index of the gateway's own zone, from 0."""
    zones: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    penalties: ScorePenalties = field(default_factory=ScorePenalties)
    score_weights: ScoreWeights = field(default_factory=ScoreWeights)
    replica_index: int = 0
    """Index of this gateway among the replicas, from 0."""
    replicas: int = 1
    tick_ns: int = MS
    """Resolution of the timers."""
    poll_discovery: bool = False
    """Whether the gateway polls for the endpoint list; otherwise discovery pushes it."""
    load_report_fields: tuple[str, ...] = ()
    load_report_inline: bool = False
    """Whether responses carry load reports."""
    over_quota_weight: float = 1.0
    """Weight of a request over its tenant's quota, as a share of its priority weight."""
    warm_keys: bool = False
    """Whether an endpoint serves a routing key faster if it has served that key before."""
    weight_by_work: bool = False
    """Whether a request's priority weight grows with its work."""
    weight_mode: str = "off"
    """Meaning of the weights in the endpoint list, one of `WEIGHT_MODES`; validated and otherwise unused.

    The weight of each entry counts in every mode.
    """
    machine_types: int = 0
    clients_mark_retries: bool = False

    def __post_init__(self) -> None:
        if self.weight_mode not in WEIGHT_MODES:
            raise ValueError(
                f"settings.weights must be one of {', '.join(WEIGHT_MODES)}, not {self.weight_mode!r}"
            )
        _require_non_negative(
            "settings", replica_index=self.replica_index, over_quota_weight=self.over_quota_weight
        )
        _require_positive("settings", zones=self.zones, replicas=self.replicas, tick_ns=self.tick_ns)
        if not 0 <= self.zone < self.zones:
            raise ValueError(f"settings.zone {self.zone} is not one of {self.zones} zones")
        if not self.classes:
            raise ValueError("settings.classes must name at least one class")
