"""Wait policy: whether a request waits for a model or for a server."""

from typing import NamedTuple

from azureline.core import errors

# A load is published within this time after the first request for its model,
# unless the engines are busy.
LOAD_PUBLISHED_S = 0.35
# A request waits for a load to be published for this part of the time in which
# a load could still start in time for it.
_PUBLISHED_RATIO = 0.9
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


def decide_model_wait(
    now: float,
    waiting_since: float,
    first_event_deadline: float,
    deadline: float,
    load_s: float,
    ready_at: float | None,
) -> Wait | errors.Refusal:
    """Decides on a request whose model no engine can serve now.

    Args:
      now: monotonic time in seconds.
      waiting_since: when it started to wait.
      first_event_deadline: when the caller disconnects unless the answer has
        begun.
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
    if (
        ready_at is not None
        and max(ready_at, now) + _SERVE_S < first_event_deadline
    ):
        return Wait(min(ready_at + _OVERDUE_S, first_event_deadline - _SERVE_S))
    latest_start = first_event_deadline - _SERVE_S - load_s
    publish_wait_s = max(
        LOAD_PUBLISHED_S, _PUBLISHED_RATIO * (latest_start - waiting_since)
    )
    published_by = min(
        waiting_since + publish_wait_s, first_event_deadline - _SERVE_S
    )
    if ready_at is None and now < published_by:
        return Wait(published_by)
    wanted_s = (
        LOAD_PUBLISHED_S if ready_at is None else max(0.0, ready_at - now)
    )
    return errors.Refusal(
        errors.ErrorKind.NO_REPLICA,
        detail,
        retry_after=return_after(now, deadline, wanted_s),
        ran=errors.Ran.NO,
    )


def decide_pause_wait(
    now: float,
    until: float,
    first_event_deadline: float,
    deadline: float,
    spread: float,
) -> Wait | errors.Refusal:
    """Decides on a request whose servers are all paused.

    Args:
      now: monotonic time in seconds.
      until: when the first of the servers accepts requests again.
      first_event_deadline: when the caller disconnects unless the answer has
        begun.
      deadline: the caller's deadline, which includes its retries.
      spread: random number from 0 to 1, drawn for each request, so that callers
        do not all retry when the pause ends.

    Returns:
      How long to wait, or the refusal with its Retry-After.
    """
    if until + _SERVE_S < first_event_deadline:
        return Wait(until)
    wanted_s = (until - now) * (1.0 + _RETRY_SPREAD_RATIO * spread)
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        "All servers for this request asked for a pause.",
        retry_after=return_after(now, deadline, wanted_s),
        ran=errors.Ran.NO,
    )


def latest_send(first_event_deadline: float) -> float:
    """Returns the latest time at which a request can be sent in time.

    Args:
      first_event_deadline: monotonic time in seconds at which the caller
        disconnects unless the answer has begun.
    """
    return first_event_deadline - _SERVE_S


def decide_limit_wait(
    now: float,
    turn_at: float,
    is_used_up: bool,
    latest: float,
    deadline: float,
    detail: str,
) -> Wait | errors.Refusal:
    """Decides on a request that no server can take under its limit.

    A call that is worth the wait has been booked before.  So if the limits are
    used up, the request is refused at once; it waits only for a node that
    grants calls.

    Args:
      now: monotonic time in seconds.
      turn_at: when to ask again; differs between requests.
      is_used_up: whether the limits are used up; if not, no node grants calls
        at the moment.
      latest: latest time at which the request can be sent.
      deadline: the caller's deadline, which includes its retries.
      detail: explanation for the caller, a sentence.

    Returns:
      How long to wait, or the refusal with its Retry-After.
    """
    if not is_used_up and turn_at < latest:
        return Wait(turn_at)
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        detail,
        retry_after=return_after(now, deadline, turn_at - now),
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
