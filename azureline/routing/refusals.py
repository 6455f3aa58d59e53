"""Refusals of calls that admission does not send, with when to come back."""

import random

from azureline import requests
from azureline.core import errors
from azureline.routing import pool as pool_lib

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
_JITTER = 1.25


class Refusals:
    """Builds refusals and notes them in the model's pool."""

    def __init__(self, rng: random.Random):
        """Creates the refusals of one node.

        Args:
          rng: source of the jitter on advice to come back.
        """
        self._rng = rng

    def unreachable(
        self,
        now: float,
        pool: pool_lib.Pool,
        call: requests.ModelCall,
        wait_s: float,
    ) -> errors.Refusal | None:
        """Returns why a call cannot be whole by its deadline, or None."""
        if now >= call.deadline:
            pool.refused.add(now)
            return errors.Refusal(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the deadline had passed on arrival",
                ran=errors.Ran.NO,
            )
        expected_s = pool.service.expected_s(call)
        late_s = now + wait_s + expected_s - call.deadline
        # An idle model takes any call: estimates that only refuse would
        # never see the answers that correct them.
        if late_s <= 0.0 or not (pool.outstanding or pool.waiting):
            return None
        return errors.Refusal(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            f"about {wait_s:.1f} s of waiting and {expected_s:.1f} s of"
            f" service exceed the deadline by {late_s:.1f} s",
            self._retry_after(now, pool, late_s),
        )

    def overloaded(
        self, now: float, pool: pool_lib.Pool, waiting: int, wait_s: float
    ) -> errors.Refusal:
        """Returns the refusal of a call that finds its queue full."""
        return errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f"{waiting} calls of this class wait for the model",
            self._retry_after(now, pool, wait_s),
        )

    def late(self, now: float, pool: pool_lib.Pool) -> errors.Refusal:
        """Returns the refusal of a call that has waited too long."""
        return errors.Refusal(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            "the call waited until its deadline was out of reach",
            self._retry_after(now, pool, pool.service.mean_s),
        )

    def _retry_after(
        self, now: float, pool: pool_lib.Pool, seconds: float
    ) -> float:
        """Returns advice that spreads refused callers over time."""
        pool.refused.add(now)
        advice = seconds * pool.pressure(now)
        advice *= self._rng.uniform(1.0, _JITTER)
        return min(max(advice, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
