"""Tests of generations: admission, streams, retries and disconnects."""

import pytest

from azureline.backends import http
from azureline.core import errors
from tests import builders_serving as builders

REFUSED = http.Failure("refused", False, True)


@pytest.fixture(name="harness")
def fixture_world():
    return builders.GenerationHarness()


def test_a_stream_is_forwarded_completely(harness):
    answer = harness.begin()
    harness.backends.send(0, 5, done=True)
    assert answer.finished
    assert answer.data.count(b"id: ") == 5
    assert harness.generations.active == 0
    assert harness.counters.get("answered.model") == 1


def test_a_connection_is_left_open_for_the_pool_after_a_whole_stream(harness):
    harness.begin()
    harness.backends.send(0, 5, done=True)
    assert not harness.backends.transports[0].closed


def test_a_call_whose_adapter_is_not_loaded_is_refused_as_not_run(harness):
    harness.adapters.deferred = True
    answer = harness.begin(adapter="can")
    for _ in range(10):
        while harness.adapters.waiting:
            harness.adapters.waiting.pop()(False)
        harness.advance(1)
    assert answer.refusal.answer.ran is errors.Ran.NO
    assert answer.refusal.answer.retry_after_s is not None
    assert not harness.backends.streams


def test_a_stream_longer_than_30_s_completes(harness):
    answer = harness.begin(max_tokens=1000, deadline=200.0)
    for second in range(50):
        harness.backends.send(second, second + 1)
        harness.advance(1)
    harness.backends.send(50, 51, done=True)
    assert answer.refusal is None
    assert answer.finished


def test_a_caller_that_reads_nothing_is_refused_and_its_call_cancelled(harness):
    answer = harness.begin(deadline=500.0)
    answer.blocked = True
    for second in range(40):
        if not answer.ended:
            harness.backends.send(second, second + 1)
        harness.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.CALLER_GONE
    assert harness.backends.cancelled == ["r1.1"]


def test_an_unresponsive_connection_is_resumed_at_the_last_offset(harness):
    answer = harness.begin()
    harness.backends.send(0, 3)
    harness.advance(4)
    assert harness.backends.resumed == [3]
    harness.backends.send(2, 6, done=True)
    assert answer.finished
    assert answer.data.count(b"id: ") == 6


def test_a_connection_closed_before_the_end_is_resumed(harness):
    answer = harness.begin()
    harness.backends.send(0, 3)
    harness.backends.close()
    harness.advance(1)
    assert not answer.finished
    assert harness.backends.resumed == [3]


def test_a_call_without_an_answer_is_retried_on_another_engine(harness):
    harness.backends.refuse["http://127.0.0.1:9001"] = REFUSED
    harness.backends.refuse["http://127.0.0.1:9002"] = 503
    answer = harness.begin()
    del harness.backends.refuse["http://127.0.0.1:9002"]
    harness.advance(1)
    harness.backends.send(0, 2, done=True)
    assert answer.finished
    assert harness.backends.streams[-1][0].endswith(":9002")


def test_an_engine_crash_mid_stream_ends_the_answer_as_stream_lost(harness):
    answer = harness.begin()
    harness.backends.send(0, 3)
    url = harness.backends.streams[-1][0]
    harness.backends.refuse[url] = REFUSED
    harness.backends.close()
    harness.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.STREAM_LOST
    assert answer.refusal.answer.ran is not errors.Ran.NO
    assert answer.refusal.answer.retry_after_s is not None


def test_all_calls_in_flight_at_a_crash_become_suspects(harness):
    single = builders.GenerationHarness(engines=1)
    for number in (1, 2):
        single.begin(number)
    single.backends.refuse["http://127.0.0.1:9001"] = REFUSED
    single.backends.close()
    single.advance(0.5)
    contents = {s.content for s in single.suspects.entries()}
    assert contents == {b"c1", b"c2"}


def test_a_deadline_ends_the_answer_and_cancels_the_call(harness):
    answer = harness.begin(deadline=3.0)
    harness.backends.send(0, 1)
    for _ in range(4):
        harness.advance(1)
    assert answer.refusal.kind is errors.ErrorKind.DEADLINE_EXCEEDED
    assert harness.backends.cancelled


def test_a_call_is_cancelled_when_its_caller_disconnects(harness):
    answer = harness.begin()
    harness.backends.send(0, 1)
    answer.observer.on_caller_disconnected()
    assert harness.backends.cancelled == ["r1.1"]
    assert harness.generations.active == 0


def test_a_caller_that_disconnects_during_an_adapter_load_frees_its_slot(
    harness,
):
    harness.adapters.deferred = True
    answer = harness.begin(adapter="can")
    answer.observer.on_caller_disconnected()
    harness.adapters.waiting[0](True)
    assert not harness.backends.streams
    harness.adapters.deferred = False
    for number in range(2, 30):
        harness.begin(number).observer.on_caller_disconnected()
    assert harness.generations.active == 0
    assert harness.begin(99) and harness.backends.streams[-1][1] == "r99.1"


def test_a_model_without_a_replica_is_refused_immediately(harness):
    answer = harness.begin(model="dial")
    assert answer.refusal.kind is errors.ErrorKind.NO_REPLICA
    assert answer.refusal.answer.ran is errors.Ran.NO


@pytest.mark.parametrize("ends_by", ["caller", "deadline"])
def test_a_call_that_ended_before_its_engine_crashed_becomes_a_suspect(
    harness, ends_by
):
    answer = harness.begin(deadline=5.0)
    harness.backends.send(0, 2)
    if ends_by == "caller":
        answer.observer.on_caller_disconnected()
    harness.advance(6)
    assert harness.generations.active == 0
    harness.generations.on_engine_crashed("e1", "1")
    assert [s.content for s in harness.suspects.entries()] == [b"c1"]


def test_a_whole_stream_is_no_suspect_after_a_crash(harness):
    harness.begin()
    harness.backends.send(0, 5, done=True)
    harness.generations.on_engine_crashed("e1", "1")
    assert not harness.suspects.entries()


def test_a_call_that_may_have_run_at_a_crash_is_not_refused_as_not_run():
    single = builders.GenerationHarness(engines=1)
    single.backends.unanswered = True
    answer = single.begin(deadline=5.0)
    single.generations.on_engine_crashed("e1", "1")
    single.directory.remove_vm("e1")
    single.generations.update_replicas([builders.MODEL])
    single.advance(5)
    assert answer.refusal.answer.ran is not errors.Ran.NO
