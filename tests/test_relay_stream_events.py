"""Tests of the reader of stream events."""

import time

import hypothesis
from hypothesis import strategies as st

from azureline.relay import stream_events
from azureline.util import memory_budget


def _event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@hypothesis.given(st.lists(st.integers(1, 40), max_size=30), st.integers(0, 9))
def test_events_are_complete_however_the_bytes_are_split(cuts, count):
    data = b"".join(_event(n) for n in range(count))
    reader = stream_events.EventReader("")
    passed = b""
    for cut in [*cuts, len(data)]:
        chunk, data = data[:cut], data[cut:]
        read = reader.feed(chunk)
        assert not read.fault
        assert read.pieces.endswith(b"\n\n") or not read.pieces
        passed += read.pieces
    assert passed == b"".join(_event(n) for n in range(count))
    assert reader.end() == ""
    assert reader.passed == count


def test_an_end_inside_an_event_is_an_error():
    reader = stream_events.EventReader("")
    reader.feed(_event(0) + b"id: 1\nda")
    assert reader.end()


def test_a_repeated_event_is_an_error():
    reader = stream_events.EventReader("")
    reader.feed(_event(0) + _event(1))
    read = reader.feed(_event(2) + _event(2))
    assert read.pieces == _event(2) and read.fault


def test_a_resumed_stream_continues_after_the_last_event():
    reader = stream_events.EventReader("4")
    reader.feed(_event(5) + b"id: 6\n")
    assert reader.last_event == "5"
    reader.restart()
    assert reader.feed(_event(6)).pieces == _event(6)
    reader.restart()
    assert reader.feed(_event(6)).fault


def test_an_event_that_comes_in_too_many_chunks_is_an_error():
    reader = stream_events.EventReader("")
    limit = stream_events.MAX_EVENT_CHUNKS
    faults = [reader.feed(b"x").fault for _ in range(limit + 1)]
    assert not any(faults[:limit]) and faults[limit]


def test_events_in_many_chunks_are_no_error():
    reader = stream_events.EventReader("")
    data = b"".join(_event(n) for n in range(2000))
    for at in range(len(data)):
        assert not reader.feed(data[at : at + 1]).fault
    assert reader.passed == 2000


def test_an_incomplete_event_is_searched_once():
    # The work would grow with the square of the size otherwise.
    reader = stream_events.EventReader("")
    began = time.process_time()
    for _ in range(stream_events.MAX_EVENT_CHUNKS - 1):
        assert not reader.feed(b"x" * 60).fault
    assert time.process_time() - began < 0.05


def _fill(budget, count, size):
    """Returns how many streams may hold an incomplete event of a size."""
    kept = []
    for _ in range(count):
        reader, memory = stream_events.EventReader(""), budget.reserve("s1")
        reader.restart(memory)
        if reader.feed(b"x" * size).fault:
            memory.release()
        else:
            kept.append((reader, memory))
    return kept


def test_incomplete_events_take_a_bounded_memory_together():
    # Their number was bounded by that of all streams alone.
    budget = memory_budget.MemoryBudget(1 << 20)
    kept = _fill(budget, 100, 100_000)
    assert 0 < len(kept) < 20
    # Streams of events of a usual size go on.
    assert len(_fill(budget, 100, 2_000)) == 100
    for reader, memory in kept:
        assert reader.feed(b"\n\n").pieces
        memory.release()
    assert budget.used_bytes == 0


def test_a_complete_event_gives_its_memory_back():
    budget = memory_budget.MemoryBudget(100_000)
    reader = stream_events.EventReader("")
    reader.restart(budget.reserve("s1"))
    for number in range(50):
        assert not reader.feed(b"id: %d\ndata: " % number).fault
        assert not reader.feed(b"x" * 90_000).fault
        assert budget.used_bytes > 50_000
        assert reader.feed(b"\n\nid").pieces
        assert budget.used_bytes == 0
        reader.restart(budget.reserve("s1"))
