"""Dispatches records to the balancer instances of one process and collects their actions."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, NamedTuple

from balancer import (
    AttemptResult,
    Balancer,
    EndpointEntry,
    EventHandler,
    HealthCheckResult,
    IncomingRequest,
    Settings,
    UpdateKind,
)
from balancer.settings_parser import SettingsError, parse_settings

from .decoder import decode_batch, outcome_of, update_kind_of
from .records import (
    AttemptEnded,
    ClientGone,
    EndpointListPage,
    EndpointListUpdated,
    GossipReceived,
    HealthChecked,
    InstanceStarted,
    InstanceStopped,
    RequestArrived,
    ResponseStarted,
    TimerExpired,
    WireError,
)
from .reply import Reply, ReplyActions

__all__ = ["BalancerFactory", "InstanceHost"]

BalancerFactory = Callable[[Settings, int, ReplyActions], EventHandler]
"""Creates a balancer from its settings, random seed and actions."""

# Bit masks for `RequestArrived.flags`.
HAS_COST_HINT = 1
IS_RETRY = 2
IS_WRITE = 4


class _Instance(NamedTuple):
    settings: Settings
    balancer: EventHandler


class InstanceHost:
    """Balancer instances of one process; they share the reply buffer and the endpoint list pages."""

    def __init__(self, make_balancer: BalancerFactory = Balancer) -> None:
        self._make_balancer = make_balancer
        self._reply = Reply()
        self._instances: dict[int, _Instance] = {}
        self._pages: dict[int, list[EndpointEntry]] = {}
        # A dispatch table, because a chain of type tests for each record slows down with every record type.
        self._handlers: dict[type[Any], Callable[[int, Any], None]] = {
            InstanceStarted: self._start_instance,
            InstanceStopped: self._stop_instance,
            EndpointListPage: self._store_page,
            EndpointListUpdated: self._on_endpoint_list_updated,
            RequestArrived: self._on_request_arrived,
            ResponseStarted: self._on_response_started,
            AttemptEnded: self._on_attempt_ended,
            ClientGone: self._on_client_gone,
            TimerExpired: self._on_timer_expired,
            HealthChecked: self._on_health_checked,
            GossipReceived: self._on_gossip_received,
        }

    def handle_batch(self, now_ns: int, body: bytes, count: int) -> bytes:
        """Handle the records of one batch and return the reply frame.

        An exception in a balancer is reported as a fault of its instance; malformed input raises `WireError`.
        """
        handlers = self._handlers
        for record in decode_batch(body, count):
            try:
                handlers[type(record)](now_ns, record)
            except WireError:
                raise
            except Exception as error:
                traceback.print_exc()
                # Field 0 is the instance in all records but `EndpointListPage`, whose handler raises nothing.
                instance_number = record[0]
                actions = ReplyActions(instance_number, self._reply)
                actions.report_fault(f"{type(error).__name__}: {error}")
        return self._reply.take()

    def _get_instance(self, instance_number: int) -> _Instance:
        try:
            return self._instances[instance_number]
        except KeyError:
            raise WireError(f"event for unknown instance {instance_number}") from None

    def _store_page(self, _now_ns: int, record: EndpointListPage) -> None:
        self._pages[record.page] = record.entries

    def _start_instance(self, _now_ns: int, record: InstanceStarted) -> None:
        try:
            settings = parse_settings(record.settings)
        except SettingsError as error:
            raise WireError(str(error)) from None
        actions = ReplyActions(record.instance, self._reply)
        balancer = self._make_balancer(settings, record.seed, actions)
        self._instances[record.instance] = _Instance(settings, balancer)

    def _stop_instance(self, _now_ns: int, record: InstanceStopped) -> None:
        self._get_instance(record.instance)
        del self._instances[record.instance]

    def _on_endpoint_list_updated(self, now_ns: int, event: EndpointListUpdated) -> None:
        kind = update_kind_of(event.update_kind)
        entries: list[EndpointEntry] = []
        if kind is not UpdateKind.FAILED:
            if event.page not in self._pages:
                raise WireError(f"unknown endpoint list page {event.page}")
            entries = self._pages[event.page]
        self._get_instance(event.instance).balancer.on_endpoint_list(now_ns, kind, entries)

    def _on_request_arrived(self, now_ns: int, event: RequestArrived) -> None:
        (
            instance_number,
            request_id,
            class_index,
            tenant_index,
            routing_key,
            timeout_ns,
            cost_hint_ns,
            flags,
        ) = event
        settings, balancer = self._get_instance(instance_number)
        if class_index >= len(settings.classes):
            raise WireError(f"unknown request class {class_index}")
        if tenant_index and tenant_index >= len(settings.tenants):
            raise WireError(f"unknown tenant {tenant_index}")
        incoming = IncomingRequest(
            request_id,
            class_index,
            tenant_index,
            routing_key,
            timeout_ns,
            cost_hint_ns if flags & HAS_COST_HINT else 0,
            bool(flags & IS_RETRY),
            bool(flags & IS_WRITE),
        )
        balancer.on_request(now_ns, incoming)

    def _on_response_started(self, now_ns: int, event: ResponseStarted) -> None:
        balancer = self._get_instance(event.instance).balancer
        balancer.on_response_started(now_ns, event.request_id, event.attempt)

    def _on_attempt_ended(self, now_ns: int, event: AttemptEnded) -> None:
        instance_number, request_id, attempt, endpoint_id, outcome_code, elapsed_ns, is_final, load_report = (
            event
        )
        balancer = self._get_instance(instance_number).balancer
        result = AttemptResult(
            request_id,
            attempt,
            endpoint_id,
            outcome_of(outcome_code),
            elapsed_ns,
            bool(is_final),
            load_report,
        )
        balancer.on_attempt_ended(now_ns, result)

    def _on_client_gone(self, now_ns: int, event: ClientGone) -> None:
        self._get_instance(event.instance).balancer.on_client_gone(now_ns, event.request_id)

    def _on_timer_expired(self, now_ns: int, event: TimerExpired) -> None:
        self._get_instance(event.instance).balancer.on_timer(now_ns, event.token)

    def _on_health_checked(self, now_ns: int, event: HealthChecked) -> None:
        instance_number, endpoint_id, outcome_code, elapsed_ns, load_report = event
        balancer = self._get_instance(instance_number).balancer
        result = HealthCheckResult(endpoint_id, outcome_of(outcome_code), elapsed_ns, load_report)
        balancer.on_health_checked(now_ns, result)

    def _on_gossip_received(self, now_ns: int, event: GossipReceived) -> None:
        self._get_instance(event.instance).balancer.on_gossip(now_ns, event.peer, event.content)
