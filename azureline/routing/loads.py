"""What one node believes about the load of engines.

Own outstanding calls are known at once.  The calls of other nodes are known
only from hints on answers, which fade with their age.
"""

from collections.abc import Sequence
from typing import NamedTuple


class LoadHint(NamedTuple):
    """Load of an engine as told on one of its answers.

    Attributes:
      running: requests being generated, of all nodes.
      queued: requests waiting in the engine, of all nodes.
    """

    running: int
    queued: int


def parse_load(header: str) -> LoadHint | None:
    """Parses the `X-Load: running,queued` header; None if malformed."""
    running, comma, queued = header.partition(",")
    if not comma or not running.isdecimal() or not queued.isdecimal():
        return None
    return LoadHint(int(running), int(queued))


class _Load:
    """This node's view of one engine."""

    __slots__ = ("at", "others", "outstanding")

    def __init__(self) -> None:
        self.outstanding = 0
        self.others = 0.0
        self.at = float("-inf")


class LoadTable:
    """Own outstanding calls and fading hints, by engine."""

    def __init__(self, half_life_s: float):
        """Creates an empty table.

        Args:
          half_life_s: seconds in which trust in a hint halves.
        """
        self._half_life_s = half_life_s
        self._loads: dict[str, _Load] = {}

    def started(self, engine: str) -> None:
        """Counts a call that is sent."""
        self._load(engine).outstanding += 1

    def finished(self, engine: str) -> None:
        """Forgets a call."""
        load = self._load(engine)
        load.outstanding = max(0, load.outstanding - 1)

    def hinted(self, now: float, engine: str, hint: LoadHint) -> None:
        """Takes a hint; own outstanding calls are part of its numbers."""
        load = self._load(engine)
        total = hint.running + hint.queued
        load.others = max(0.0, float(total - load.outstanding))
        load.at = now

    def restarted(self, engine: str) -> None:
        """Forgets the hint of an engine that started afresh."""
        load = self._load(engine)
        load.others = 0.0
        load.at = float("-inf")

    def outstanding(self, engine: str) -> int:
        """Returns this node's calls that the engine is working on."""
        load = self._loads.get(engine)
        return load.outstanding if load is not None else 0

    def mean_others(self, now: float, engines: Sequence[str]) -> float:
        """Returns the trusted mean load that other nodes put on engines."""
        total = 0.0
        weight = 0.0
        for engine in engines:
            load = self._load(engine)
            trust = self._trust(now, load)
            total += trust * load.others
            weight += trust
        return total / weight if weight > 0.0 else 0.0

    def estimate(self, now: float, engine: str, mean: float) -> float:
        """Returns the estimated calls at an engine.

        As a hint ages, the mean of its kind takes its place: an engine not
        heard of for long must look neither idle nor busy.

        Args:
          now: monotonic time in seconds.
          engine: name of the engine.
          mean: what `mean_others` returned for it and its like.
        """
        load = self._load(engine)
        trust = self._trust(now, load)
        return load.outstanding + trust * load.others + (1.0 - trust) * mean

    def _load(self, engine: str) -> _Load:
        load = self._loads.get(engine)
        if load is None:
            load = self._loads[engine] = _Load()
        return load

    def _trust(self, now: float, load: _Load) -> float:
        return 0.5 ** ((now - load.at) / self._half_life_s)
