"""Refusals of requests that no backend server answered."""

from azureline.core import errors
from azureline.relay import wait_policy

# Seconds after which a caller may come back, where no server says so.
_TURNED_AWAY_RETURN_S = 0.5
_UNREACHABLE_RETURN_S = 0.5
_BUDGET_RETURN_S = 1.0


def no_configuration() -> errors.Refusal:
    """Returns the refusal of a request that came before a configuration."""
    return errors.Refusal(errors.ErrorKind.NOT_READY, "No configuration.")


def no_route() -> errors.Refusal:
    """Returns the refusal of a request that no route matches."""
    return errors.Refusal(
        errors.ErrorKind.NOT_FOUND, "No route matches the host and path."
    )


def no_service() -> errors.Refusal:
    """Returns the refusal of a request whose route names an unknown service."""
    return errors.Refusal(
        errors.ErrorKind.NO_REPLICA, "The route's service is not configured."
    )


def deadline_passed(sent: bool) -> errors.Refusal:
    """Returns the refusal of a request at its deadline.

    Args:
      sent: whether it was sent to a backend server.
    """
    if sent:
        return errors.Refusal(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            "The deadline passed before the answer ended.",
        )
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        "The deadline passed before the request was sent.",
        retry_after=0.1,
        ran=errors.Ran.NO,
    )


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


def version_gone(version: str) -> errors.Refusal:
    """Returns the refusal of a stream at whose version no server serves it.

    Args:
      version: the software version that began the stream.
    """
    return errors.Refusal(
        errors.ErrorKind.RESUMPTION_DECLINED,
        f"No backend server of software version {version} serves the stream.",
    )


def version_unknown(reason: str) -> errors.Refusal:
    """Returns the refusal of a stream whose software version is unknown.

    Args:
      reason: why it is unknown.
    """
    return errors.Refusal(
        errors.ErrorKind.RESUMPTION_DECLINED,
        f"The software version that began the stream is unknown: {reason}.",
    )


def may_have_run() -> errors.Refusal:
    """Returns the refusal of a request after a broken attempt.

    Other refusals state that the request did not run.
    """
    return errors.Refusal(
        errors.ErrorKind.BACKEND_FAILED,
        "A server failed; the request may have run.",
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
