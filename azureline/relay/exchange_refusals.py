"""Refusals of requests that were offered to backend servers in vain."""

from azureline.core import errors
from azureline.relay import wait_policy

# Seconds after which a caller may come back, where no server says so.
_TURNED_AWAY_RETURN_S = 0.5
_UNREACHABLE_RETURN_S = 0.5
_BUDGET_RETURN_S = 1.0


def turned_away(
    now: float, deadline: float, retry_after_s: float | None
) -> errors.Refusal:
    """Returns the refusal of a request that backend servers refused.

    Args:
      now: monotonic time in seconds.
      deadline: monotonic time in seconds at which the caller leaves.
      retry_after_s: seconds that a server asked for, or None.
    """
    return errors.Refusal(
        errors.ErrorKind.OVERLOADED,
        "Backend servers refused the request.",
        retry_after=wait_policy.return_after(
            now, deadline, retry_after_s or _TURNED_AWAY_RETURN_S
        ),
        ran=errors.Ran.NO,
    )


def budget_used_up(now: float, deadline: float) -> errors.Refusal:
    """Returns the refusal of a request that may not be sent once more.

    Args:
      now: monotonic time in seconds.
      deadline: monotonic time in seconds at which the caller leaves.
    """
    return errors.Refusal(
        errors.ErrorKind.OVERLOADED,
        "The budget for repeats is used up.",
        retry_after=wait_policy.return_after(now, deadline, _BUDGET_RETURN_S),
        ran=errors.Ran.NO,
    )


def unreachable(now: float, deadline: float) -> errors.Refusal:
    """Returns the refusal of a request that no server could be sent.

    Args:
      now: monotonic time in seconds.
      deadline: monotonic time in seconds at which the caller leaves.
    """
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        "No backend server could be reached.",
        retry_after=wait_policy.return_after(
            now, deadline, _UNREACHABLE_RETURN_S
        ),
        ran=errors.Ran.NO,
    )
