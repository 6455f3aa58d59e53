"""Refusals of calls that admission does not send, with retry-after advice."""

import random

from azureline import requests
from azureline.core import errors
from azureline.routing import pool as pool_lib

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 60.0
_JITTER = 1.25


class Refusals:
    """Builds refusals and counts them in the model's pool."""

    def __init__(self, rng: random.Random):
        """Creates the builder of one node's refusals.

        Args:
          rng: source of the jitter on retry-after values.
        """
        self._rng = rng

    def unreachable(
        self,
        now: float,
        pool: pool_lib.Pool,
        call: requests.ModelCall,
        wait_s: float,
    ) -> errors.Refusal | None:
        """Returns the refusal of a call that would miss its deadline, or None.

        Args:
          now: monotonic time in seconds.
          pool: the pool of the call's model.
          call: the generation.
          wait_s: estimated seconds until the call would be sent.
        """
        if now >= call.deadline:
            pool.refused.add(now)
            return errors.Refusal(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                f"the call arrived {now - call.deadline:.1f} s after its"
                " deadline",
                ran=errors.Ran.NO,
            )
        expected_s = pool.service.expected_s(call)
        late_s = now + wait_s + expected_s - call.deadline
        # An idle model accepts any call.  If it refused all calls on a wrong
        # estimate, no answer would ever correct the estimate.
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
        """Returns the refusal of a call whose queue is full."""
        return errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f"{waiting} calls of this class wait for the model",
            self._retry_after(now, pool, wait_s),
        )

    def expired(self, now: float, pool: pool_lib.Pool) -> errors.Refusal:
        """Returns the refusal of a call that waited for too long."""
        return errors.Refusal(
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            "the call waited so long that it would miss its deadline",
            self._retry_after(now, pool, pool.service.mean_s),
        )

    def _retry_after(
        self, now: float, pool: pool_lib.Pool, seconds: float
    ) -> float:
        """Counts a refusal and returns the seconds until a retry may succeed.

        The value grows with the offered load and has jitter, so that refused
        callers return at different times.
        """
        pool.refused.add(now)
        advice = seconds * pool.load_ratio(now)
        advice *= self._rng.uniform(1.0, _JITTER)
        return min(max(advice, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
