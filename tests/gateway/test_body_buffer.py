"""Tests of the buffer of a message body."""

from __future__ import annotations

import pytest

from gateway.body_buffer import MIN_BLOCK_BYTES, BodyBuffer


@pytest.mark.parametrize(
    "part_bytes", [1, 100, MIN_BLOCK_BYTES - 1, MIN_BLOCK_BYTES, 2 * MIN_BLOCK_BYTES + 1, 99_999]
)
def test_the_content_is_what_was_appended(part_bytes: int) -> None:
    body = bytes(range(251)) * 70
    buffer = BodyBuffer()
    for _ in range(2):
        for start in range(0, len(body), part_bytes):
            buffer.append(body[start : start + part_bytes])
        assert buffer.content() == body
        assert buffer.size_bytes == len(body)
        assert len(body) < buffer.stored_bytes < len(body) + len(body) // 8
        buffer.clear()
        assert (buffer.content(), buffer.size_bytes) == (b"", 0)
