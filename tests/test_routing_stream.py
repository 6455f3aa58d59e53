"""Tests of the relay of token streams."""

import time

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.routing import events
from azureline.routing import stream

_NAME = "r1"


def event(offset, text="t", name=_NAME):
    """Returns one event of a stream."""
    return b'id: %d\ndata: {"id":"%b","text":"%b"}\n\n' % (
        offset,
        name.encode(),
        text.encode(),
    )


def done(offset=None):
    """Returns the end marker, with an offset or without one."""
    number = b"" if offset is None else b"id: %d\n" % offset
    return number + b"data: [DONE]\n\n"


def _relay(now=0.0, **settings):
    return stream.StreamRelay(now, _NAME, stream.Settings(**settings))


def forwarded(outputs):
    return b"".join(o.data for o in outputs if isinstance(o, stream.Forward))


def test_events_are_forwarded_unchanged_however_split():
    whole = event(0) + event(1) + done(2)
    for step in range(1, 40):
        relay = _relay()
        outputs = []
        for start in range(0, len(whole), step):
            outputs += relay.received(0.0, 1, whole[start : start + step])
        assert forwarded(outputs) == whole
        assert outputs[-1] == stream.Finished(2)


@pytest.mark.parametrize(
    ("bad", "count"),
    [
        (event(1, name="r2"), "mismatches"),
        (event(1, name="r10"), "mismatches"),
        (event(3), "gaps"),
        (done(3), "gaps"),
        (b"id: x\ndata: {}\n\n", "malformed"),
        (b"nonsense\n\n", "malformed"),
        (b"id: 1\ndata: " + b"x" * 70000, "malformed"),
    ],
)
def test_invalid_events_are_counted_and_the_connection_is_replaced(bad, count):
    relay = _relay()
    relay.received(0.0, 1, event(0))
    assert relay.received(0.0, 1, bad) == [stream.ResumeAt(1, 2)]
    assert getattr(relay.counts, count) == 1
    assert relay.received(0.0, 1, event(1)) == []
    assert relay.received(0.0, 2, event(1)) == [stream.Forward(event(1))]


def test_a_repeated_event_is_dropped():
    relay = _relay()
    relay.received(0.0, 1, event(0))
    outputs = relay.received(0.0, 1, event(0) + event(1))
    assert forwarded(outputs) == event(1)
    assert relay.counts.repeats == 1


def test_an_end_without_offset_needs_a_confirmed_connection():
    relay = _relay()
    assert relay.received(0.0, 1, done()) == [stream.ResumeAt(0, 2)]
    relay.response_started(0.0, 2, _NAME)
    assert relay.received(0.0, 2, done())[-1] == stream.Finished(0)


def test_an_answer_to_another_request_is_not_read():
    relay = _relay()
    assert relay.response_started(0.0, 1, "r2") == [stream.ResumeAt(0, 2)]
    assert relay.counts.mismatches == 1


def test_a_closed_connection_is_not_an_end():
    relay = _relay()
    relay.received(0.0, 1, event(0))
    assert relay.closed(0.0, 1) == [stream.ResumeAt(1, 2)]


def test_a_silent_connection_is_replaced_after_the_timeout():
    relay = _relay()
    assert relay.tick(9.9) == []
    relay.received(9.9, 1, event(0))
    assert relay.wake_at() == pytest.approx(11.9)
    assert relay.tick(11.8) == []
    assert relay.tick(11.9) == [stream.ResumeAt(1, 2)]


def test_the_silence_timeout_doubles_with_each_connection():
    relay = _relay()
    relay.received(0.0, 1, event(0))
    replaced_at = []
    for _ in range(3):
        replaced_at.append(relay.wake_at())
        relay.tick(replaced_at[-1])
    assert replaced_at == [2.0, 6.0, 14.0]
    assert relay.wake_at() == 30.0


def test_connections_without_an_event_end_the_stream_with_a_count():
    relay = _relay()
    relay.received(0.0, 1, event(0))
    for attempt in (1, 2, 3):
        relay.closed(0.0, attempt)
    cancel, failed = relay.closed(0.0, 4)
    assert cancel == stream.Cancel()
    assert failed.refusal.kind is errors.ErrorKind.STREAM_LOST
    assert "after 1 events" in failed.refusal.detail


def test_a_lost_engine_is_retried_elsewhere_only_before_the_first_event():
    relay = _relay()
    assert relay.engine_lost(0.0) == [stream.RetryOtherEngine()]
    relay = _relay()
    relay.received(0.0, 1, event(0))
    (failed,) = relay.engine_lost(0.0)
    assert failed.refusal.kind is errors.ErrorKind.STREAM_LOST


def test_a_slow_caller_pauses_reading_and_is_cancelled_after_a_time():
    relay = _relay(buffer_bytes=100)
    outputs = relay.received(0.0, 1, event(0) + event(1) + event(2))
    assert outputs[-1] == stream.Pause()
    assert relay.tick(10.0) == []
    assert relay.caller_progressed(10.0, 40) == [stream.Resume()]
    relay.received(11.0, 1, event(3) + event(4))
    cancel, failed = relay.tick(40.0)
    assert cancel == stream.Cancel()
    assert failed.refusal.kind is errors.ErrorKind.CALLER_GONE
    assert relay.wake_at() is None


def test_a_new_connection_for_a_slow_caller_is_paused():
    relay = _relay(buffer_bytes=100)
    relay.received(0.0, 1, event(0) + event(1) + event(2))
    assert relay.closed(0.0, 1) == [stream.ResumeAt(3, 2)]
    assert relay.response_started(0.0, 2, _NAME) == [stream.Pause()]


def test_a_caller_that_disconnects_cancels_the_stream_once():
    relay = _relay()
    assert relay.caller_disconnected(0.0) == [stream.Cancel()]
    assert relay.caller_disconnected(0.0) == []
    assert relay.received(0.0, 1, event(0)) == []


class _RelayMachine(stateful.RuleBasedStateMachine):
    """Checks that the caller receives a prefix of the answer.

    It must be complete if and only if the relay has finished.
    """

    tokens = 5

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.relay = stream.StreamRelay(
            0.0,
            _NAME,
            stream.Settings(max_resumes_without_event=100, buffer_bytes=150),
        )
        self.parts = [event(i, f"t{i}") for i in range(self.tokens)]
        self.parts.append(done(self.tokens))
        self.answer = b"".join(self.parts)
        self.pending = {1: self.answer}
        self.delivered = b""
        self.finished = False

    def _take(self, outputs):
        for output in outputs:
            match output:
                case stream.Forward(data=data):
                    self.delivered += data
                case stream.ResumeAt(offset=offset, attempt=attempt):
                    rest = b"".join(self.parts[offset:])
                    self.pending[attempt] = rest
                case stream.Finished():
                    self.finished = True
                case _:
                    pass

    def _send(self, attempt, data):
        self._take(self.relay.received(self.now, attempt, data))

    @stateful.rule(count=st.integers(1, 120))
    def engine_sends(self, count):
        attempt = self.relay.attempt
        rest = self.pending[attempt]
        self.pending[attempt] = rest[count:]
        self._send(attempt, rest[:count])

    @stateful.rule(data=st.data(), count=st.integers(1, 200))
    def late_bytes_of_an_old_connection(self, data, count):
        attempt = data.draw(st.sampled_from(sorted(self.pending)))
        rest = self.pending[attempt]
        self.pending[attempt] = rest[count:]
        self._send(attempt, rest[:count])

    @stateful.rule()
    def connection_closes(self):
        self._take(self.relay.closed(self.now, self.relay.attempt))

    @stateful.rule(seconds=st.floats(0.1, 15.0))
    def silence(self, seconds):
        self.now += seconds
        self._take(self.relay.tick(self.now))

    @stateful.precondition(lambda self: not self.relay._reader._buffer)
    @stateful.rule(back=st.integers(1, 3))
    def engine_repeats(self, back):
        attempt = self.relay.attempt
        offset = max(0, self.relay.next_offset - back)
        self.pending[attempt] = b"".join(self.parts[offset:])

    @stateful.precondition(lambda self: not self.relay._reader._buffer)
    @stateful.rule(ahead=st.integers(1, 3))
    def engine_skips(self, ahead):
        offset = self.relay.next_offset + ahead
        self.pending[self.relay.attempt] = b"".join(self.parts[offset:])

    @stateful.precondition(lambda self: not self.relay._reader._buffer)
    @stateful.rule(whole=st.booleans())
    def answer_of_another_request(self, whole):
        offset = self.relay.next_offset
        other = event(offset, name="r2") + (done() if whole else b"")
        self.pending[self.relay.attempt] = other

    @stateful.rule(part=st.floats(0.0, 1.0))
    def caller_takes(self, part):
        unsent = int(part * 100)
        self._take(self.relay.caller_progressed(self.now, unsent))

    @stateful.invariant()
    def prefix_and_complete_iff_finished(self):
        assert self.answer.startswith(self.delivered)
        assert self.finished == (self.delivered == self.answer)


_RelayMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)
TestStream = _RelayMachine.TestCase


class _ReadsAnyOffset(events.EventReader):
    """Deliberate fault: events are forwarded despite repeats and gaps."""

    def _out_of_order(self, offset, done):
        del done
        self.next_offset = offset + 1
        return events.Action.FORWARD


class _ReadsAnyRequest(events.EventReader):
    """Deliberate fault: the request id of events is not checked."""

    def __init__(self, request_id, event_bytes, memory=None):
        super().__init__(request_id, event_bytes, memory)
        self._data_prefixes = (b"{",)


class _FinishesOnClose(stream.StreamRelay):
    """Deliberate fault: a closed connection counts as the end marker."""

    def closed(self, now, attempt):
        if self.ended or attempt != self.attempt:
            return []
        self._ended = True
        return [stream.Finished(self.next_offset)]


class _ReadsOldConnections(stream.StreamRelay):
    """Deliberate fault: late bytes of a replaced connection are read."""

    def received(self, now, attempt, data):
        return super().received(now, self.attempt, data)


@pytest.mark.parametrize(
    ("module", "name", "faulty"),
    [
        (events, "EventReader", _ReadsAnyOffset),
        (events, "EventReader", _ReadsAnyRequest),
        (stream, "StreamRelay", _FinishesOnClose),
        (stream, "StreamRelay", _ReadsOldConnections),
    ],
)
def test_the_state_machine_catches_faulty_relays(
    monkeypatch, module, name, faulty
):
    monkeypatch.setattr(module, name, faulty)
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            _RelayMachine,
            settings=hypothesis.settings(
                max_examples=300,
                stateful_step_count=40,
                phases=[hypothesis.Phase.generate],
            ),
        )


def test_an_event_in_small_chunks_without_an_end_is_given_up_early():
    # The work grew with the square of the bytes: 2.5 s for one event.
    reader = events.EventReader(_NAME, 65536)
    began = time.process_time()
    chunks = 1
    while not reader.feed(b"x").faulty:
        chunks += 1
    assert chunks == events.MAX_EVENT_CHUNKS + 1
    assert reader.counts.malformed == 1
    assert time.process_time() - began < 0.1


def test_events_in_many_chunks_are_no_fault():
    reader = events.EventReader(_NAME, 65536)
    for offset in range(500):
        data = event(offset)
        reads = [reader.feed(data[at : at + 1]) for at in range(len(data))]
        assert not any(read.faulty for read in reads)
        assert reads[-1].events == [data]
