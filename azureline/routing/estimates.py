"""Estimates of how long the calls of one model take."""

import math

from azureline import requests
from azureline.routing import outcome as outcomes

_WEIGHT = 0.1
_RATE_WINDOW_S = 5.0


class Rate:
    """Events per second, averaged over some seconds of decay."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float, weight: float = 1.0) -> None:
        """Counts an event."""
        self._decay(now)
        self._count += weight

    def per_second(self, now: float) -> float:
        """Returns the present rate."""
        self._decay(now)
        return self._count / _RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        self._count *= math.exp((self._at - now) / _RATE_WINDOW_S)
        self._at = now


class ServiceTime:
    """Moving averages of a model's answers."""

    def __init__(self) -> None:
        self._first_token_s = 0.0
        self._token_gap_s = 0.0
        self._used_part = 0.0
        self._used_deviation = 0.0
        self._mean_s = 0.0
        self._samples = 0

    @property
    def mean_s(self) -> float:
        """Mean seconds from sending a call to its end; 0 if unknown."""
        return self._mean_s

    def learn(self, call: requests.ModelCall, sample: outcomes.Sample) -> None:
        """Takes a whole answer into the averages."""
        self._samples += 1
        # The first answers count in full, or the averages would start low.
        weight = max(_WEIGHT, 1.0 / self._samples)
        used = min(1.0, sample.tokens / max(1, call.max_tokens))
        self._mean_s += weight * (sample.service_s - self._mean_s)
        miss = used - self._used_part
        self._used_part += weight * miss
        deviation = abs(miss) if self._samples > 1 else 0.0
        self._used_deviation += weight * (deviation - self._used_deviation)
        if sample.first_token_s is not None:
            gain = sample.first_token_s - self._first_token_s
            self._first_token_s += weight * gain
        if sample.token_gap_s is not None:
            gain = sample.token_gap_s - self._token_gap_s
            self._token_gap_s += weight * gain

    def expected_s(self, call: requests.ModelCall) -> float:
        """Returns the likely seconds from sending the call to its end.

        A mean deviation is added to the mean length (as in Jacobson,
        "Congestion Avoidance and Control", 1988): work for an answer that
        misses its deadline is lost.  The result is 0 before the first
        answer: what is not known refuses nothing.
        """
        used = min(1.0, self._used_part + self._used_deviation)
        tokens = used * call.max_tokens
        return self._first_token_s + tokens * self._token_gap_s
