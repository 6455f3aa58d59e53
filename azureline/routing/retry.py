"""Retries of failed calls.

Retries take tokens from a bucket that only first sends fill, so that they
cannot multiply the load in an overload.  Their backoff has full jitter
(Brooker, "Exponential Backoff and Jitter", 2015).
"""

import collections
import enum
import random
from typing import NamedTuple

from azureline.core import errors


class Reason(enum.Enum):
    """Why an attempt failed; retries are counted as `retry.<reason>`."""

    CONNECT_FAILED = "connect_failed"
    BUSY = "busy"
    LEAVING = "leaving"
    BACKEND_DIED = "backend_died"
    FIRST_TOKEN_TIMEOUT = "first_token_timeout"
    STREAM_GONE = "stream_gone"


# Failures after which the backend server cannot have started the call.
NOT_STARTED = frozenset({Reason.CONNECT_FAILED, Reason.BUSY, Reason.LEAVING})
_KINDS = {
    Reason.CONNECT_FAILED: errors.ErrorKind.BACKEND_FAILED,
    Reason.BUSY: errors.ErrorKind.OVERLOADED,
    Reason.LEAVING: errors.ErrorKind.NO_REPLICA,
    Reason.BACKEND_DIED: errors.ErrorKind.BACKEND_FAILED,
    Reason.FIRST_TOKEN_TIMEOUT: errors.ErrorKind.BACKEND_FAILED,
    Reason.STREAM_GONE: errors.ErrorKind.BACKEND_FAILED,
}


class Settings(NamedTuple):
    """Settings of retries.

    Attributes:
      ratio: long-term number of retries per first send.
      burst: maximum number of retries that the budget accumulates.
      attempts: maximum number of sends of one call, including the first.
      base_s: upper bound of the first backoff in seconds; it doubles with each
        attempt.
      cap_s: largest upper bound of a backoff in seconds.
    """

    ratio: float = 0.1
    burst: float = 10.0
    attempts: int = 3
    base_s: float = 0.05
    cap_s: float = 2.0


DEFAULTS = Settings()


class RetryAt(NamedTuple):
    """The call is to be sent again.

    Attributes:
      at: monotonic time in seconds at which to send it.
      counter: name of the counter of this retry.
    """

    at: float
    counter: str


class RetryBudget:
    """A token bucket that is filled by first sends and emptied by retries.

    After any number of first sends there were at most `burst` retries plus
    `ratio` times that number.
    """

    def __init__(self, settings: Settings = DEFAULTS):
        """Creates a full bucket.

        Args:
          settings: the settings; only `ratio` and `burst` are used.
        """
        self._ratio = settings.ratio
        self._burst = settings.burst
        self._tokens = settings.burst

    def set_ratio(self, ratio: float) -> None:
        """Sets the number of retries per first send."""
        self._ratio = ratio

    def add_first_send(self) -> None:
        """Counts a first send."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes one retry from the budget.

        Returns:
          False if less than one retry is left.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryPolicy:
    """Decides whether and when a call whose send failed is sent again."""

    def __init__(self, rng: random.Random, settings: Settings = DEFAULTS):
        """Creates the retry policy of one node, with a full budget.

        Args:
          rng: source of the jitter.
          settings: the settings.
        """
        self._rng = rng
        self._settings = settings
        self._budget = RetryBudget(settings)
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.Counter[str]:
        """Counters of retries and of refused retries.

        Their names are `retry.<reason>` and `retry_refused.<rule>`.
        """
        return self._counts

    def set_ratio(self, ratio: float) -> None:
        """Sets the number of retries per first send."""
        self._budget.set_ratio(ratio)

    def add_first_send(self) -> None:
        """Counts the first send of a call, which adds to the budget.

        The sender must call this once per call, and not for retries.
        """
        self._budget.add_first_send()

    def decide(
        self,
        now: float,
        deadline: float,
        attempt: int,
        reason: Reason,
        idempotent: bool = True,
        retry_after: float = 0.0,
    ) -> RetryAt | errors.Refusal:
        """Decides whether to repeat a call whose send failed.

        Args:
          now: monotonic time in seconds.
          deadline: monotonic time in seconds by which the answer must be
            complete.
          attempt: number of sends so far, 1 after the first.
          reason: why the latest send failed.
          idempotent: whether the call may be repeated although it may have
            run; a call that the server cannot have started may be repeated in
            any case.
          retry_after: seconds that the backend server asked to wait.

        Returns:
          The time of the next send, or the refusal for the caller, whose
          `detail` names the rule that forbids a retry.
        """
        at = now + retry_after + self._backoff_s(attempt)
        rule = self._forbidding_rule(at, deadline, attempt, reason, idempotent)
        if rule:
            self._counts[f"retry_refused.{rule}"] += 1
            return _refusal(reason, rule, attempt)
        counter = f"retry.{reason.value}"
        self._counts[counter] += 1
        return RetryAt(at, counter)

    def _backoff_s(self, attempt: int) -> float:
        bound_s = self._settings.base_s * 2.0 ** (attempt - 1)
        return self._rng.uniform(0.0, min(bound_s, self._settings.cap_s))

    def _forbidding_rule(
        self,
        at: float,
        deadline: float,
        attempt: int,
        reason: Reason,
        idempotent: bool,
    ) -> str:
        """Returns the rule that forbids a retry, or "".

        If no rule does, it takes the retry from the budget.
        """
        if not idempotent and reason not in NOT_STARTED:
            return "not_idempotent"
        if attempt >= self._settings.attempts:
            return "attempts"
        if at >= deadline:
            return "deadline"
        return "" if self._budget.spend() else "budget"


def with_unknown_execution(refusal: errors.Refusal) -> errors.Refusal:
    """Returns the refusal of a call that may have run in an earlier attempt.

    Admission does not know of earlier attempts: it refuses a retried call like
    any other, as a call that did not run.

    Args:
      refusal: the refusal of the latest attempt.

    Returns:
      The refusal with `ran` set to unknown, unless it says that the call ran.
    """
    if refusal.answer.ran is errors.Ran.YES:
        return refusal
    return refusal._replace(ran=errors.Ran.UNKNOWN)


def _refusal(reason: Reason, rule: str, attempt: int) -> errors.Refusal:
    # The reason covers the latest send only; an earlier one may have run.
    not_run = attempt == 1 and reason in NOT_STARTED
    ran = errors.Ran.NO if not_run else errors.Ran.UNKNOWN
    kind = _KINDS[reason]
    if rule == "not_idempotent":
        kind = errors.ErrorKind.MAY_HAVE_RUN
    elif rule == "deadline":
        kind = errors.ErrorKind.DEADLINE_EXCEEDED
    return errors.Refusal(
        kind, f"{reason.value}, not repeated: {rule}", ran=ran
    )
