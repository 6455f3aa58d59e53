"""Detects online when the arrivals of a round have slowed down.

The heuristic is that of Albrecht, Tuttle, Snoeren and Vahdat, "Loose
Synchronization for Large-Scale Networked Systems" (USENIX ATC 2006), section
4.1: moving averages of arrival times and of their deviation give the longest
wait for the next arrival.
"""

ARRIVAL_WEIGHT = 0.70
DEVIATION_WEIGHT = 0.75
DEVIATIONS = 4.0


class KneeDetector:
    """Detects the knee in the arrivals of one round."""

    def __init__(self, expected: int, min_share: float):
        """Starts a round at time 0.

        Args:
          expected: number of arrivals if none is missing.
          min_share: share of the expected arrivals before which no knee is
            reported.
        """
        self._expected = expected
        self._min_arrivals = min_share * expected
        self._arrivals = 0
        self._mean_arrival = 0.0
        self._mean_deviation = 0.0

    def arrived(self, at: float) -> None:
        """Records an arrival, in seconds since the start of the round."""
        if not self._arrivals:
            self._mean_arrival = at
        self._arrivals += 1
        deviation = abs(at - self._mean_arrival)
        self._mean_arrival = _moving_average(
            ARRIVAL_WEIGHT, self._mean_arrival, at
        )
        self._mean_deviation = _moving_average(
            DEVIATION_WEIGHT, self._mean_deviation, deviation
        )

    def release_at(self) -> float:
        """Returns when the round ends unless another arrival precedes it.

        It is 0 if all have arrived and infinite before the minimum share has.
        """
        if self._arrivals >= self._expected:
            return 0.0
        if self._arrivals < self._min_arrivals:
            return float("inf")
        return self._mean_arrival + DEVIATIONS * self._mean_deviation


def _moving_average(weight: float, old: float, new: float) -> float:
    return weight * old + (1 - weight) * new
