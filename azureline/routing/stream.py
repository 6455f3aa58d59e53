r"""Relay of one token stream from an engine to its caller.

The engine's stream is server-sent events `id: OFFSET\ndata: {...}\n\n`, in
which the first event has offset 0 and every data object begins with the
request's id: `{"id":"REQUEST_ID"`.  The end is an explicit `data: [DONE]`,
with the next offset as its id or without an id.
"""

import enum
from typing import NamedTuple

from azureline.core import errors

_END = b"\n\n"
_ID = b"id: "
_DATA = b"\ndata: "
_DONE = b"[DONE]"


class Settings(NamedTuple):
    """Settings of a relay.

    Attributes:
      first_token_timeout_s: seconds of silence before the first event after
        which a connection is replaced.
      progress_timeout_s: seconds of silence between events after which a
        connection is replaced.
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


class Counts(NamedTuple):
    """Events of one stream, for counters under `stream.`.

    Attributes:
      repeats: events that had been forwarded before.
      gaps: events that came ahead of their turn.
      mismatches: answers or events of another request.
      resumes: connections that were replaced.
      malformed: events that could not be read.
    """

    repeats: int = 0
    gaps: int = 0
    mismatches: int = 0
    resumes: int = 0
    malformed: int = 0


class _Verdict(enum.Enum):
    """What to do with one event."""

    FORWARD = enum.auto()
    FINISH = enum.auto()
    DROP = enum.auto()
    FAULT = enum.auto()


_FORWARD = _Verdict.FORWARD
_FINISH = _Verdict.FINISH
_DROP = _Verdict.DROP
_FAULT = _Verdict.FAULT


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
        self._request_id = request_id
        name = request_id.encode()
        self._heads = (b'{"id":"%b"' % name, b'{"id": "%b"' % name)
        self._attempt = 1
        self._next = 0
        self._buffer = b""
        self._known = False
        self._fruitless = 0
        self._counts = Counts()
        self._ended = False
        self._paused = False
        self._heard_at = now
        self._unsent = 0
        self._took_at = now

    @property
    def next_offset(self) -> int:
        """Offset of the next event to forward."""
        return self._next

    @property
    def attempt(self) -> int:
        """Number of the connection whose input counts."""
        return self._attempt

    @property
    def counts(self) -> Counts:
        """Counts of what was dropped and replaced."""
        return self._counts

    def counters(self) -> dict[str, int]:
        """Returns `counts` by name."""
        return self._counts._asdict()

    @property
    def ended(self) -> bool:
        """Whether nothing more will come out."""
        return self._ended

    def opened(self, now: float, attempt: int, request_id: str) -> list[Output]:
        """Takes an answer's head; `request_id` is the echoed one or ""."""
        if self._ended or attempt != self._attempt:
            return []
        self._heard_at = now
        if request_id and request_id != self._request_id:
            self._count(mismatches=1)
            return self._replace(now)
        self._known = bool(request_id)
        return []

    def received(self, now: float, attempt: int, data: bytes) -> list[Output]:
        """Takes bytes of the body of a connection."""
        if self._ended or attempt != self._attempt:
            return []
        buffer = self._buffer + data if self._buffer else data
        start = 0
        forwarded = self._next
        fault = done = False
        pieces = []
        while (end := buffer.find(_END, start)) >= 0:
            event = buffer[start : end + 2]
            start = end + 2
            verdict = self._read(event)
            if verdict is _FORWARD:
                pieces.append(event)
            elif verdict is _FINISH:
                pieces.append(event)
                done = True
                break
            elif verdict is _FAULT:
                fault = True
                break
        self._buffer = buffer[start:]
        if self._next > forwarded:
            self._heard_at = now
            self._fruitless = 0
        outputs: list[Output] = self._forward(now, pieces)
        if done:
            self._ended = True
            return [*outputs, Finished(self._next)]
        if len(self._buffer) > self._settings.event_bytes:
            self._count(malformed=1)
            fault = True
        return outputs + (self._replace(now) if fault else [])

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
        if self._next == 0:
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
        if self._next == 0:
            return self._heard_at + settings.first_token_timeout_s
        return self._heard_at + settings.progress_timeout_s

    def _slow_at(self) -> float:
        return self._took_at + self._settings.slow_caller_s

    def _read(self, event: bytes) -> _Verdict:
        """Judges one event and moves the offset if it is the next."""
        colon = event.find(_DATA)
        if colon < 0 or not event.startswith(_ID):
            return self._read_unnumbered(event)
        text = event[4:colon]
        if not text.isdigit():
            self._count(malformed=1)
            return _FAULT
        offset = int(text)
        body = colon + len(_DATA)
        done = event.startswith(_DONE, body)
        if not done and not event.startswith(self._heads, body):
            self._count(mismatches=1)
            return _FAULT
        if offset != self._next:
            return self._out_of_turn(offset, done)
        if done:
            return _FINISH if self._known else self._stray()
        self._known = True
        self._next = offset + 1
        return _FORWARD

    def _read_unnumbered(self, event: bytes) -> _Verdict:
        if event.startswith(b":"):
            return _DROP
        if event.startswith(b"data: [DONE]"):
            return _FINISH if self._known else self._stray()
        self._count(malformed=1)
        return _FAULT

    def _out_of_turn(self, offset: int, done: bool) -> _Verdict:
        if offset < self._next and not done:
            self._count(repeats=1)
            self._known = True
            return _DROP
        self._count(gaps=1)
        return _FAULT

    def _stray(self) -> _Verdict:
        """An end counts only on a connection known to be this request's."""
        self._count(mismatches=1)
        return _FAULT

    def _forward(self, now: float, pieces: list[bytes]) -> list[Output]:
        if not pieces:
            return []
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
        self._count(resumes=1)
        self._attempt += 1
        self._buffer = b""
        self._known = False
        self._heard_at = now
        outputs: list[Output] = [ResumeAt(self._next, self._attempt)]
        # A new connection starts out reading.
        return [*outputs, Pause()] if self._paused else outputs

    def _give_up(self) -> list[Output]:
        self._ended = True
        if self._next == 0:
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
            f"the stream ended after {self._next} events: {reason};"
            " what was sent is a true part of one answer, not the whole;"
            " send the request again for a whole one",
        )

    def _count(self, **more: int) -> None:
        old = self._counts
        self._counts = old._replace(
            **{name: getattr(old, name) + n for name, n in more.items()}
        )
