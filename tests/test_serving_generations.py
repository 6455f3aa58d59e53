"""Tests of generations: admission, streams, retries and disconnects."""

import pytest

from azureline.backends import http
from azureline.core import errors
from tests import builders_serving as builders

REFUSED = http.Failure("refused", False, True)


@pytest.fixture(name="world")
def fixture_world():
    return builders.World()


def test_a_stream_is_forwarded_completely(world):
    answer = world.begin()
    world.backends.send(0, 5, done=True)
    assert answer.finished
    assert answer.data.count(b"id: ") == 5
    assert world.generations.active == 0
    assert world.counters.get("answered.model") == 1


def test_a_connection_is_left_open_for_the_pool_after_a_whole_stream(world):
    world.begin()
    world.backends.send(0, 5, done=True)
    assert not world.backends.transports[0].closed


def test_a_call_whose_adapter_is_not_loaded_is_refused_as_not_run(world):
    world.adapters.held = True
    answer = world.begin(adapter="can")
    for _ in range(10):
        while world.adapters.waiting:
            world.adapters.waiting.pop()(False)
        world.advance(1)
    assert answer.refusal.answer.ran is errors.Ran.NO
    assert answer.refusal.answer.retry_after_s is not None
    assert not world.backends.streams


def test_a_stream_longer_than_30_s_completes(world):
    answer = world.begin(max_tokens=1000, deadline=200.0)
    for second in range(50):
        world.backends.send(second, second + 1)
        world.advance(1)
    world.backends.send(50, 51, done=True)
    assert answer.refusal is None
    assert answer.finished


def test_a_caller_that_reads_nothing_is_refused_and_its_call_cancelled(world):
    answer = world.begin(deadline=500.0)
    answer.stuck = True
    for second in range(40):
        if not answer.ended:
            world.backends.send(second, second + 1)
        world.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.CALLER_GONE
    assert world.backends.cancelled == ["r1.1"]


def test_an_unresponsive_connection_is_resumed_at_the_last_offset(world):
    answer = world.begin()
    world.backends.send(0, 3)
    world.advance(4)
    assert world.backends.resumed == [3]
    world.backends.send(2, 6, done=True)
    assert answer.finished
    assert answer.data.count(b"id: ") == 6


def test_a_connection_closed_before_the_end_is_resumed(world):
    answer = world.begin()
    world.backends.send(0, 3)
    world.backends.close()
    world.advance(1)
    assert not answer.finished
    assert world.backends.resumed == [3]


def test_a_call_without_an_answer_is_retried_on_another_engine(world):
    world.backends.refuse["http://127.0.0.1:9001"] = REFUSED
    world.backends.refuse["http://127.0.0.1:9002"] = 503
    answer = world.begin()
    del world.backends.refuse["http://127.0.0.1:9002"]
    world.advance(1)
    world.backends.send(0, 2, done=True)
    assert answer.finished
    assert world.backends.streams[-1][0].endswith(":9002")


def test_an_engine_crash_mid_stream_ends_the_answer_as_stream_lost(world):
    answer = world.begin()
    world.backends.send(0, 3)
    url = world.backends.streams[-1][0]
    world.backends.refuse[url] = REFUSED
    world.backends.close()
    world.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.STREAM_LOST
    assert answer.refusal.answer.ran is not errors.Ran.NO
    assert answer.refusal.answer.retry_after_s is not None


def test_all_calls_in_flight_at_a_crash_become_suspects(world):
    single = builders.World(engines=1)
    for number in (1, 2):
        single.begin(number)
    single.backends.refuse["http://127.0.0.1:9001"] = REFUSED
    single.backends.close()
    single.advance(0.5)
    contents = {s.content for s in single.suspects.everything()}
    assert contents == {b"c1", b"c2"}


def test_a_deadline_ends_the_answer_and_cancels_the_call(world):
    answer = world.begin(deadline=3.0)
    world.backends.send(0, 1)
    for _ in range(4):
        world.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.DEADLINE_EXCEEDED
    assert world.backends.cancelled


def test_a_call_is_cancelled_when_its_caller_disconnects(world):
    answer = world.begin()
    world.backends.send(0, 1)
    answer.observer.caller_left()
    assert world.backends.cancelled == ["r1.1"]
    assert world.generations.active == 0


def test_a_caller_that_disconnects_during_an_adapter_load_frees_its_slot(world):
    world.adapters.held = True
    answer = world.begin(adapter="can")
    answer.observer.caller_left()
    world.adapters.waiting[0](True)
    assert not world.backends.streams
    world.adapters.held = False
    for number in range(2, 30):
        world.begin(number).observer.caller_left()
    assert world.generations.active == 0
    assert world.begin(99) and world.backends.streams[-1][1] == "r99.1"


def test_a_model_without_a_replica_is_refused_immediately(world):
    answer = world.begin(model="dial")
    assert answer.refusal.kind is errors.ErrorKind.NO_REPLICA
    assert answer.refusal.answer.ran is errors.Ran.NO
