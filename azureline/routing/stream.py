"""Relay of one token stream from an engine to its caller.

The relay is a state machine without I/O.  Received bytes, closed connections,
timeouts and the caller's progress are method calls, and each returns the
actions to take.  `events` describes the format of the engine's events.
"""

from typing import NamedTuple

from azureline.core import errors
from azureline.routing import events
from azureline.util import memory_budget


class Settings(NamedTuple):
    """Settings of a relay.

    Attributes:
      first_token_timeout_s: seconds without data before the first event after
        which a connection is replaced.
      progress_timeout_s: seconds without data between events after which a
        connection is replaced; doubled after each connection without a new
        event.
      max_resumes_without_event: number of new connections in a row without a
        new event after which the stream fails.
      buffer_bytes: number of bytes buffered for a slow caller above which
        reading from the engine's connection is paused.
      slow_caller_s: seconds after which the stream is cancelled if bytes are
        buffered and the caller reads none of them.
      event_bytes: maximum size of an event.
    """

    first_token_timeout_s: float = 10.0
    progress_timeout_s: float = 2.0
    max_resumes_without_event: int = 3
    buffer_bytes: int = 65536
    slow_caller_s: float = 30.0
    event_bytes: int = 65536


DEFAULTS = Settings()


class Forward(NamedTuple):
    """Send bytes to the caller; they are complete events."""

    data: bytes


class ResumeAt(NamedTuple):
    """Drop the connection and open a new one to the same stream.

    Attributes:
      offset: offset of the first event to request.
      attempt: number of the new connection, to pass with its input.
    """

    offset: int
    attempt: int


class RetryOtherEngine(NamedTuple):
    """The engine lost the stream before the caller received any of it.

    The relay has ended; a retry needs a relay of its own.
    """


class Pause(NamedTuple):
    """Stop reading from the engine's connection."""


class Resume(NamedTuple):
    """Resume reading from the engine's connection."""


class Cancel(NamedTuple):
    """Cancel the stream at its engine and drop the connection."""


class Finished(NamedTuple):
    """The answer is complete.

    Attributes:
      tokens: number of events forwarded, without the end marker.
    """

    tokens: int


class Failed(NamedTuple):
    """The stream failed before its end marker.

    Attributes:
      refusal: the error to report to the caller.
    """

    refusal: errors.Refusal


Output = (
    Forward
    | ResumeAt
    | RetryOtherEngine
    | Pause
    | Resume
    | Cancel
    | Finished
    | Failed
)


class StreamRelay:
    """State of one stream; its methods take inputs and return outputs."""

    def __init__(
        self,
        now: float,
        request_id: str,
        settings: Settings = DEFAULTS,
        memory: memory_budget.Reservation | None = None,
    ):
        """Creates a relay whose first connection is attempt 1.

        Args:
          now: monotonic time in seconds.
          request_id: identity that every event must carry.
          settings: the settings.
          memory: memory for the incomplete event; None if it is not counted.
        """
        self._settings = settings
        self._reader = events.EventReader(
            request_id, settings.event_bytes, memory
        )
        self._attempt = 1
        self._resumes_without_event = 0
        self._ended = False
        self._paused = False
        self._received_at = now
        self._unsent = 0
        self._read_at = now

    @property
    def next_offset(self) -> int:
        """Offset of the next event to forward."""
        return self._reader.next_offset

    @property
    def attempt(self) -> int:
        """Number of the current connection; other input is ignored."""
        return self._attempt

    @property
    def counts(self) -> events.Counts:
        """Counts of dropped events and replaced connections."""
        return self._reader.counts

    def counters(self) -> dict[str, int]:
        """Returns `counts` by name."""
        return self._reader.counts._asdict()

    @property
    def ended(self) -> bool:
        """Whether the relay produces no further output."""
        return self._ended

    def release(self) -> None:
        """Drops an incomplete event; no input follows."""
        self._reader.reset()

    def response_started(
        self, now: float, attempt: int, request_id: str
    ) -> list[Output]:
        """Handles a response header.

        Args:
          now: monotonic time in seconds.
          attempt: number of the connection.
          request_id: the request id that the response echoes, or "".
        """
        if self._ended or attempt != self._attempt:
            return []
        self._received_at = now
        if not self._reader.check_request_id(request_id):
            return self._replace(now)
        # A new connection starts unpaused even if its predecessor was paused.
        return [Pause()] if self._paused else []

    def received(self, now: float, attempt: int, data: bytes) -> list[Output]:
        """Handles bytes of a connection's response body."""
        if self._ended or attempt != self._attempt:
            return []
        read = self._reader.feed(data)
        outputs = self._forward(now, read.events) if read.events else []
        if read.ended:
            self._ended = True
            return [*outputs, Finished(self._reader.next_offset)]
        return outputs + self._replace(now) if read.faulty else outputs

    def closed(self, now: float, attempt: int) -> list[Output]:
        """Handles a connection that closed or could not be opened."""
        if self._ended or attempt != self._attempt:
            return []
        return self._replace(now)

    def engine_lost(self, now: float) -> list[Output]:
        """Handles a crash of the engine or its loss of the stream."""
        del now
        if self._ended:
            return []
        self._ended = True
        if self._reader.next_offset == 0:
            return [RetryOtherEngine()]
        return [Failed(self._stream_lost("the engine lost the stream"))]

    def caller_progressed(self, now: float, unsent: int) -> list[Output]:
        """Handles progress of the caller.

        Args:
          now: monotonic time in seconds.
          unsent: number of forwarded bytes that the caller has not read yet.
        """
        if self._ended:
            return []
        if unsent < self._unsent:
            self._read_at = now
        self._unsent = unsent
        if self._paused and unsent <= self._settings.buffer_bytes // 2:
            self._paused = False
            self._received_at = now
            return [Resume()]
        return []

    def caller_disconnected(self, now: float) -> list[Output]:
        """Handles a caller that closed its connection."""
        del now
        return self._cancel()

    def tick(self, now: float) -> list[Output]:
        """Handles expired timeouts; must be called at `wake_at`."""
        if self._ended or now < self._wake_at():
            return []
        if self._unsent and now >= self._slow_caller_at():
            refusal = errors.Refusal(
                errors.ErrorKind.CALLER_GONE,
                f"the caller read no data for"
                f" {self._settings.slow_caller_s:.0f} s",
            )
            return [*self._cancel(), Failed(refusal)]
        return self._replace(now)

    def wake_at(self) -> float | None:
        """Returns the time at which to call `tick`, or None after the end."""
        return None if self._ended else self._wake_at()

    def _wake_at(self) -> float:
        times = []
        if not self._paused:
            times.append(self._silence_timeout_at())
        if self._unsent:
            times.append(self._slow_caller_at())
        return min(times)

    def _silence_timeout_at(self) -> float:
        settings = self._settings
        timeout_s = settings.progress_timeout_s
        if self._reader.next_offset == 0:
            timeout_s = settings.first_token_timeout_s
        # The timeout doubles with each connection, since the stream of an
        # engine that is slow but reachable would otherwise fail within seconds.
        return self._received_at + timeout_s * 2.0**self._resumes_without_event

    def _slow_caller_at(self) -> float:
        return self._read_at + self._settings.slow_caller_s

    def _forward(self, now: float, pieces: list[bytes]) -> list[Output]:
        self._received_at = now
        self._resumes_without_event = 0
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if not self._unsent:
            self._read_at = now
        self._unsent += len(data)
        outputs: list[Output] = [Forward(data)]
        if self._unsent > self._settings.buffer_bytes and not self._paused:
            self._paused = True
            outputs.append(Pause())
        return outputs

    def _replace(self, now: float) -> list[Output]:
        """Requests a new connection, or ends the stream after too many."""
        self._resumes_without_event += 1
        if (
            self._resumes_without_event
            > self._settings.max_resumes_without_event
        ):
            return self._end_unresumable()
        self._reader.count(resumes=1)
        self._reader.reset()
        self._attempt += 1
        self._received_at = now
        return [ResumeAt(self._reader.next_offset, self._attempt)]

    def _end_unresumable(self) -> list[Output]:
        self._ended = True
        if self._reader.next_offset == 0:
            return [Cancel(), RetryOtherEngine()]
        attempts = self._settings.max_resumes_without_event
        return [
            Cancel(),
            Failed(
                self._stream_lost(
                    f"{attempts} connections brought no new event"
                )
            ),
        ]

    def _cancel(self) -> list[Output]:
        if self._ended:
            return []
        self._ended = True
        return [Cancel()]

    def _stream_lost(self, reason: str) -> errors.Refusal:
        return errors.Refusal(
            errors.ErrorKind.STREAM_LOST,
            f"the stream ended after {self.next_offset} events: {reason};"
            " the events sent so far are the start of one answer; repeat the"
            " request for a complete answer",
        )
