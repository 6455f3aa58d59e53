"""Queueing model of an engine's capacity.

Requests queue for three resources of an engine: prompt reading time, slots and
adapter slots.  Each is modelled as a separate M/M/c queue.  The probability of
waiting uses Sakasegawa's approximation (1977), which needs no sum over the
servers of a queue.
"""

import math
from typing import NamedTuple

# Fraction of its worth that a request loses if it is answered late.
LATE_LOSS = 0.5
# A Poisson count this many standard deviations above the mean is not attributed
# to chance.
_OVERLOAD_DEVIATIONS = 3.0


class RequestLoad(NamedTuple):
    """Engine time that requests use.

    For one request the fields are in seconds.  For the demand on a model they
    are in seconds per second, so that 1.0 keeps one prompt reader, slot or
    adapter slot busy.

    Attributes:
      reading: time reading prompts.
      running: time in a slot.
      adapted: time in a slot with an adapter.
    """

    reading: float = 0.0
    running: float = 0.0
    adapted: float = 0.0

    def plus(self, other: "RequestLoad") -> "RequestLoad":
        """Returns the sum of this and another load."""
        return RequestLoad(
            self.reading + other.reading,
            self.running + other.running,
            self.adapted + other.adapted,
        )

    def times(self, factor: float) -> "RequestLoad":
        """Returns this load multiplied by a factor."""
        return RequestLoad(
            self.reading * factor, self.running * factor, self.adapted * factor
        )

    def minus(self, other: "RequestLoad") -> "RequestLoad":
        """Returns this load minus another, at least 0 in each field."""
        return RequestLoad(
            max(0.0, self.reading - other.reading),
            max(0.0, self.running - other.running),
            max(0.0, self.adapted - other.adapted),
        )


class LatencyTargets(NamedTuple):
    """Latency targets of the callers of one kind of request.

    Attributes:
      target_s: latest start of an answer that is in time, in seconds.
      max_gap_s: longest delay between two stream events that is in time, in
        seconds beyond the usual interval; 0 if unlimited.
      wait_limit_s: seconds after which callers disconnect if no answer has
        begun.
    """

    target_s: float
    max_gap_s: float
    wait_limit_s: float


class Bounds(NamedTuple):
    """Limits of one engine.

    Attributes:
      slots: requests that the engine can run at once.
      adapter_places: adapters that the engine can hold at once.
    """

    slots: int
    adapter_places: int


def waits_beyond(
    load: float, servers: int, service_s: float, seconds: float
) -> float:
    """Returns the probability of a wait beyond a limit in an M/M/c queue.

    Args:
      load: mean number of busy servers.
      servers: number of servers of the queue.
      service_s: mean service time in seconds.
      seconds: the limit of the wait in seconds.
    """
    if load <= 0.0:
        return 0.0
    if servers <= 0 or load >= servers:
        return 1.0
    utilization = load / servers
    wait_probability = utilization ** (math.sqrt(2.0 * (servers + 1)) - 1.0)
    if service_s <= 0.0:
        return 0.0
    return wait_probability * math.exp(-(servers - load) * seconds / service_s)


def paused_part(
    load: float, prompt_s: float, seconds: float, run_s: float
) -> float:
    """Returns the fraction of streams that prompt reading pauses for too long.

    A stream pauses for too long if the queued prompt reading exceeds the limit
    when the stream begins, or rises above the limit while the stream runs.

    Args:
      load: fraction of its time that the engine reads prompts.
      prompt_s: seconds to read one prompt.
      seconds: longest acceptable pause in seconds.
      run_s: duration of the stream in seconds.
    """
    if load <= 0.0 or prompt_s <= 0.0:
        return 0.0
    if load >= 1.0:
        return 1.0
    paused = waits_beyond(load, 1, prompt_s, seconds)
    pauses_per_s = paused * (1.0 - load) / prompt_s
    return 1.0 - (1.0 - paused) * math.exp(-pauses_per_s * run_s)


def late_part(
    load: RequestLoad,
    each: RequestLoad,
    bounds: Bounds,
    targets: LatencyTargets,
) -> float:
    """Returns the fraction of requests that an engine answers late.

    Args:
      load: total load of the engine, in seconds per second.
      each: load of one of the requests, in seconds.
      bounds: limits of the engine.
      targets: latency targets of the callers.
    """
    in_time = 1.0 - waits_beyond(
        load.running, bounds.slots, each.running, targets.target_s
    )
    if each.adapted > 0.0:
        in_time *= 1.0 - waits_beyond(
            load.adapted, bounds.adapter_places, each.running, targets.target_s
        )
    in_time *= 1.0 - waits_beyond(
        load.reading, 1, each.reading, targets.target_s
    )
    if targets.max_gap_s > 0.0:
        in_time *= 1.0 - paused_part(
            load.reading, each.reading, targets.max_gap_s, each.running
        )
    return 1.0 - in_time


def lost_part(
    load: RequestLoad,
    each: RequestLoad,
    bounds: Bounds,
    targets: LatencyTargets,
) -> float:
    """Returns the fraction of the requests' worth that an engine loses.

    A late request loses `LATE_LOSS` of its worth; a request whose caller
    disconnects before the answer begins loses all of it.

    Args:
      load: total load of the engine, in seconds per second.
      each: load of one of the requests, in seconds.
      bounds: limits of the engine.
      targets: latency targets of the callers.
    """
    late = late_part(load, each, bounds, targets)
    abandoned = late_part(
        load,
        each,
        bounds,
        targets._replace(
            target_s=targets.wait_limit_s, max_gap_s=targets.wait_limit_s
        ),
    )
    return LATE_LOSS * late + (1.0 - LATE_LOSS) * abandoned


def is_overloaded(requests: int, expected: float, slots: int) -> bool:
    """Returns whether an engine has more requests than its load explains.

    Args:
      requests: requests that are running or queued at the engine.
      expected: mean number of requests expected for the engine's models.
      slots: requests that the engine can run at once.
    """
    upper_bound = expected + _OVERLOAD_DEVIATIONS * math.sqrt(
        max(1.0, expected)
    )
    return requests > min(upper_bound, slots)
