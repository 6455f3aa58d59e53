"""Whether and when a failed call is sent again."""

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
    """A token bucket that is filled by first sends and emptied by retries."""

    def __init__(self, settings: Settings = DEFAULTS):
        raise NotImplementedError

    def sent_first(self) -> None:
        """Counts a first send."""
        raise NotImplementedError

    def spend(self) -> bool:
        """Takes one retry from the budget; False if there is none left."""
        raise NotImplementedError


class Retries:
    """Decides on each failed send of a call."""

    def __init__(self, rng: random.Random, settings: Settings = DEFAULTS):
        raise NotImplementedError

    def sent_first(self) -> None:
        """Counts the first send of a call; every one must be counted."""
        raise NotImplementedError

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
            run; `CONNECT_FAILED` is repeated in any case, since it did not.
          retry_after: seconds that the backend server asked to wait.

        Returns:
          When to send it again, or the refusal for the caller, whose
          `detail` names the rule that forbade a retry.
        """
        raise NotImplementedError
