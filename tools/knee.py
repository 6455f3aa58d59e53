"""Detects on line that arrivals have slowed down.

The heuristic is that of Albrecht, Tuttle, Snoeren and Vahdat, "Loose
Synchronization for Large-Scale Networked Systems" (USENIX ATC 2006), section
4.1: moving averages of arrival times and of their deviation give the longest
wait for the next arrival.
"""

ARRIVAL_WEIGHT = 0.70
DEVIATION_WEIGHT = 0.75
DEVIATIONS = 4.0


class KneeDetector:
    """Follows the arrivals of one round."""

    def __init__(self, expected: int, min_share: float):
        """Starts a round at time 0.

        Args:
          expected: number of arrivals if nobody is missing.
          min_share: share of the expected arrivals before which no knee is
            reported.
        """
        self._expected = expected
        self._least = min_share * expected
        self._count = 0
        self._arrival = 0.0
        self._deviation = 0.0

    def arrived(self, at: float) -> None:
        """Takes an arrival, in seconds since the round began."""
        if not self._count:
            self._arrival = at
        self._count += 1
        deviation = abs(at - self._arrival)
        self._arrival = _mix(ARRIVAL_WEIGHT, self._arrival, at)
        self._deviation = _mix(DEVIATION_WEIGHT, self._deviation, deviation)

    def release_at(self) -> float:
        """Returns when the round ends if nobody arrives until then."""
        if self._count >= self._expected:
            return 0.0
        if self._count < self._least:
            return float("inf")
        return self._arrival + DEVIATIONS * self._deviation


def _mix(weight: float, old: float, new: float) -> float:
    return weight * old + (1 - weight) * new
