"""Estimates of the rate and duration of a model's calls."""

import math

from azureline import requests
from azureline.routing import outcome as outcomes

_WEIGHT = 0.1
_RATE_WINDOW_S = 5.0


class Rate:
    """Exponentially decaying average of events per second."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float, weight: float = 1.0) -> None:
        """Counts an event."""
        self._decay(now)
        self._count += weight

    def per_second(self, now: float) -> float:
        """Returns the current rate."""
        self._decay(now)
        return self._count / _RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        self._count *= math.exp((self._at - now) / _RATE_WINDOW_S)
        self._at = now


class ServiceTime:
    """Moving averages of the timing and length of a model's answers."""

    def __init__(self) -> None:
        self._first_token_s = 0.0
        self._token_gap_s = 0.0
        self._used_fraction = 0.0
        self._used_deviation = 0.0
        self._mean_s = 0.0
        self._samples = 0

    @property
    def mean_s(self) -> float:
        """Mean seconds from sending a call to its end; 0 if unknown."""
        return self._mean_s

    def add_sample(
        self, call: requests.ModelCall, sample: outcomes.Sample
    ) -> None:
        """Adds a complete answer to the averages."""
        self._samples += 1
        # The first answers have a higher weight, since the averages start at
        # 0 and would otherwise be too low.
        weight = max(_WEIGHT, 1.0 / self._samples)
        used = min(1.0, sample.tokens / max(1, call.max_tokens))
        self._mean_s += weight * (sample.service_s - self._mean_s)
        fraction_error = used - self._used_fraction
        self._used_fraction += weight * fraction_error
        deviation = abs(fraction_error) if self._samples > 1 else 0.0
        self._used_deviation += weight * (deviation - self._used_deviation)
        if sample.first_token_s is not None:
            error = sample.first_token_s - self._first_token_s
            self._first_token_s += weight * error
        if sample.token_gap_s is not None:
            error = sample.token_gap_s - self._token_gap_s
            self._token_gap_s += weight * error

    def expected_s(self, call: requests.ModelCall) -> float:
        """Returns the estimated seconds from sending the call to its end.

        The estimate adds the mean deviation to the mean length (as in
        Jacobson, "Congestion Avoidance and Control", 1988), because the work
        on an answer that misses its deadline is lost.  It is 0 before the
        first answer, so that no call is refused without data.
        """
        used = min(1.0, self._used_fraction + self._used_deviation)
        tokens = used * call.max_tokens
        return self._first_token_s + tokens * self._token_gap_s
