"""Schedules of prompts for a simulated fleet."""

import random

from tests import builders_crash_suspects


def play_sound(
    fleet: builders_crash_suspects.Fleet,
    rng: random.Random,
    seconds: float,
    per_s: float,
    answers: list[str],
) -> None:
    """Schedules sound prompts at random nodes."""
    for number in range(int(seconds * per_s)):
        parts = f"first,m{rng.randrange(6)},n{rng.randrange(10)}"
        fleet.call(
            rng.uniform(0.0, seconds),
            rng.randrange(len(fleet.records)),
            b"sound %d %d" % (number, rng.getrandbits(32)),
            answers,
            parts,
        )


def play_deadly(
    fleet: builders_crash_suspects.Fleet,
    rng: random.Random,
    seconds: float,
    per_s: float,
    parts: list[str],
    answers: list[str],
) -> None:
    """Schedules prompts with deadly parts at random nodes."""
    for number in range(int(seconds * per_s)):
        fleet.call(
            rng.uniform(0.0, seconds),
            rng.randrange(len(fleet.records)),
            b"prompt %d %d" % (number, rng.getrandbits(32)),
            answers,
            f"first,{parts[number % len(parts)]},n{rng.randrange(10)}",
        )
