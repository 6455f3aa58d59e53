"""Tests of the collected body of an answer."""

import tracemalloc

from azureline.util import bodies
from azureline.util import memory_budget


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


def test_bodies_without_an_end_take_the_budget_and_no_more():
    budget = memory_budget.MemoryBudget(1 << 20)
    made = [bodies.Body(budget.reserve()) for _ in range(100)]
    kept = [body for body in made if body.add(b"x" * 100_000)]
    assert 0 < len(kept) < 20
    # Small answers of sound servers still have room.
    assert bodies.Body(budget.reserve()).add(b"x" * 800)
    for body in made:
        body.release()
        body.release()
    assert budget.used_bytes == 0
