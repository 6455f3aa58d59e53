"""Schedules of prompts for a simulated fleet."""

import random

from tests import builders_crash_suspects

_WALK_STEPS = (
    "deadly",
    "deadly",
    "deadly",
    "restart",
    "restart_all",
    "cut",
    "freeze",
    "crash",
    "crash",
    "store_down",
)


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


def walk(
    fleet: builders_crash_suspects.Fleet,
    seed: int,
    parts: list[str],
    sound: list[str],
    steps: int = 10,
) -> None:
    """Plays random disturbances and prompts with deadly parts, then calm.

    Args:
      fleet: the fleet.
      seed: seed of the walk.
      parts: the deadly parts.
      sound: receives the outcomes of sound prompts.
      steps: number of steps before the calm.
    """
    chooser, rng = random.Random(seed), random.Random(seed + 1)
    nodes, deadly = len(fleet.records), []
    fleet.deadly_parts.update(parts)
    for _ in range(steps):
        match chooser.choice(_WALK_STEPS):
            case "deadly":
                seconds = chooser.uniform(0.1, 4.0)
                per_s = chooser.choice([0.5, 3.0, 10.0])
                play_sound(fleet, rng, seconds, 6.0, sound)
                play_deadly(fleet, rng, seconds, per_s, parts, deadly)
                fleet.play(seconds)
            case "restart":
                fleet.restart(chooser.randrange(nodes))
            case "restart_all":
                for number in range(nodes):
                    fleet.restart(number)
            case "cut":
                fleet.cut_off(
                    chooser.randrange(nodes), chooser.uniform(0.5, 6.0)
                )
            case "freeze":
                fleet.freeze(
                    chooser.randrange(nodes), chooser.uniform(0.5, 6.0)
                )
            case "crash":
                fleet.crash(chooser.choice(fleet.servers))
            case "store_down":
                fleet.store_down(chooser.uniform(0.5, 5.0))
    play_sound(fleet, rng, 12.0, 6.0, sound)
    play_deadly(fleet, rng, 12.0, 4.0, parts, deadly)
    fleet.play(16.0)
