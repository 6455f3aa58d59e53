"""What engines can bear, worked out from what requests take of them.

An engine has three things that requests queue for: the time in which it reads
prompts, its slots and its places for adapters.  Each is taken for a queue of
its own.  The chance to wait follows Sakasegawa's approximation of M/M/c
queues (1977): it needs no sums over the servers of a queue.
"""

import math
from typing import NamedTuple

# A late request is worth this part less than one in time.
LATE_LOSS = 0.5
# Standard deviations of a Poisson count beyond which it is no chance.
_UNUSUAL = 3.0


class Work(NamedTuple):
    """What requests take of engines.

    Of one request the fields are seconds; of a model's demand they are
    seconds in each second, so that 1.0 keeps one reader, slot or place busy.

    Attributes:
      reading: reading prompts.
      running: in a slot.
      adapted: in a slot, with an adapter.
    """

    reading: float = 0.0
    running: float = 0.0
    adapted: float = 0.0

    def plus(self, other: "Work") -> "Work":
        """Returns the sum of both."""
        return Work(
            self.reading + other.reading,
            self.running + other.running,
            self.adapted + other.adapted,
        )

    def times(self, factor: float) -> "Work":
        """Returns a multiple of it."""
        return Work(
            self.reading * factor, self.running * factor, self.adapted * factor
        )

    def less(self, other: "Work") -> "Work":
        """Returns what is left without a part of it."""
        return Work(
            max(0.0, self.reading - other.reading),
            max(0.0, self.running - other.running),
            max(0.0, self.adapted - other.adapted),
        )


class Aims(NamedTuple):
    """What the callers of a kind of request put up with.

    Attributes:
      target_s: seconds until an answer begins that is in time.
      gap_s: seconds beyond the usual time between two parts of an answer that
        still are in time; 0 if any are.
      patience_s: seconds after which callers leave if no answer has begun.
    """

    target_s: float
    gap_s: float
    patience_s: float


class Bounds(NamedTuple):
    """What one engine has.

    Attributes:
      slots: requests that it runs at once.
      adapter_places: adapters that it holds at once.
    """

    slots: int
    adapter_places: int


def waits_beyond(
    load: float, servers: int, service_s: float, seconds: float
) -> float:
    """Returns the chance to wait longer than so many seconds.

    Args:
      load: servers that are busy in the mean.
      servers: servers of the queue.
      service_s: seconds that each takes.
      seconds: the wait that is still good.
    """
    if load <= 0.0:
        return 0.0
    if servers <= 0 or load >= servers:
        return 1.0
    busy = load / servers
    waits = busy ** (math.sqrt(2.0 * (servers + 1)) - 1.0)
    if service_s <= 0.0:
        return 0.0
    return waits * math.exp(-(servers - load) * seconds / service_s)


def paused_part(
    load: float, prompt_s: float, seconds: float, run_s: float
) -> float:
    """Returns the part of streams that prompts hold up for too long.

    A stream pauses if prompts for longer than that wait when it begins, or if
    the work that waits passes this level while it runs.

    Args:
      load: part of its time that the engine reads prompts.
      prompt_s: seconds that it reads one.
      seconds: the pause that is still good.
      run_s: seconds that the stream runs.
    """
    if load <= 0.0 or prompt_s <= 0.0:
        return 0.0
    if load >= 1.0:
        return 1.0
    held = waits_beyond(load, 1, prompt_s, seconds)
    begun_each_s = held * (1.0 - load) / prompt_s
    return 1.0 - (1.0 - held) * math.exp(-begun_each_s * run_s)


def late_part(load: Work, each: Work, bounds: Bounds, aims: Aims) -> float:
    """Returns the part of requests that an engine answers late.

    Args:
      load: what the engine has to do in each second.
      each: what one of the requests takes.
      bounds: what the engine has.
      aims: what the callers put up with.
    """
    in_time = 1.0 - waits_beyond(
        load.running, bounds.slots, each.running, aims.target_s
    )
    if each.adapted > 0.0:
        in_time *= 1.0 - waits_beyond(
            load.adapted, bounds.adapter_places, each.running, aims.target_s
        )
    in_time *= 1.0 - waits_beyond(load.reading, 1, each.reading, aims.target_s)
    if aims.gap_s > 0.0:
        in_time *= 1.0 - paused_part(
            load.reading, each.reading, aims.gap_s, each.running
        )
    return 1.0 - in_time


def lost_part(load: Work, each: Work, bounds: Bounds, aims: Aims) -> float:
    """Returns the part of requests that an engine loses, by their worth.

    Late ones lose a part; those whose callers leave before lose all.

    Args:
      load: what the engine has to do in each second.
      each: what one of the requests takes.
      bounds: what the engine has.
      aims: what the callers put up with.
    """
    late = late_part(load, each, bounds, aims)
    left = late_part(
        load,
        each,
        bounds,
        aims._replace(target_s=aims.patience_s, gap_s=aims.patience_s),
    )
    return LATE_LOSS * late + (1.0 - LATE_LOSS) * left


def is_overloaded(requests: int, expected: float, slots: int) -> bool:
    """Returns whether an engine has more requests than its load explains.

    Args:
      requests: requests that run or wait there.
      expected: requests that its models should have there in the mean.
      slots: requests that it runs at once.
    """
    usual = expected + _UNUSUAL * math.sqrt(max(1.0, expected))
    return requests > min(usual, slots)
