"""Responses of discovery that are not the final one to a call, and where the final one ends."""

from __future__ import annotations

import asyncio
import json

import pytest

from balancer import UpdateKind
from gateway.discovery.errors import DiscoveryCallError
from gateway.discovery.response_reader import ResponseReader
from tests.support.discovery import ENDPOINT_ENTRY, DiscoveryHarness
from tests.support.loopback import wait_until

LIST = json.dumps({"generation": 44, "reset": True, "instances": [ENDPOINT_ENTRY]}).encode()
LIST_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST), LIST)
INTERIM_RESPONSE = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


async def fetch(first: bytes, rest: bytes = b"") -> tuple[UpdateKind, int]:
    """Answer a fetch; return the update and its number of endpoints.

    `rest` is sent once `first`, which has to contain a part of the list, was read.
    """
    harness = await DiscoveryHarness.start()
    harness.discovery.fetch()
    _, writer = await harness.server.calls.get()
    used_bytes = harness.budget.used_bytes
    writer.write(first)
    await wait_until(lambda: harness.budget.used_bytes > used_bytes or not harness.updates.empty())
    writer.write(rest)
    kind, endpoints = await asyncio.wait_for(harness.updates.get(), 2)
    return kind, len(endpoints)


def feed_in_parts(reader: ResponseReader, data: bytes, part_bytes: int) -> None:
    for start in range(0, len(data), part_bytes):
        reader.feed(data[start : start + part_bytes])


@pytest.mark.parametrize("missing_bytes", [1, len(LIST) // 2, len(LIST) - 1])
async def test_an_interim_response_does_not_end_a_fetch(missing_bytes: int) -> None:
    """Found beside review/6: the end of an interim response was taken for the end of the list."""
    first = INTERIM_RESPONSE + LIST_RESPONSE[:-missing_bytes]
    assert await fetch(first, LIST_RESPONSE[-missing_bytes:]) == (UpdateKind.SNAPSHOT, 1)


def test_a_response_is_complete_with_its_last_byte() -> None:
    for part_bytes in (1, 100, 4096):
        reader = ResponseReader(splits_lines=False)
        feed_in_parts(reader, INTERIM_RESPONSE + LIST_RESPONSE[:-1], part_bytes)
        assert not reader.is_complete
        reader.feed(LIST_RESPONSE[-1:])
        assert reader.is_complete
        assert reader.buffered == LIST


@pytest.mark.parametrize("part_bytes", [1, 4096])
@pytest.mark.parametrize(
    "first",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 204 No\r\n\r\n",
        b"HTTP/1.1 099 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 104 Early\r\nContent-Length: 1\r\n\r\n ",
        b"HTTP/1.1 104 Early\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n \r\n0\r\n\r\n",
    ],
)
def test_a_list_behind_another_final_response_is_not_read(first: bytes, part_bytes: int) -> None:
    """Found beside review/6: of several responses in one read, the status of the last one counted."""
    reader = ResponseReader(splits_lines=False)
    with pytest.raises(DiscoveryCallError):
        feed_in_parts(reader, first + LIST_RESPONSE, part_bytes)
    assert LIST not in reader.buffered


async def test_a_second_response_to_a_fetch_is_ignored() -> None:
    """Found beside review/6: its body was appended to that of the first one, so that neither was read."""
    assert await fetch(LIST_RESPONSE + LIST_RESPONSE) == (UpdateKind.SNAPSHOT, 1)
