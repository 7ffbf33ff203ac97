"""Model of a fleet: gateways and endpoints on one simulated clock, driven by the events of a scenario."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from balancer import (
    MS,
    SECOND,
    EndpointEntry,
    EndpointId,
    EndpointState,
    Idempotency,
    Limits,
    Outcome,
    RequestClass,
    Settings,
)

from .endpoint import SimulatedEndpoint
from .gateway import OnAttemptEnd, SimulatedGateway
from .overload_check import OverloadResult, measure_overload
from .scenario import Scenario

__all__ = ["SimulatedFleet", "run_scenario"]

OBSERVED_ENDPOINT = "cold"
"""ID of the observed endpoint; it is fixed because the balancers' choices depend on endpoint IDs."""
START_NS = 100 * SECOND
"""Start time of the observed endpoint; far from 0, so that a start time of 0 is long past."""
BEFORE_START_NS = 8 * SECOND
"""How long the gateways run before the observed endpoint starts."""
CHANGE_NS = START_NS + 4 * SECOND
"""Time at which the load surges or the other endpoints are removed."""
DISCOVERY_DELAY_NS = 100 * MS
"""Longest delay until a gateway gets the endpoint list with the observed endpoint."""
NETWORK_DELAY_NS = MS
"""One-way delay between a gateway and an endpoint."""
RELATIVE_GATEWAY_LOADS = (0.4, 0.6, 0.8, 1.0, 1.0, 1.3, 4.0)
"""Relative loads from which one is drawn for each gateway; some gateways get several times the mean."""


def _make_settings(scenario: Scenario, number: int) -> Settings:
    """Return the balancer settings of gateway `number`."""
    request_class = RequestClass(
        "c",
        latency_objective_ns=8 * scenario.mean_work_ns,
        max_timeout_ns=20 * scenario.mean_work_ns,
        idempotency=Idempotency.SAFE,
        late_weight=0.3,
    )
    return Settings(
        zones=scenario.zones,
        zone=number % scenario.zones,
        classes=(request_class,),
        limits=Limits(max_attempts=5),
        replica_index=number,
        replicas=scenario.gateways,
        rules=scenario.rules,
        load_report_fields=("inflight",) if scenario.load_reports else (),
    )


class SimulatedFleet:
    """Simulated gateways and endpoints on one clock; implements `Network` for its gateways."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.now_ns = START_NS if scenario.gateways_start else START_NS - BEFORE_START_NS
        self.served = 0
        """Number of requests whose client received its response."""
        self._received = 0
        self._scenario = scenario
        self._random = Random(seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []  # heap: time, sequence number, callback
        self._sequence_numbers = count()
        self._arrivals_ns: list[int] = []  # arrival times of requests at the observed endpoint
        names = [OBSERVED_ENDPOINT] + [f"{self._random.getrandbits(48):x}" for _ in range(scenario.endpoints)]
        self._zones: dict[EndpointId, int] = {
            name: number % scenario.zones for number, name in enumerate(names)
        }
        # The sort is stable, so the observed endpoint stays first.
        names_by_zone = sorted(names, key=lambda name: self._zones[name])
        self._starting = names_by_zone[: 1 + round(scenario.starting_share * scenario.endpoints)]
        self._endpoints: dict[EndpointId, SimulatedEndpoint] = {
            name: self._make_endpoint(name in self._starting) for name in names
        }
        self._gateways = [
            SimulatedGateway(self, _make_settings(scenario, number), self._random.getrandbits(32))
            for number in range(scenario.gateways)
        ]
        self._schedule()

    def _make_endpoint(self, is_starting: bool) -> SimulatedEndpoint:
        scenario = self._scenario
        if is_starting:
            return SimulatedEndpoint(scenario, scenario.starting_speed, START_NS)
        speed = 1.0 if scenario.starting_speed == 1.0 else self._random.choice((0.6, 1.0, 1.4))
        return SimulatedEndpoint(scenario, speed, None)

    def _schedule(self) -> None:
        """Schedule the initial events of the scenario."""
        scenario, rng = self._scenario, self._random
        loads = [rng.choice(RELATIVE_GATEWAY_LOADS) for _ in self._gateways]
        requests_per_s = scenario.load * sum(
            endpoint.capacity_per_s(0)
            for name, endpoint in self._endpoints.items()
            if scenario.restarted or name not in self._starting
        )
        for gateway, load in zip(self._gateways, loads, strict=True):
            mean_gap_ns = SECOND * sum(loads) / (load * requests_per_s)
            self._publish(gateway, with_starting=self.now_ns >= START_NS)
            self.call_later(
                int(rng.expovariate(1 / mean_gap_ns)), partial(self._receive_request, gateway, mean_gap_ns)
            )
            if not scenario.gateways_start:
                delay_ns = START_NS - self.now_ns + int(rng.random() * DISCOVERY_DELAY_NS)
                self.call_later(delay_ns, partial(self._publish, gateway))
            if scenario.others_leave:
                self.call_later(CHANGE_NS - self.now_ns, partial(self._publish, gateway, with_others=False))
        if scenario.rolling_restarts:
            for number, gateway in enumerate(self._gateways):
                delay_ns = START_NS - self.now_ns + (1 + number % 10) * SECOND // 2
                self.call_later(delay_ns, partial(self._restart, gateway))

    # ---- Events of the scenario --------------------------------------------------------------------

    def _publish(
        self, gateway: SimulatedGateway, with_starting: bool = True, with_others: bool = True
    ) -> None:
        """Send a gateway a snapshot; the flags select the endpoints that start and the others."""
        entries = []
        for name, endpoint in self._endpoints.items():
            is_starting = name in self._starting
            if not ((with_starting or self._scenario.restarted) if is_starting else with_others):
                continue
            weight = endpoint.speed if self._scenario.speed_in_weight else 1.0
            started_ns = START_NS if with_starting and is_starting else 0
            entries.append(
                EndpointEntry(name, self._zones[name], 0, 0, EndpointState.READY, weight, started_ns)
            )
        gateway.update_endpoints(entries)

    def _restart(self, gateway: SimulatedGateway) -> None:
        gateway.start(self._random.getrandbits(32))
        self._publish(gateway)

    def _receive_request(self, gateway: SimulatedGateway, mean_gap_ns: float) -> None:
        """Hand a new request to a gateway and schedule the next one."""
        self._received += 1
        request_id = self._received
        surge = self._scenario.surge_factor if self.now_ns > CHANGE_NS else 1.0
        gap_ns = int(self._random.expovariate(surge / mean_gap_ns))
        self.call_later(gap_ns, partial(self._receive_request, gateway, mean_gap_ns))
        gateway.receive(request_id)

    # ---- Network -----------------------------------------------------------------------------------

    def call_later(self, delay_ns: int, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_ns`; callbacks due at the same time run in the order of scheduling."""
        heappush(self._events, (self.now_ns + delay_ns, next(self._sequence_numbers), callback))

    def send(self, endpoint_id: EndpointId, timeout_ns: int, on_end: OnAttemptEnd) -> None:
        """Send an attempt to an endpoint and schedule its outcome."""
        endpoint = self._endpoints[endpoint_id]
        arrival_ns = self.now_ns + NETWORK_DELAY_NS
        if endpoint_id == OBSERVED_ENDPOINT and self.now_ns >= START_NS:
            self._arrivals_ns.append(arrival_ns)
        end_ns = endpoint.start_request(arrival_ns, self._random.gammavariate(4, 0.25))
        if end_ns is None:
            self.call_later(2 * NETWORK_DELAY_NS, partial(on_end, Outcome.OVERLOADED, ()))
        else:
            load_report = (float(endpoint.reported_in_flight),) if self._scenario.load_reports else ()
            delay_ns = end_ns + NETWORK_DELAY_NS - self.now_ns
            self.call_later(delay_ns, partial(on_end, Outcome.OK, load_report))
        self.call_later(timeout_ns, partial(on_end, Outcome.TIMEOUT, ()))

    def count_served(self) -> None:
        """Count a request whose client has received its response."""
        self.served += 1

    # ---- The run -----------------------------------------------------------------------------------

    def run(self) -> OverloadResult:
        """Run the scenario to its end and return the load on the observed endpoint."""
        end_ns = START_NS + self._scenario.seconds * SECOND
        while self._events and self._events[0][0] <= end_ns:
            self.now_ns, _, callback = heappop(self._events)
            callback()
        return measure_overload(
            self._endpoints[OBSERVED_ENDPOINT],
            self._scenario.rules,
            self._arrivals_ns,
            START_NS,
            self._scenario.seconds,
            self.served / max(1, self._received),
        )


def run_scenario(scenario: Scenario, seed: int) -> OverloadResult:
    """Run a scenario with one seed."""
    return SimulatedFleet(scenario, seed).run()
