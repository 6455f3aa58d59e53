"""Wait policy: whether a request waits for a model or a paused server."""

from typing import NamedTuple

from azureline.core import errors

# A load is published within this time after the first request for its model,
# unless the engines are busy.
ANNOUNCE_S = 0.35
# A request waits for a load to be published for this part of the time in which
# a load could still start in time for it.
_ANNOUNCE_RATIO = 0.9
# A load that is this late is ignored: its order may be lost, or its engine may
# be unreachable.
_OVERDUE_S = 0.5
# Time from the end of a load to the first part of an answer: the node has to
# learn of the model, other requests wait too, and the prompt has to be read.
_SERVE_S = 0.5
# Retry-After is at most this part of the time to the caller's deadline.
_MAX_RETRY_AFTER_RATIO = 1 / 3
_MIN_RETRY_AFTER_S = 0.1
# Callers are spread over this part of a server's pause after the pause ends.
_RETRY_SPREAD_RATIO = 0.5


class Wait(NamedTuple):
    """The request waits.

    Attributes:
      until: monotonic time in seconds at which to decide again.
    """

    until: float


def decide(
    now: float,
    since: float,
    answer_by: float,
    deadline: float,
    load_s: float,
    ready_at: float | None,
) -> Wait | errors.Refusal:
    """Decides on a request whose model no engine can serve now.

    Args:
      now: monotonic time in seconds.
      since: when it started to wait.
      answer_by: when the caller disconnects unless the answer has begun.
      deadline: the caller's deadline, which includes its retries.
      load_s: seconds to load its model.
      ready_at: when the loading model can be used, or None if none is loading.

    Returns:
      How long to wait, or the refusal with its Retry-After.
    """
    detail = "No engine holds the model."
    if ready_at is not None:
        detail = "No engine holds the model in time: its load ends too late."
    if ready_at is not None and now >= ready_at + _OVERDUE_S:
        detail = "No engine holds the model: its load is overdue."
        ready_at = None
    if ready_at is not None and max(ready_at, now) + _SERVE_S < answer_by:
        return Wait(min(ready_at + _OVERDUE_S, answer_by - _SERVE_S))
    latest_start = answer_by - _SERVE_S - load_s
    announce_s = max(ANNOUNCE_S, _ANNOUNCE_RATIO * (latest_start - since))
    announced_by = min(since + announce_s, answer_by - _SERVE_S)
    if ready_at is None and now < announced_by:
        return Wait(announced_by)
    retry_after_s = ANNOUNCE_S if ready_at is None else max(0.0, ready_at - now)
    return errors.Refusal(
        errors.ErrorKind.NO_REPLICA,
        detail,
        retry_after=return_after(now, deadline, retry_after_s),
        ran=errors.Ran.NO,
    )


def decide_pause(
    now: float, until: float, answer_by: float, deadline: float, spread: float
) -> Wait | errors.Refusal:
    """Decides on a request whose servers are all paused.

    Args:
      now: monotonic time in seconds.
      until: when the first of the servers accepts requests again.
      answer_by: when the caller disconnects unless the answer has begun.
      deadline: the caller's deadline, which includes its retries.
      spread: random number from 0 to 1, drawn for each request, so that callers
        do not all retry when the pause ends.

    Returns:
      How long to wait, or the refusal with its Retry-After.
    """
    if until + _SERVE_S < answer_by:
        return Wait(until)
    wanted_s = (until - now) * (1.0 + _RETRY_SPREAD_RATIO * spread)
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        "All servers for this request asked for a pause.",
        retry_after=return_after(now, deadline, wanted_s),
        ran=errors.Ran.NO,
    )


def return_after(now: float, deadline: float, wanted_s: float) -> float:
    """Returns the Retry-After of a refusal in seconds.

    Args:
      now: monotonic time in seconds.
      deadline: the caller's deadline.
      wanted_s: seconds after which a retry can succeed.
    """
    max_s = max(_MIN_RETRY_AFTER_S, (deadline - now) * _MAX_RETRY_AFTER_RATIO)
    return min(max(wanted_s, _MIN_RETRY_AFTER_S), max_s)
