"""Tests of the collected body of an answer."""

import tracemalloc

from azureline.util import bodies
from azureline.util import memory_budget


def test_a_body_is_collected_up_to_its_limit():
    body = bodies.Body()
    assert not body.add(b"x" * bodies.MAX_BODY_BYTES)
    assert len(body.content()) == bodies.MAX_BODY_BYTES
    assert body.add(b"x") == bodies.TOO_LARGE
    assert body.content() == b""


def test_small_parts_take_no_more_memory_than_their_bytes():
    tracemalloc.start()
    body = bodies.Body()
    for number in range(40_000):
        assert not body.add(b"%70d" % number)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 2 * 40_000 * 70


def test_a_body_in_small_parts_without_an_end_is_given_up_early():
    # Millions of parts cost time until the request's deadline passes.
    for size in (1, 15):
        body = bodies.Body()
        parts = 1
        while not body.add(b"x" * size):
            parts += 1
        assert parts <= 2 * bodies.MAX_SMALL_PARTS
        assert body.content() == b""


def test_a_body_in_parts_of_a_usual_size_is_no_error():
    body = bodies.Body()
    for _ in range(bodies.MAX_BODY_BYTES // 1024):
        assert not body.add(b"x" * 1024)
    assert len(body.content()) == bodies.MAX_BODY_BYTES


def test_bodies_without_an_end_take_the_budget_and_no_more():
    budget = memory_budget.MemoryBudget(1 << 20)
    made = [bodies.Body(budget.reserve()) for _ in range(100)]
    kept = [body for body in made if not body.add(b"x" * 100_000)]
    assert 0 < len(kept) < 20
    # Small answers of sound servers still have room.
    assert not bodies.Body(budget.reserve()).add(b"x" * 800)
    for body in made:
        body.release()
        body.release()
    assert budget.used_bytes == 0


def test_the_bodies_of_one_peer_leave_room_for_those_of_others():
    # One faulty server took all the memory that answers share.
    budget = memory_budget.MemoryBudget(1 << 20, peer_share=0.5)
    faulty = [bodies.Body(budget.reserve("s1")) for _ in range(100)]
    kept = [body for body in faulty if not body.add(b"x" * 100_000)]
    assert 0 < len(kept) < 10
    sound = bodies.Body(budget.reserve("s2"))
    assert not sound.add(b"x" * 400_000)
    for body in (*faulty, sound):
        body.release()
    assert not bodies.Body(budget.reserve("s1")).add(b"x" * 500_000)
