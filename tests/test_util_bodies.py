"""Tests of the collected body of an answer."""

import tracemalloc

from azureline.util import bodies


def test_a_body_is_collected_up_to_its_limit():
    body = bodies.Body()
    assert body.add(b"x" * bodies.MAX_BODY_BYTES)
    assert len(body.content()) == bodies.MAX_BODY_BYTES
    assert not body.add(b"x")
    assert body.content() == b""


def test_small_parts_take_no_more_memory_than_their_bytes():
    tracemalloc.start()
    body = bodies.Body()
    for number in range(200_000):
        body.add(b"%15d" % number)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 2 * 200_000 * 15
