"""Whether and when a failed call is sent again.

Retries are paid from a token bucket that only first sends fill, so that they
cannot multiply load in an overload, and wait with full jitter (Brooker,
"Exponential Backoff and Jitter", 2015).
"""

import collections
import enum
import random
from typing import NamedTuple

from azureline.core import errors


class Reason(enum.Enum):
    """Why a call would be sent again; counted as `retry.<reason>`."""

    CONNECT_FAILED = "connect_failed"
    BUSY = "busy"
    LEAVING = "leaving"
    BACKEND_DIED = "backend_died"
    FIRST_TOKEN_TIMEOUT = "first_token_timeout"
    STREAM_GONE = "stream_gone"


# Reasons for which the backend server cannot have started the call.
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
      ratio: retries per first send, in the long run.
      burst: retries that may be saved up.
      attempts: sends of one call at most, the first included.
      base_s: scale of the first backoff in seconds.
      cap_s: largest scale of a backoff in seconds.
    """

    ratio: float = 0.1
    burst: float = 10.0
    attempts: int = 3
    base_s: float = 0.05
    cap_s: float = 2.0


DEFAULTS = Settings()


class RetryAt(NamedTuple):
    """Send the call again.

    Attributes:
      at: monotonic time in seconds at which to send it.
      counter: name of the counter to count it under.
    """

    at: float
    counter: str


class RetryBudget:
    """A token bucket that is filled by first sends and emptied by retries.

    After any number of first sends, the retries are at most `ratio` times
    that number and `burst`.
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
        """Takes another number of retries per first send."""
        self._ratio = ratio

    def sent_first(self) -> None:
        """Counts a first send."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes one retry from the budget; False if there is none left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Retries:
    """Decides on each failed send of a call."""

    def __init__(self, rng: random.Random, settings: Settings = DEFAULTS):
        """Creates the decisions of one node.

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
        """Retries by `retry.<reason>`, refused by `retry_refused.<rule>`."""
        return self._counts

    def set_ratio(self, ratio: float) -> None:
        """Takes another number of retries per first send."""
        self._budget.set_ratio(ratio)

    def sent_first(self) -> None:
        """Counts the first send of a call; every one must be counted."""
        self._budget.sent_first()

    def decide(
        self,
        now: float,
        deadline: float,
        attempt: int,
        reason: Reason,
        idempotent: bool = True,
        retry_after: float = 0.0,
    ) -> RetryAt | errors.Refusal:
        """Decides on a send that has failed.

        Args:
          now: monotonic time in seconds.
          deadline: monotonic time by which the answer must be whole.
          attempt: sends so far, 1 after the first.
          reason: why it failed.
          idempotent: whether the call may be repeated although it may have
            run; calls that were not started are repeated in any case.
          retry_after: seconds that the backend server asked to wait.

        Returns:
          When to send it again, or the refusal for the caller, whose
          `detail` names the rule that forbade a retry.
        """
        at = now + retry_after + self._backoff_s(attempt)
        rule = self._forbidden(at, deadline, attempt, reason, idempotent)
        if rule:
            self._counts[f"retry_refused.{rule}"] += 1
            return _refusal(reason, rule, attempt)
        counter = f"retry.{reason.value}"
        self._counts[counter] += 1
        return RetryAt(at, counter)

    def _backoff_s(self, attempt: int) -> float:
        scale = self._settings.base_s * 2.0 ** (attempt - 1)
        return self._rng.uniform(0.0, min(scale, self._settings.cap_s))

    def _forbidden(
        self,
        at: float,
        deadline: float,
        attempt: int,
        reason: Reason,
        idempotent: bool,
    ) -> str:
        """Returns the rule that forbids a retry, or "" after paying it."""
        if not idempotent and reason not in NOT_STARTED:
            return "not_idempotent"
        if attempt >= self._settings.attempts:
            return "attempts"
        if at >= deadline:
            return "deadline"
        return "" if self._budget.spend() else "budget"


def may_have_run(refusal: errors.Refusal) -> errors.Refusal:
    """Returns a refusal for a call of which an earlier send may have run.

    Admission refuses a call that comes back for a retry as any other, and
    does not know that it was sent before.

    Args:
      refusal: the refusal of the latest try.
    """
    if refusal.answer.ran is errors.Ran.YES:
        return refusal
    return refusal._replace(ran=errors.Ran.UNKNOWN)


def _refusal(reason: Reason, rule: str, attempt: int) -> errors.Refusal:
    # Earlier sends may have ended otherwise than the last one.
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
