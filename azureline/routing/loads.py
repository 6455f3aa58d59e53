"""One node's estimates of the load of engines.

The node counts its own outstanding calls itself.  It knows the calls of other
nodes only from load hints that engines send with their answers; the weight of
a hint decays with its age.
"""

from collections.abc import Sequence
from typing import NamedTuple


class LoadHint(NamedTuple):
    """Load of an engine, as reported with one of its answers.

    Attributes:
      running: number of requests of all nodes that are being generated.
      queued: number of requests of all nodes that wait in the engine.
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
    """This node's estimate of one engine's load.

    Attributes:
      outstanding: number of this node's outstanding calls.
      others: number of other nodes' calls according to the latest hint.
      at: monotonic time in seconds of that hint.
    """

    __slots__ = ("at", "others", "outstanding")

    def __init__(self) -> None:
        self.outstanding = 0
        self.others = 0.0
        self.at = float("-inf")


class LoadTable:
    """Own outstanding calls and latest load hint of each engine."""

    def __init__(self, half_life_s: float):
        """Creates an empty table.

        Args:
          half_life_s: half-life in seconds of the weight of a hint.
        """
        self._half_life_s = half_life_s
        self._loads: dict[str, _Load] = {}

    def started(self, engine: str) -> None:
        """Counts a sent call."""
        self._load(engine).outstanding += 1

    def finished(self, engine: str) -> None:
        """Ends a call."""
        load = self._load(engine)
        load.outstanding = max(0, load.outstanding - 1)

    def record_hint(self, now: float, engine: str, hint: LoadHint) -> None:
        """Records a hint, whose numbers include own outstanding calls."""
        load = self._load(engine)
        total = hint.running + hint.queued
        load.others = max(0.0, float(total - load.outstanding))
        load.at = now

    def discard_hint(self, engine: str) -> None:
        """Discards the hint of a restarted engine."""
        load = self._load(engine)
        load.others = 0.0
        load.at = float("-inf")

    def outstanding(self, engine: str) -> int:
        """Returns the number of this node's outstanding calls."""
        load = self._loads.get(engine)
        return load.outstanding if load is not None else 0

    def mean_others(self, now: float, engines: Sequence[str]) -> float:
        """Returns the mean number of other nodes' calls per engine.

        Hints are weighted by their age; without hints the mean is 0.
        """
        total = 0.0
        weight = 0.0
        for engine in engines:
            load = self._load(engine)
            hint_weight = self._hint_weight(now, load)
            total += hint_weight * load.others
            weight += hint_weight
        return total / weight if weight > 0.0 else 0.0

    def estimate(self, now: float, engine: str, mean: float) -> float:
        """Returns the estimated number of calls at an engine.

        As a hint ages, the mean of comparable engines replaces it, so that an
        engine without a recent hint appears neither idle nor busy.

        Args:
          now: monotonic time in seconds.
          engine: name of the engine.
          mean: the result of `mean_others` for comparable engines.
        """
        load = self._load(engine)
        hint_weight = self._hint_weight(now, load)
        return (
            load.outstanding
            + hint_weight * load.others
            + (1.0 - hint_weight) * mean
        )

    def _load(self, engine: str) -> _Load:
        load = self._loads.get(engine)
        if load is None:
            load = self._loads[engine] = _Load()
        return load

    def _hint_weight(self, now: float, load: _Load) -> float:
        return 0.5 ** ((now - load.at) / self._half_life_s)
