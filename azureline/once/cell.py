"""Compare-and-swap writes whose fate is always settled.

A write without an answer may have taken effect, or may do so later.  It is
repeated with the same bytes and the same expected version: of all copies at
most one takes effect, and a conflict shows the stamp of whoever was first.
"""

import random
from typing import NamedTuple

from azureline.once import effects
from azureline.once import page
from azureline.platform import interface
from azureline.util import backoff

RETRY_BASE_S = 0.05
RETRY_MAX_S = 1.0


class Landed(NamedTuple):
    """The write is durable.

    Attributes:
      version: version of the key after it.
    """

    version: int


class Foreign(NamedTuple):
    """Another write was first.

    Attributes:
      found: what it wrote; None if it is malformed or absent.
      version: version of the key, or 0.
    """

    found: page.Page | page.Chunk | None
    version: int


class Unsettled(NamedTuple):
    """The fate is open; the write will be repeated."""


class Cell:
    """At most one write at a time."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._write: effects.Write | None = None
        self._stamp: page.Stamp | None = None
        self._answered = True
        self._failures = 0
        self._started = 0.0
        self.retry_at = float("inf")

    @property
    def busy(self) -> bool:
        """Whether a write is not settled yet."""
        return self._write is not None

    @property
    def key(self) -> str | None:
        """The key being written, or None."""
        return self._write.key if self._write else None

    def age(self, now: float) -> float:
        """Returns for how many seconds the present write is not settled."""
        return now - self._started if self._write else 0.0

    def start(
        self, now: float, key: str, value: page.Page | page.Chunk, version: int
    ) -> effects.Write:
        """Begins a write; the cell must not be busy."""
        self._write = effects.Write(key, page.pack(value), version)
        self._stamp = value.stamp
        self._answered = False
        self._failures = 0
        self._started = now
        self.retry_at = float("inf")
        return self._write

    def retry(self, now: float) -> list[effects.Effect]:
        """Repeats a write without an answer when it is time."""
        if self._write is None or not self._answered or now < self.retry_at:
            return []
        self._answered = False
        self.retry_at = float("inf")
        return [self._write]

    def settle(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> Landed | Foreign | Unsettled:
        """Takes the result of a write."""
        if isinstance(result, interface.Unavailable):
            self._answered = True
            self._failures += 1
            bound = backoff.pause_s(RETRY_BASE_S, RETRY_MAX_S, self._failures)
            self.retry_at = now + self._rng.uniform(0, bound)
            return Unsettled()
        stamp = self._stamp
        self._write = None
        self._answered = True
        if isinstance(result, interface.Entry):
            return Landed(result.version)
        found = parse(result.current)
        version = result.current.version if result.current else 0
        if found is not None and found.stamp == stamp:
            return Landed(version)
        return Foreign(found, version)


def parse(entry: interface.Entry | None) -> page.Page | page.Chunk | None:
    """Returns the page or chunk in an entry, or None if there is none."""
    if entry is None:
        return None
    try:
        return page.unpack(entry.value)
    except page.MalformedError:
        return None
