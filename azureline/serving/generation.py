"""Runs one generation: sends its attempts and forwards the stream."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from azureline import requests
from azureline.backends import http
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.routing import loads
from azureline.routing import outcome
from azureline.routing import retry
from azureline.routing import stream
from azureline.util import memory_budget

GAP_SAMPLE_INTERVAL_S = 1.0
_REASONS = {
    404: retry.Reason.STREAM_GONE,
    429: retry.Reason.BUSY,
    503: retry.Reason.LEAVING,
}


class Answer(Protocol):
    """The response to the caller.

    Attributes:
      unsent_bytes: bytes written since the caller stopped reading; 0 while it
        reads.
    """

    unsent_bytes: int

    def set_observer(self, observer: Any) -> None:
        """Sets the object to notify when the caller disconnects."""

    def write(self, data: bytes) -> None:
        """Writes whole events."""

    def finish(self) -> None:
        """Ends a complete answer."""

    def refuse(self, refusal: errors.Refusal) -> None:
        """Ends an answer with an error."""


class AttemptResult(NamedTuple):
    """How one attempt ended.

    Attributes:
      sample: outcome and latency of the attempt, for the engine's limits.
      hint: the load that the engine reported, or None.
      reason: why the call should be sent again, or None if it ended.
      refusal: the final refusal, or None.
      may_run: whether the engine may still run the call.
    """

    sample: outcome.Sample
    hint: loads.LoadHint | None
    reason: retry.Reason | None
    refusal: errors.Refusal | None
    may_run: bool = False


class GenerationListener(Protocol):
    """Receives the events of generations."""

    def on_attempt_ended(
        self, gen: "Generation", result: AttemptResult
    ) -> None:
        """Handles the end of an attempt."""

    def record_latency(
        self,
        gen: "Generation",
        first_token_s: float | None,
        token_gap_s: float | None,
    ) -> None:
        """Records how fast an engine answers a call in flight."""

    def on_caller_disconnected(self, gen: "Generation") -> None:
        """Handles a caller that disconnected before its call was sent."""

    def on_engine_unreachable(self, engine: str) -> None:
        """Handles a refused connection: no process listens at the address."""


class Generation:
    """Runs the attempts of one call, one at a time."""

    def __init__(
        self,
        listener: GenerationListener,
        call: requests.ModelCall,
        messages: list[dict[str, str]],
        answer: Answer,
        backends: http.BackendClient,
        clock: clocks.Clock,
        settings: stream.Settings,
        answer_budget: memory_budget.MemoryBudget | None = None,
    ):
        """Creates a generation that has not been sent.

        Args:
          listener: notified of the ends of attempts.
          call: the call.
          messages: the messages of the prompt.
          answer: the response to the caller.
          backends: sends calls to engines.
          clock: source of time.
          settings: settings of the stream relay.
          answer_budget: memory for incomplete events; None if they are not
            counted.
        """
        self.call = call
        self.answer = answer
        self.attempt = 0
        self.engine = ""
        self.tried: list[str] = []
        self.may_have_run = False
        self._listener = listener
        self._messages = messages
        self._backends = backends
        self._clock = clock
        self._settings = settings
        self._answer_budget = answer_budget
        self._relay: stream.StreamRelay | None = None
        self._url = ""
        self._attempt_id = ""
        self._sent_at = 0.0
        self._first_token_at: float | None = None
        self._gap_window = (0.0, 0)
        self._last_token_at = 0.0
        self._tokens = 0
        self._hint: loads.LoadHint | None = None
        self._transport: Any = None
        answer.set_observer(self)

    def send(self, engine: str, url: str) -> None:
        """Sends the call to an engine.

        Args:
          engine: name of the engine.
          url: its root URL, or "" if the engine is no longer known.
        """
        self._start_attempt(engine, url)
        if url:
            defer.ensureDeferred(self._open(self._relay))
        else:
            self._end_attempt(retry.Reason.CONNECT_FAILED, None)

    def skip(self, engine: str, reason: retry.Reason) -> None:
        """Counts an attempt for which nothing is sent.

        Args:
          engine: the engine that was chosen.
          reason: why nothing is sent to it.
        """
        self._start_attempt(engine, "")
        self._relay = None
        sample = self._sample(outcome.Outcome.CANCELLED)
        self._listener.on_attempt_ended(
            self, AttemptResult(sample, None, reason, None)
        )

    def _start_attempt(self, engine: str, url: str) -> None:
        now = self._clock.now()
        self.attempt += 1
        self.engine = engine
        self.tried.append(engine)
        self._url = url
        self._attempt_id = f"{self.call.request_id}.{self.attempt}"
        self._sent_at = now
        self._first_token_at = None
        self._tokens = 0
        self._hint = None
        budget = self._answer_budget
        self._relay = stream.StreamRelay(
            now,
            self._attempt_id,
            self._settings,
            budget and budget.reserve(engine),
        )

    def tick(self, now: float) -> None:
        """Handles timeouts of the stream and the deadline."""
        if self._relay is None:
            return
        if now >= self.call.deadline:
            self._apply(self._relay.caller_disconnected(now))
            self._end_attempt(None, _deadline_refusal(self._tokens))
            return
        self._apply(
            self._relay.caller_progressed(now, self.answer.unsent_bytes)
        )
        if self._relay is None:
            return
        self._observe_gap(now)
        wake_at = self._relay.wake_at()
        if wake_at is not None and now >= wake_at:
            self._apply(self._relay.tick(now))

    def _observe_gap(self, now: float) -> None:
        """Reports the mean token gap once per `GAP_SAMPLE_INTERVAL_S`."""
        since, tokens = self._gap_window
        if self._first_token_at is None or now - since < GAP_SAMPLE_INTERVAL_S:
            return
        tokens_since = self._tokens - tokens
        self._gap_window = (now, self._tokens)
        if tokens_since:
            self._listener.record_latency(
                self, None, (now - since) / tokens_since
            )

    def on_engine_crashed(self) -> None:
        """Handles a crash of the engine."""
        if self._relay is not None:
            self._apply(self._relay.engine_lost(self._clock.now()))

    def on_caller_disconnected(self) -> None:
        """Handles a caller that closed the connection."""
        if self._relay is None:
            self._listener.on_caller_disconnected(self)
            return
        self._apply(self._relay.caller_disconnected(self._clock.now()))
        refusal = errors.Refusal(errors.ErrorKind.CALLER_GONE, "")
        self._end_attempt(None, refusal)

    def counters(self) -> dict[str, int]:
        """Returns the stream relay's counters, such as repeats and gaps."""
        return self._relay.counters() if self._relay is not None else {}

    async def _open(self, relay: stream.StreamRelay) -> None:
        opened = await self._backends.generate(self._url, self._body())
        if relay is not self._relay:
            return
        if isinstance(opened, http.Failure):
            if opened.sent:
                self.may_have_run = True
                self._apply(relay.closed(self._clock.now(), 1))
            else:
                self._end_attempt(retry.Reason.CONNECT_FAILED, None)
            return
        if opened.status != 200:
            self.may_have_run |= opened.status not in _REASONS
            self._end_attempt(
                _REASONS.get(opened.status), _status_refusal(opened.status)
            )
            return
        self.may_have_run = True
        self._connected(relay, 1, opened)

    async def _reopen(self, relay: stream.StreamRelay, resume_at: Any) -> None:
        self._drop_transport()
        opened = await self._backends.resume(
            self._url, self._attempt_id, resume_at.offset
        )
        if relay is not self._relay:
            return
        now = self._clock.now()
        if isinstance(opened, http.Failure):
            if opened.refused:
                self._listener.on_engine_unreachable(self.engine)
            if relay is self._relay:
                self._apply(relay.closed(now, resume_at.attempt))
        elif opened.status != 200:
            self._apply(relay.engine_lost(now))
        else:
            self._connected(relay, resume_at.attempt, opened)

    def _connected(
        self, relay: stream.StreamRelay, attempt: int, opened: http.Stream
    ) -> None:
        self._hint = loads.parse_load(opened.load) or self._hint
        outputs = relay.response_started(
            self._clock.now(), attempt, opened.request_id
        )
        self._backends.forward_body(opened, _Sink(self, relay, attempt))
        self._apply(outputs)

    def received(
        self, relay: stream.StreamRelay, attempt: int, data: bytes
    ) -> None:
        """Handles bytes of one connection's body."""
        if relay is self._relay:
            self._apply(relay.received(self._clock.now(), attempt, data))

    def closed(self, relay: stream.StreamRelay, attempt: int) -> None:
        """Handles the end of one connection's body."""
        if relay is self._relay:
            self._apply(relay.closed(self._clock.now(), attempt))

    def connected(self, transport: Any) -> None:
        """Sets the transport of the connection that is being read."""
        self._transport = transport

    def _body(self) -> dict[str, Any]:
        return {
            "request_id": self._attempt_id,
            "model": self.call.model,
            "adapter": self.call.adapter,
            "messages": self._messages,
            "max_tokens": self.call.max_tokens,
            "priority": self.call.priority.value,
            "prefix": self.call.prefix.hex(),
            "stream": True,
        }

    def _apply(self, outputs: list[stream.Output]) -> None:
        for output in outputs:
            if isinstance(output, stream.Forward):
                self._forward(output.data)
            else:
                self._apply_control(output)

    def _apply_control(self, output: stream.Output) -> None:
        match output:
            case stream.ResumeAt():
                defer.ensureDeferred(self._reopen(self._relay, output))
            case stream.Pause() if self._transport is not None:
                self._transport.pauseProducing()
            case stream.Resume() if self._transport is not None:
                self._transport.resumeProducing()
            case stream.Cancel():
                self._cancel()
            case stream.RetryOtherEngine():
                # The engine may have begun before its answer's head arrived.
                self.may_have_run = True
                self._end_attempt(retry.Reason.BACKEND_DIED, None)
            case stream.Finished(tokens):
                # The pool reuses a connection as soon as its body ends, so
                # closing it here would break the next request on it.
                self._transport = None
                self._tokens = tokens
                self._end_attempt(None, None)
            case stream.Failed(refusal):
                self._end_attempt(None, refusal)

    def _forward(self, data: bytes) -> None:
        self._last_token_at = self._clock.now()
        if self._first_token_at is None:
            self._first_token_at = self._last_token_at
            self._gap_window = (self._last_token_at, 0)
            self._listener.record_latency(
                self, self._last_token_at - self._sent_at, None
            )
        self._tokens = self._relay.next_offset
        self.answer.write(data)

    def _cancel(self) -> None:
        self._drop_transport()
        defer.ensureDeferred(self._backends.cancel(self._url, self._attempt_id))

    def _drop_transport(self) -> None:
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.loseConnection()

    def _end_attempt(
        self,
        reason: retry.Reason | None,
        refusal: errors.Refusal | None,
    ) -> None:
        if self._relay is None:
            return
        self._relay.release()
        self._relay = None
        self._drop_transport()
        self._listener.on_attempt_ended(
            self,
            AttemptResult(
                self._sample(_outcome(reason, refusal, self._tokens)),
                self._hint,
                reason,
                refusal,
                _may_run(reason, refusal),
            ),
        )

    def _sample(self, result: outcome.Outcome) -> outcome.Sample:
        now = self._clock.now()
        first = gap = None
        if self._first_token_at is not None:
            first = self._first_token_at - self._sent_at
            gap = (self._last_token_at - self._first_token_at) / max(
                1, self._tokens - 1
            )
        return outcome.Sample(
            result, now - self._sent_at, first, gap, self._tokens
        )


class _Sink:
    """Delivers one connection's bytes to its generation."""

    def __init__(
        self, gen: Generation, relay: stream.StreamRelay, attempt: int
    ):
        self._gen = gen
        self._relay = relay
        self._attempt = attempt

    def on_opened(self, transport: Any) -> None:
        self._gen.connected(transport)

    def on_data(self, data: bytes) -> None:
        self._gen.received(self._relay, self._attempt, data)

    def on_closed(self, reason: str) -> None:
        self._gen.closed(self._relay, self._attempt)


def _outcome(
    reason: retry.Reason | None, refusal: errors.Refusal | None, tokens: int
) -> outcome.Outcome:
    if reason is None and refusal is None:
        return outcome.Outcome.WHOLE
    kind = refusal.kind if refusal is not None else None
    if kind is errors.ErrorKind.CALLER_GONE:
        return outcome.Outcome.CANCELLED
    if kind is errors.ErrorKind.DEADLINE_EXCEEDED and tokens:
        # The engine was producing tokens; a deadline too short for the answer
        # is not counted as a failure of the engine.
        return outcome.Outcome.CANCELLED
    if reason in (retry.Reason.BUSY, retry.Reason.LEAVING):
        return outcome.Outcome.BUSY
    return outcome.Outcome.FAILED


def _may_run(
    reason: retry.Reason | None, refusal: errors.Refusal | None
) -> bool:
    """Returns whether an engine may still run a call after its attempt."""
    if reason is None and refusal is None:
        return False
    if refusal is not None and refusal.kind is errors.ErrorKind.BACKEND_FAILED:
        return False
    return reason not in retry.NOT_STARTED


def _status_refusal(status: int) -> errors.Refusal | None:
    if status in _REASONS:
        return None
    return errors.Refusal(
        errors.ErrorKind.BACKEND_FAILED, f"The engine answered {status}."
    )


def _deadline_refusal(tokens: int) -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        f"The deadline passed after {tokens} tokens.",
    )
