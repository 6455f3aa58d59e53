"""Compare-and-swap writes that are repeated until their result is known.

A write without an answer may have taken effect, or may still do so.  It is
repeated with the same bytes and the same expected version, so at most one
copy takes effect, and a conflict shows the stamp of the write that did.
"""

import random
from typing import NamedTuple

from azureline.at_most_once import effects
from azureline.at_most_once import page
from azureline.platform import interface
from azureline.util import backoff

RETRY_BASE_S = 0.05
RETRY_MAX_S = 1.0


class Stored(NamedTuple):
    """The write is durable.

    Attributes:
      version: version of the key after the write.
    """

    version: int


class StoredByOther(NamedTuple):
    """Another write changed the key first.

    Attributes:
      found: the stored value; None if it is malformed or absent.
      version: version of the key; 0 if it is absent.
    """

    found: page.Page | page.Chunk | None
    version: int


class ResultUnknown(NamedTuple):
    """The result is not known; the write will be repeated."""


class CasWrite:
    """Performs one compare-and-swap write at a time."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._write: effects.Write | None = None
        self._stamp: page.WriteId | None = None
        self._attempt_done = True
        self._failures = 0
        self._started = 0.0
        self.retry_at = float("inf")

    @property
    def busy(self) -> bool:
        """Whether the result of a write is not known yet."""
        return self._write is not None

    @property
    def key(self) -> str | None:
        """The key being written, or None."""
        return self._write.key if self._write else None

    def age(self, now: float) -> float:
        """Returns the seconds since the unsettled write began, or 0."""
        return now - self._started if self._write else 0.0

    def start(
        self, now: float, key: str, value: page.Page | page.Chunk, version: int
    ) -> effects.Write:
        """Starts a write; none may be in progress."""
        self._write = effects.Write(key, page.pack(value), version)
        self._stamp = value.stamp
        self._attempt_done = False
        self._failures = 0
        self._started = now
        self.retry_at = float("inf")
        return self._write

    def retry(self, now: float) -> list[effects.Effect]:
        """Repeats a failed write once its back-off has passed."""
        if self._write is None or not self._attempt_done or now < self.retry_at:
            return []
        self._attempt_done = False
        self.retry_at = float("inf")
        return [self._write]

    def handle_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> Stored | StoredByOther | ResultUnknown:
        """Handles the result of a write."""
        if isinstance(result, interface.Unavailable):
            self._attempt_done = True
            self._failures += 1
            max_delay_s = backoff.pause_s(
                RETRY_BASE_S, RETRY_MAX_S, self._failures
            )
            self.retry_at = now + self._rng.uniform(0, max_delay_s)
            return ResultUnknown()
        stamp = self._stamp
        self._write = None
        self._attempt_done = True
        if isinstance(result, interface.Entry):
            return Stored(result.version)
        found = parse(result.current)
        version = result.current.version if result.current else 0
        if found is not None and found.stamp == stamp:
            return Stored(version)
        return StoredByOther(found, version)


def parse(entry: interface.Entry | None) -> page.Page | page.Chunk | None:
    """Returns the page or chunk in an entry; None if absent or malformed."""
    if entry is None:
        return None
    try:
        return page.unpack(entry.value)
    except page.MalformedError:
        return None
