"""Demand and failures of the policy bench's scenarios."""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

DURATION_S = 3600.0
"""Length of a scenario in seconds."""

LOAD = 0.7
"""Mean work offered, as a part of what all engines can do."""

SCENARIOS = ("burst", "shift", "lost_engine", "lost_domain", "drain")


class Failure(NamedTuple):
    """A change of some engines' state.

    Attributes:
      at: time in seconds.
      kind: "die", "drain" or "return".
      engines: names of the engines.
    """

    at: float
    kind: str
    engines: tuple[str, ...]


class Burst(NamedTuple):
    """A time during which one model's demand is multiplied.

    Attributes:
      model: name of the model.
      start: its begin in seconds.
      end: its end in seconds.
      factor: the multiplier.
    """

    model: str
    start: float
    end: float
    factor: float


class Profile:
    """Work per second offered to each model at each time."""

    def __init__(
        self,
        scenario: str,
        names: Sequence[str],
        engines: int,
        rng: random.Random,
        load: float = LOAD,
    ):
        order = list(names)
        rng.shuffle(order)
        self._base = {n: 1 / (i + 1) ** 1.1 for i, n in enumerate(order)}
        self._total = load * engines
        self._phase = {n: rng.uniform(0, 2 * math.pi) for n in names}
        self._period = {n: rng.uniform(900, 2400) for n in names}
        self._drift = dict.fromkeys(names, 0.0)
        if scenario == "shift":
            self._drift = {n: rng.choice((-0.5, 0.5)) for n in names}
        self._bursts: list[Burst] = []
        if scenario == "burst":
            self._bursts = _bursts(order, rng)

    def work(self, now: float) -> dict[str, float]:
        """Returns engine units of work offered per second by model.

        Outside bursts the total stays the same while its parts move.
        """
        parts = {n: self._part(n, now) for n in self._base}
        scale = self._total / sum(parts.values())
        for burst in self._bursts:
            if burst.start <= now < burst.end:
                parts[burst.model] *= burst.factor
        return {n: part * scale for n, part in parts.items()}

    def _part(self, name: str, now: float) -> float:
        wave = math.sin(2 * math.pi * now / self._period[name])
        wave = 0.35 * (wave + math.sin(self._phase[name]))
        moved = 10 ** (2 * self._drift[name] * now / DURATION_S)
        return self._base[name] * math.exp(wave) * moved


def _bursts(names: Sequence[str], rng: random.Random) -> list[Burst]:
    bursts = []
    at = rng.uniform(100, 300)
    while at < DURATION_S - 200:
        lasts = rng.uniform(120, 420)
        name = rng.choice(names[4:])
        bursts.append(Burst(name, at, at + lasts, rng.uniform(6, 12)))
        at += rng.uniform(120, 360)
    return bursts


def failures(scenario: str, domains: dict[str, str]) -> list[Failure]:
    """Returns what happens to engines, in order of time.

    Args:
      scenario: its name.
      domains: failure domain by engine.
    """
    names = sorted(domains)
    match scenario:
        case "lost_engine":
            lost = (names[0],)
            return [Failure(900, "die", lost), Failure(2700, "return", lost)]
        case "lost_domain":
            lost = tuple(n for n in names if domains[n] == "d0")
            return [Failure(900, "die", lost), Failure(2700, "return", lost)]
        case "drain":
            return [
                Failure(at + after, kind, (name,))
                for at, name in zip((600, 1600, 2600), names, strict=False)
                for after, kind in (
                    (0, "drain"),
                    (240, "die"),
                    (300, "return"),
                )
            ]
    return []
