"""Relay of one token stream from an engine to its caller.

The relay is a state machine: bytes, closings, timeouts and the caller's
progress come in as calls, and what to do comes back as messages.  The form of
the engine's events is described in `events`.
"""

from typing import NamedTuple

from azureline.core import errors
from azureline.routing import events


class Settings(NamedTuple):
    """Settings of a relay.

    Attributes:
      first_token_timeout_s: seconds of silence before the first event after
        which a connection is replaced.
      progress_timeout_s: seconds of silence between events after which a
        connection is replaced; doubled after each that brought nothing new.
      resumes: connections in a row without a new event after which the
        stream is given up.
      buffer_bytes: unsent bytes for a slow caller above which the engine's
        connection is paused.
      slow_caller_s: seconds for which a caller may take nothing while bytes
        wait for it.
      event_bytes: largest event that is accepted.
    """

    first_token_timeout_s: float = 10.0
    progress_timeout_s: float = 2.0
    resumes: int = 3
    buffer_bytes: int = 65536
    slow_caller_s: float = 30.0
    event_bytes: int = 65536


DEFAULTS = Settings()


class Forward(NamedTuple):
    """Bytes for the caller, whole events only."""

    data: bytes


class ResumeAt(NamedTuple):
    """Drop the connection and open a new one to the same stream.

    Attributes:
      offset: offset of the first event that is wanted.
      attempt: number of the new connection; its input carries it.
    """

    offset: int
    attempt: int


class RetryElsewhere(NamedTuple):
    """The engine lost the stream and the caller has seen none of it.

    The relay is at its end; a retry has a relay of its own.
    """


class Pause(NamedTuple):
    """Stop reading from the engine's connection."""


class Resume(NamedTuple):
    """Read on from the engine's connection."""


class Cancel(NamedTuple):
    """Cancel the stream at its engine and drop the connection."""


class Finished(NamedTuple):
    """The answer is whole.

    Attributes:
      tokens: events forwarded, the end not counted.
    """

    tokens: int


class Failed(NamedTuple):
    """The stream ends without its end.

    Attributes:
      refusal: what to tell the caller.
    """

    refusal: errors.Refusal


Output = (
    Forward
    | ResumeAt
    | RetryElsewhere
    | Pause
    | Resume
    | Cancel
    | Finished
    | Failed
)


class StreamRelay:
    """State of one stream; inputs come in as calls, outputs are returned."""

    def __init__(
        self, now: float, request_id: str, settings: Settings = DEFAULTS
    ):
        """Creates a relay whose first connection is attempt 1.

        Args:
          now: monotonic time in seconds.
          request_id: identity that every event must carry.
          settings: the settings.
        """
        self._settings = settings
        self._reader = events.EventReader(request_id, settings.event_bytes)
        self._attempt = 1
        self._fruitless = 0
        self._ended = False
        self._paused = False
        self._heard_at = now
        self._unsent = 0
        self._took_at = now

    @property
    def next_offset(self) -> int:
        """Offset of the next event to forward."""
        return self._reader.next_offset

    @property
    def attempt(self) -> int:
        """Number of the connection whose input counts."""
        return self._attempt

    @property
    def counts(self) -> events.Counts:
        """Counts of what was dropped and replaced."""
        return self._reader.counts

    def counters(self) -> dict[str, int]:
        """Returns `counts` by name."""
        return self._reader.counts._asdict()

    @property
    def ended(self) -> bool:
        """Whether nothing more will come out."""
        return self._ended

    def opened(self, now: float, attempt: int, request_id: str) -> list[Output]:
        """Takes an answer's head; `request_id` is the echoed one or ""."""
        if self._ended or attempt != self._attempt:
            return []
        self._heard_at = now
        if not self._reader.confirm(request_id):
            return self._replace(now)
        return []

    def received(self, now: float, attempt: int, data: bytes) -> list[Output]:
        """Takes bytes of the body of a connection."""
        if self._ended or attempt != self._attempt:
            return []
        read = self._reader.feed(data)
        outputs = self._forward(now, read.pieces) if read.pieces else []
        if read.ended:
            self._ended = True
            return [*outputs, Finished(self._reader.next_offset)]
        return outputs + self._replace(now) if read.faulty else outputs

    def closed(self, now: float, attempt: int) -> list[Output]:
        """Learns that a connection ended or could not be opened."""
        if self._ended or attempt != self._attempt:
            return []
        return self._replace(now)

    def engine_lost(self, now: float) -> list[Output]:
        """Learns that the engine died or no longer knows the stream."""
        del now
        if self._ended:
            return []
        self._ended = True
        if self._reader.next_offset == 0:
            return [RetryElsewhere()]
        return [Failed(self._lost("its engine lost it"))]

    def caller_took(self, now: float, unsent: int) -> list[Output]:
        """Learns how many forwarded bytes the caller has not taken yet."""
        if self._ended:
            return []
        if unsent < self._unsent:
            self._took_at = now
        self._unsent = unsent
        if self._paused and unsent <= self._settings.buffer_bytes // 2:
            self._paused = False
            self._heard_at = now
            return [Resume()]
        return []

    def caller_left(self, now: float) -> list[Output]:
        """Learns that the caller closed its connection."""
        del now
        return self._cancel()

    def tick(self, now: float) -> list[Output]:
        """Acts on timeouts; to be called at `wake_at`."""
        if self._ended or now < self._wake_at():
            return []
        if self._unsent and now >= self._slow_at():
            refusal = errors.Refusal(
                errors.ErrorKind.CALLER_GONE,
                f"the caller took nothing for"
                f" {self._settings.slow_caller_s:.0f} s",
            )
            return [*self._cancel(), Failed(refusal)]
        return self._replace(now)

    def wake_at(self) -> float | None:
        """Returns when `tick` must be called, or None when ended."""
        return None if self._ended else self._wake_at()

    def _wake_at(self) -> float:
        times = []
        if not self._paused:
            times.append(self._silent_at())
        if self._unsent:
            times.append(self._slow_at())
        return min(times)

    def _silent_at(self) -> float:
        settings = self._settings
        patience_s = settings.progress_timeout_s
        if self._reader.next_offset == 0:
            patience_s = settings.first_token_timeout_s
        # An engine that is slow rather than cut off needs more time each
        # time, or its stream would be given up within seconds.
        return self._heard_at + patience_s * 2.0**self._fruitless

    def _slow_at(self) -> float:
        return self._took_at + self._settings.slow_caller_s

    def _forward(self, now: float, pieces: list[bytes]) -> list[Output]:
        self._heard_at = now
        self._fruitless = 0
        data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if not self._unsent:
            self._took_at = now
        self._unsent += len(data)
        outputs: list[Output] = [Forward(data)]
        if self._unsent > self._settings.buffer_bytes and not self._paused:
            self._paused = True
            outputs.append(Pause())
        return outputs

    def _replace(self, now: float) -> list[Output]:
        """Asks for a new connection, or gives up after too many."""
        self._fruitless += 1
        if self._fruitless > self._settings.resumes:
            return self._give_up()
        self._reader.count(resumes=1)
        self._reader.restart()
        self._attempt += 1
        self._heard_at = now
        wanted = ResumeAt(self._reader.next_offset, self._attempt)
        outputs: list[Output] = [wanted]
        # A new connection starts out reading.
        return [*outputs, Pause()] if self._paused else outputs

    def _give_up(self) -> list[Output]:
        self._ended = True
        if self._reader.next_offset == 0:
            return [Cancel(), RetryElsewhere()]
        attempts = self._settings.resumes
        return [
            Cancel(),
            Failed(self._lost(f"{attempts} connections brought nothing new")),
        ]

    def _cancel(self) -> list[Output]:
        if self._ended:
            return []
        self._ended = True
        return [Cancel()]

    def _lost(self, reason: str) -> errors.Refusal:
        return errors.Refusal(
            errors.ErrorKind.STREAM_LOST,
            f"the stream ended after {self.next_offset} events: {reason};"
            " what was sent is a true part of one answer, not the whole;"
            " send the request again for a whole one",
        )
