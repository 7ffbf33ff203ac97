"""The balancer of one gateway: passes events to the decision modules, which request actions.

Failed attempts are retried with queue-gated retries, after Hong, Huang and Yan, "Impact of Retransmission
Mechanism on SIP Overload": the gap between two attempts doubles from T1, and a retry passes with a
probability that falls as the receiving endpoint's smoothed queueing delay rises from 0.2 T1 to T1. Endpoint
selection, concurrency limits, outlier ejection and slow start do not follow that paper; their modules
explain them.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from .concurrency_limit import ConcurrencyLimit
from .discovery_polling import DiscoveryPolling
from .endpoint import Endpoint
from .endpoint_index import EndpointIndex
from .endpoint_list import EndpointEntry, EndpointState, UpdateKind
from .endpoint_selection import EndpointSelector
from .feedback import Feedback
from .interface import Actions, AttemptResult, HealthCheckResult, IncomingRequest
from .load_report import LoadReports
from .load_shedding import LoadShedder
from .protocol_rules import ProtocolRules
from .request import Attempt, Request
from .request_lifecycle import RequestLifecycle
from .retry import RetryPolicy
from .settings import Settings, Tenant
from .slow_start import SlowStart
from .tenant_quota import TenantQuotas
from .throughput import Throughput
from .timer_registry import TimerRegistry
from .traffic_class import TrafficClass
from .wait_queue import WaitQueue

__all__ = ["Balancer"]

IMMUTABLE_SETTINGS = ("zone", "zones", "replica_index", "tick_ns", "poll_discovery", "load_report_fields")
"""Settings that can't change while the balancer runs."""


class Balancer:
    """Handles the events of one gateway; implements `EventHandler`.

    `seed` initializes its random number generator. The components are public for tests and tools.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        random = Random(seed).random
        self._now_ns = 0
        self.settings = settings
        self.classes = [TrafficClass(item) for item in settings.classes]
        self.tenants = TenantQuotas(settings.tenants)
        self.timers = TimerRegistry(actions)
        self.wait_queue = WaitQueue()
        self.throughput = Throughput(settings.classes)
        self.endpoints = EndpointIndex(settings)
        self.slow_start = SlowStart(settings, self.endpoints, self.throughput, random)
        self.rules = ProtocolRules(settings, self.slow_start)
        self.load_shedder = LoadShedder(random)
        self.limit = ConcurrencyLimit(self.endpoints, self.slow_start, self.wait_queue, random)
        self.selector = EndpointSelector(
            self.endpoints, self.limit, self.slow_start, self.rules, self.load_shedder, random
        )
        self.retries = RetryPolicy(settings, self.endpoints, self.limit, self.rules, self.selector, random)
        load_reports = LoadReports(settings.load_report_fields, self.throughput)
        self.feedback = Feedback(self.endpoints, self.limit, self.slow_start, self.throughput, load_reports)
        self.lifecycle = RequestLifecycle(
            settings,
            actions,
            self.timers,
            self.endpoints,
            self.rules,
            self.selector,
            self.retries,
            self.load_shedder,
            self.wait_queue,
            self.feedback,
        )
        self.polling = DiscoveryPolling(
            settings,
            random,
            call_later=lambda delay_ns: self.timers.set(self.polling, delay_ns),
            watch=lambda: actions.watch_endpoints(True),
        )

    # ---- Settings --------------------------------------------------------------------------------

    def on_settings(self, now_ns: int, settings: Settings) -> None:
        """Replace the settings; open requests keep the class settings with which they arrived."""
        now = self._advance_clock(now_ns)
        for name in IMMUTABLE_SETTINGS:
            if getattr(self.settings, name) != getattr(settings, name):
                raise ValueError(f"settings.{name} can't change")
        self.classes = self._carry_over_classes(settings)
        self.settings = settings
        self.throughput.apply_settings(settings.classes)
        self.slow_start.apply_settings(settings)
        self.rules.apply_settings(settings)
        self.retries.apply_settings(settings)
        self.lifecycle.apply_settings(settings)
        self.polling.apply_settings(settings)
        self.endpoints.apply_settings(settings)
        self._apply_endpoint_list(now)

    def on_tenants(self, now_ns: int, changes: Sequence[tuple[int, Tenant]]) -> None:
        """Apply changes of tenants."""
        now = self._advance_clock(now_ns)
        self.tenants.update(changes, self.settings.replicas, now)

    def _carry_over_classes(self, settings: Settings) -> list[TrafficClass]:
        """Return the classes of new settings, with the statistics of the old classes of the same names."""
        old_classes = {
            (item.name, item.idempotency): traffic_class
            for item, traffic_class in zip(self.settings.classes, self.classes, strict=True)
        }
        old_names = {item.name for item in self.settings.classes}
        classes = []
        for item in settings.classes:
            old_class = old_classes.get((item.name, item.idempotency))
            if old_class is None and item.name in old_names:
                raise ValueError(f"the idempotency of class {item.name!r} can't change")
            traffic_class = TrafficClass(item)
            if old_class is not None:
                traffic_class.copy_statistics_from(old_class)
            classes.append(traffic_class)
        return classes

    # ---- The endpoint list -----------------------------------------------------------------------

    def on_endpoint_list(self, now_ns: int, kind: UpdateKind, entries: Sequence[EndpointEntry]) -> None:
        """Handle a delta or snapshot from discovery, or a failed discovery call."""
        now = self._advance_clock(now_ns)
        if kind is UpdateKind.FAILED:
            self.polling.handle_failure(now)
            return
        changed = {entry.endpoint_id: self._update_endpoint(entry, now) for entry in entries}
        if kind is not UpdateKind.DELTA:
            missing = [
                endpoint
                for endpoint_id, endpoint in self.endpoints.by_id.items()
                if endpoint_id not in changed
            ]
            for endpoint in missing:
                endpoint.state = EndpointState.GONE
                changed[endpoint.endpoint_id] = endpoint
        self.endpoints.remove_gone(changed.values())
        self.endpoints.reindex(changed.values())
        self._apply_endpoint_list(now)
        if kind is UpdateKind.CACHED:
            self.polling.start(now)
        else:
            self.polling.handle_success()

    def _update_endpoint(self, entry: EndpointEntry, now: int) -> Endpoint:
        endpoint = self.endpoints.upsert(entry)
        if entry.started_ns and entry.started_ns != endpoint.started_at:
            self.slow_start.begin(endpoint, entry.started_ns, now)
        return endpoint

    def _apply_endpoint_list(self, now: int) -> None:
        """Adjust limits and attempts to the indexed endpoints, and send queued requests."""
        for pool in self.endpoints.pools():
            self.limit.rescale(pool, now)
        self.lifecycle.release_unavailable()
        self.lifecycle.dispatch_queued(now)

    # ---- Requests --------------------------------------------------------------------------------

    def on_request(self, now_ns: int, incoming: IncomingRequest) -> None:
        """Handle a request from a client."""
        now = self._advance_clock(now_ns)
        self._validate(incoming)
        quotas = self.tenants.quotas
        request = Request(
            incoming.request_id,
            self.classes[incoming.class_index],
            now,
            incoming.timeout_ns,
            incoming.cost_hint_ns,
            quotas[incoming.tenant_index] if quotas else None,
        )
        request.is_over_quota = self._is_over_quota(request, now)
        self.lifecycle.admit(request, now)

    def on_response_started(self, now_ns: int, request_id: int, attempt: int) -> None:
        """Handle the start of a streamed response."""
        self._advance_clock(now_ns)
        self.lifecycle.start_response(request_id, attempt)

    def on_attempt_ended(self, now_ns: int, result: AttemptResult) -> None:
        """Handle the end of an attempt."""
        self.lifecycle.end_attempt(result, self._advance_clock(now_ns))

    def on_client_gone(self, now_ns: int, request_id: int) -> None:
        """Handle the disconnect of the client of a request, which then needs no response."""
        self._advance_clock(now_ns)
        self.lifecycle.abandon(request_id)

    def _validate(self, incoming: IncomingRequest) -> None:
        """Raise ValueError for an unknown class or tenant, or for a request ID that is in use."""
        if not 0 <= incoming.class_index < len(self.classes):
            raise ValueError(f"class {incoming.class_index} is not one of the {len(self.classes)} classes")
        tenants = len(self.tenants.quotas)
        if incoming.tenant_index and not 0 <= incoming.tenant_index < tenants:
            raise ValueError(f"tenant {incoming.tenant_index} is not one of the {tenants} tenants")
        if incoming.request_id in self.lifecycle.requests:
            raise ValueError(f"request {incoming.request_id} is already open")

    def _is_over_quota(self, request: Request, now: int) -> bool:
        """Whether a request exceeds this gateway's share of its tenant's quota.

        No request counts as over quota if such requests keep their full weight. Otherwise they have little
        weight: they are sent only if there is capacity at once, and are otherwise rejected instead of queued.
        """
        tenant = request.tenant
        if tenant is None or self.settings.over_quota_weight >= 1.0:
            return False
        return tenant.refill(self.settings.replicas, now) < 1.0

    # ---- Other events ----------------------------------------------------------------------------

    def on_timer(self, now_ns: int, token: int) -> None:
        """Handle the expiry of a timer."""
        now = self._advance_clock(now_ns)
        owner = self.timers.expire(token)
        if isinstance(owner, Request):
            self.lifecycle.handle_request_timer(owner, now)
        elif isinstance(owner, Attempt):
            self.lifecycle.handle_attempt_timer(owner, now)
        elif owner is not None:
            owner.poll(now)

    def on_health_checked(self, now_ns: int, result: HealthCheckResult) -> None:  # noqa: ARG002 - unused
        """Ignore the result of a health check; estimates are based on attempts only."""
        self._advance_clock(now_ns)

    def on_gossip(self, now_ns: int, peer: int, content: bytes) -> None:  # noqa: ARG002 - unused
        """Ignore a gossip message; decisions do not depend on other gateways."""
        self._advance_clock(now_ns)

    def _advance_clock(self, now_ns: int) -> int:
        """Advance the clock to the time of an event; it never goes back, even if the caller's clock does."""
        if now_ns > self._now_ns:
            self._now_ns = now_ns
        return self._now_ns
