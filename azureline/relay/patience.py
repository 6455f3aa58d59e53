"""Whether a request waits for a model or is refused at once."""

from typing import NamedTuple

from azureline.core import errors

# A load that was just asked for is announced within this time, unless the
# engines are busy.
ANNOUNCE_S = 0.35
# A request waits for an announcement for this part of the time in which a
# load could still begin for it.
_ANNOUNCE_PART = 0.9
# A load that is so late is not believed in: its order may be lost, or its
# engine gone.
_OVERDUE_S = 0.5
# A request needs this long after the model is there to begin its answer: the
# node learns of it, others wait too, and the prompt has to be read.
_SERVE_S = 0.5
# Callers come back after at most this part of the time they have left.
_RETURN_PART = 1 / 3
_SOONEST_S = 0.1
# Callers come back within this part of a server's pause after its end.
_RETURN_SPREAD = 0.5


class Wait(NamedTuple):
    """Wait for the model.

    Attributes:
      until: monotonic time in seconds at which to decide anew.
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
      since: when it began to wait.
      answer_by: when the caller leaves unless the answer has begun.
      deadline: when the caller's time is over, also for coming back.
      load_s: seconds that a load of its model takes.
      ready_at: when the model can be used, or None if nobody loads it.

    Returns:
      How long to wait, or the refusal with the time to come back.
    """
    detail = "No engine holds the model."
    if ready_at is not None:
        detail = "No engine holds the model in time: its load ends too late."
    if ready_at is not None and now >= ready_at + _OVERDUE_S:
        detail = "No engine holds the model: its load is overdue."
        ready_at = None
    if ready_at is not None and max(ready_at, now) + _SERVE_S < answer_by:
        return Wait(min(ready_at + _OVERDUE_S, answer_by - _SERVE_S))
    latest = answer_by - _SERVE_S - load_s
    announce_s = max(ANNOUNCE_S, _ANNOUNCE_PART * (latest - since))
    announced_by = min(since + announce_s, answer_by - _SERVE_S)
    if ready_at is None and now < announced_by:
        return Wait(announced_by)
    wanted = ANNOUNCE_S if ready_at is None else max(0.0, ready_at - now)
    return errors.Refusal(
        errors.ErrorKind.NO_REPLICA,
        detail,
        retry_after=return_after(now, deadline, wanted),
        ran=errors.Ran.NO,
    )


def decide_pause(
    now: float, until: float, answer_by: float, deadline: float, spread: float
) -> Wait | errors.Refusal:
    """Decides on a request all of whose servers asked for a pause.

    Args:
      now: monotonic time in seconds.
      until: when the first of the servers may be sent to.
      answer_by: when the caller leaves unless the answer has begun.
      deadline: when the caller's time is over, also for coming back.
      spread: number between 0 and 1, drawn for each request, so that callers
        do not all come back when the pause ends.

    Returns:
      How long to wait, or the refusal with the time to come back.
    """
    if until + _SERVE_S < answer_by:
        return Wait(until)
    wanted_s = (until - now) * (1.0 + _RETURN_SPREAD * spread)
    return errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN,
        "All servers for this request asked for a pause.",
        retry_after=return_after(now, deadline, wanted_s),
        ran=errors.Ran.NO,
    )


def return_after(now: float, deadline: float, wanted_s: float) -> float:
    """Returns seconds after which a caller shall come back."""
    most = max(_SOONEST_S, (deadline - now) * _RETURN_PART)
    return min(max(wanted_s, _SOONEST_S), most)
