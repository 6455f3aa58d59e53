r"""Relay of one token stream from an engine to its caller.

The engine's stream is server-sent events `id: OFFSET\ndata: {...}\n\n`, in
which the first event has offset 0 and every data object begins with the
request's id: `{"id":"REQUEST_ID"`.  The end is an explicit `data: [DONE]`.
"""

from typing import NamedTuple

from azureline.core import errors


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
    """The engine lost the stream and the caller has seen none of it."""


class Pause(NamedTuple):
    """Stop reading from the engine's connection."""


class Resume(NamedTuple):
    """Read on from the engine's connection."""


class Cancel(NamedTuple):
    """Cancel the stream at its engine."""


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
        """Creates a relay whose first connection is attempt 1."""
        raise NotImplementedError

    def opened(self, now: float, attempt: int, request_id: str) -> list[Output]:
        """Takes the answer's head; `request_id` is the echoed one or ""."""
        raise NotImplementedError

    def received(self, now: float, attempt: int, data: bytes) -> list[Output]:
        """Takes bytes of the body of a connection."""
        raise NotImplementedError

    def closed(self, now: float, attempt: int) -> list[Output]:
        """Learns that a connection ended or could not be opened."""
        raise NotImplementedError

    def engine_lost(self, now: float) -> list[Output]:
        """Learns that the engine died or no longer knows the stream."""
        raise NotImplementedError

    def caller_took(self, now: float, unsent: int) -> list[Output]:
        """Learns how many forwarded bytes the caller has not taken yet."""
        raise NotImplementedError

    def caller_left(self, now: float) -> list[Output]:
        """Learns that the caller closed its connection."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Output]:
        """Acts on timeouts; to be called at `wake_at`."""
        raise NotImplementedError

    def wake_at(self) -> float | None:
        """Returns when `tick` must be called, or None when ended."""
        raise NotImplementedError

    def counters(self) -> dict[str, int]:
        """Returns counts of repeats, gaps, mismatches and resumes."""
        raise NotImplementedError
