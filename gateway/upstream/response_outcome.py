"""Maps the response of an endpoint to the outcome of its attempt."""

from __future__ import annotations

from http import HTTPStatus

from balancer import Outcome

from ..messages import LOAD_REPORT_HEADER, Response

__all__ = ["classify_response", "extract_load_report"]

STATUS_OK = HTTPStatus.OK
BAD_REQUEST_STATUSES = frozenset((HTTPStatus.BAD_REQUEST, HTTPStatus.NOT_FOUND))
"""Statuses that report a fault of the request itself: another endpoint would respond the same."""
OVERLOAD_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT))
"""Statuses that mean overload if X-Not-Processed states that the request was not processed."""
NOT_PROCESSED_HEADER = b"x-not-processed"


def classify_response(response: Response) -> Outcome:
    """Return the outcome that the protocol assigns to a response.

    After ERROR the request may have been processed.
    """
    if response.status == STATUS_OK:
        return Outcome.OK
    if response.status in OVERLOAD_STATUSES:
        not_processed = [value for name, value in response.headers if name.lower() == NOT_PROCESSED_HEADER]
        if not_processed == [b"1"]:
            return Outcome.OVERLOADED
    return Outcome.BAD_REQUEST if response.status in BAD_REQUEST_STATUSES else Outcome.ERROR


def extract_load_report(response: Response) -> bytes:
    """Return the unparsed value of the load report header; empty if the response has none."""
    return next((value for name, value in response.headers if name.lower() == LOAD_REPORT_HEADER), b"")
