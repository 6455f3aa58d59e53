"""Demand and failures in the scenarios of the policy bench."""

from collections.abc import Sequence
import math
import random
from typing import NamedTuple

DURATION_S = 3600.0
"""Length of a scenario in seconds."""

LOAD = 0.7
"""Mean offered work as a fraction of the capacity of all engines."""

SCENARIOS = ("burst", "shift", "lost_engine", "lost_domain", "drain")


class Failure(NamedTuple):
    """A change of state of some engines.

    Attributes:
      at: time in seconds since the start of the scenario.
      kind: "die", "drain" or "return".
      engines: names of the engines.
    """

    at: float
    kind: str
    engines: tuple[str, ...]


class Burst(NamedTuple):
    """A period in which the demand of one model is multiplied.

    Attributes:
      model: name of the model.
      start: start in seconds since the start of the scenario.
      end: end in seconds since the start of the scenario.
      factor: multiplier of the demand.
    """

    model: str
    start: float
    end: float
    factor: float


class Profile:
    """Offered work per second of each model as a function of time."""

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
        """Returns the offered work by model, in units of one engine's capacity.

        Outside bursts the total is constant while the shares change.
        """
        shares = {n: self._share(n, now) for n in self._base}
        scale = self._total / sum(shares.values())
        for burst in self._bursts:
            if burst.start <= now < burst.end:
                shares[burst.model] *= burst.factor
        return {n: share * scale for n, share in shares.items()}

    def _share(self, name: str, now: float) -> float:
        wave = math.sin(2 * math.pi * now / self._period[name])
        wave = 0.35 * (wave + math.sin(self._phase[name]))
        drift_factor = 10 ** (2 * self._drift[name] * now / DURATION_S)
        return self._base[name] * math.exp(wave) * drift_factor


def _bursts(names: Sequence[str], rng: random.Random) -> list[Burst]:
    bursts = []
    start_s = rng.uniform(100, 300)
    while start_s < DURATION_S - 200:
        duration_s = rng.uniform(120, 420)
        name = rng.choice(names[4:])
        bursts.append(
            Burst(name, start_s, start_s + duration_s, rng.uniform(6, 12))
        )
        start_s += rng.uniform(120, 360)
    return bursts


def failures(scenario: str, domains: dict[str, str]) -> list[Failure]:
    """Returns the failures of a scenario, in order of time.

    Args:
      scenario: name of the scenario.
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
                Failure(start_s + offset_s, kind, (name,))
                for start_s, name in zip((600, 1600, 2600), names, strict=False)
                for offset_s, kind in (
                    (0, "drain"),
                    (240, "die"),
                    (300, "return"),
                )
            ]
    return []
