"""Transition table of the client connection state machine."""

from __future__ import annotations

import logging

import pytest

from gateway.client.connection_state import TRANSITIONS, ConnectionEvent, ConnectionLifecycle, ConnectionState


def lifecycle_after(*events: ConnectionEvent) -> ConnectionLifecycle:
    """The lifecycle of a connection after these events."""
    lifecycle = ConnectionLifecycle()
    for event in events:
        lifecycle.handle(event)
    return lifecycle


@pytest.mark.parametrize(
    ("events", "state"),
    [
        ([], ConnectionState.OPEN),
        ([ConnectionEvent.LAST_REQUEST], ConnectionState.LAST_REQUEST_READ),
        ([ConnectionEvent.CLIENT_ENDED], ConnectionState.HALF_CLOSED),
        ([ConnectionEvent.GATEWAY_ENDED], ConnectionState.LINGERING),
        ([ConnectionEvent.CLIENT_ENDED, ConnectionEvent.GATEWAY_ENDED], ConnectionState.BOTH_ENDED),
        ([ConnectionEvent.GATEWAY_ENDED, ConnectionEvent.CLIENT_ENDED], ConnectionState.BOTH_ENDED),
        ([ConnectionEvent.LAST_REQUEST, ConnectionEvent.CLIENT_ENDED], ConnectionState.HALF_CLOSED),
        ([ConnectionEvent.LOST], ConnectionState.CLOSED),
    ],
)
def test_the_state_tells_which_side_has_closed(events: list[ConnectionEvent], state: ConnectionState) -> None:
    lifecycle = lifecycle_after(*events)
    assert lifecycle.state is state
    assert lifecycle.is_open == (not events)
    assert lifecycle.client_has_ended == (ConnectionEvent.CLIENT_ENDED in events)
    assert lifecycle.gateway_has_ended == (ConnectionEvent.GATEWAY_ENDED in events)


@pytest.mark.parametrize("state", ConnectionState)
@pytest.mark.parametrize("event", ConnectionEvent)
def test_an_illegal_event_is_logged_and_ignored(
    state: ConnectionState, event: ConnectionEvent, caplog: pytest.LogCaptureFixture
) -> None:
    lifecycle = ConnectionLifecycle()
    lifecycle.state = state
    with caplog.at_level(logging.ERROR, "gateway.client.connection"):
        lifecycle.handle(event)
    assert lifecycle.state is TRANSITIONS[state].get(event, state)
    assert bool(caplog.records) == (event not in TRANSITIONS[state])


def test_no_event_reopens_a_connection() -> None:
    for state, transitions in TRANSITIONS.items():
        if state is not ConnectionState.OPEN:
            assert ConnectionState.OPEN not in transitions.values()
    assert set(TRANSITIONS[ConnectionState.CLOSED].values()) == {ConnectionState.CLOSED}
