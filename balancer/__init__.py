"""Decision logic of an HTTP load balancer; performs no I/O."""

from .balancer import Balancer
from .endpoint_list import EndpointEntry, EndpointId, EndpointState, UpdateKind
from .idempotency import DeduplicationScope, Idempotency
from .interface import Actions, AttemptResult, EventHandler, HealthCheckResult, IncomingRequest
from .outcomes import NOT_PROCESSED, EndReason, Outcome
from .settings import Limits, RequestClass, Rules, ScorePenalties, ScoreWeights, Settings, Tenant
from .units import MS, SECOND

__all__ = [
    "MS",
    "NOT_PROCESSED",
    "SECOND",
    "Actions",
    "AttemptResult",
    "Balancer",
    "DeduplicationScope",
    "EndReason",
    "EndpointEntry",
    "EndpointId",
    "EndpointState",
    "EventHandler",
    "HealthCheckResult",
    "Idempotency",
    "IncomingRequest",
    "Limits",
    "Outcome",
    "RequestClass",
    "Rules",
    "ScorePenalties",
    "ScoreWeights",
    "Settings",
    "Tenant",
    "UpdateKind",
]
