"""Log lines of attempts to send requests to backend servers."""

from typing import NamedTuple

from azureline.core import errors
from azureline.relay import assignment as assignments
from azureline.relay import attempt as attempts
from azureline.relay import requests
from azureline.relay import routes
from azureline.util import events

# Callers choose the number and the names of a prompt's parts.
_MAX_PARTS = 8
_MAX_NAME = 32


class EndedAttempt(NamedTuple):
    """An attempt that has ended.

    Attributes:
      request: the caller's request.
      route: its route.
      assignment: the server that it was sent to.
      attempt: the attempt.
      result: how it ended.
      content: digest of the request if a crash may accuse it, or b"".
      passed_events: events of a stream that reached the caller.
      number: number of the attempt, from 1.
      left_s: seconds from its start to the deadline.
      took_s: seconds from its start to its end.
      waited_s: seconds from the receipt of the request to its start.
    """

    request: requests.CallerRequest
    route: routes.Route
    assignment: assignments.Assignment
    attempt: attempts.Attempt
    result: attempts.Result
    content: bytes
    passed_events: int
    number: int
    left_s: float
    took_s: float
    waited_s: float


def write(log: events.Log, ended: EndedAttempt) -> None:
    """Writes the line of an attempt."""
    request, server = ended.request, ended.assignment.server
    log.info(
        "attempt",
        request=request.request_id,
        route=ended.route.name,
        server=server.server_id,
        born_ms=server.born_ms,
        beat=server.beat,
        version=server.software_version,
        resumes=request.resumes[:_MAX_NAME],
        model=request.model,
        adapter=request.adapter,
        prompt=request.prompt_tokens,
        parts=_shared_part_names(request),
        events=ended.passed_events,
        send=ended.number,
        left_s=round(ended.left_s, 3),
        first_s=_round_ms(ended.attempt.first_s),
        pause_s=_round_ms(ended.attempt.pause_s),
        took_s=round(ended.took_s, 3),
        waited_s=round(ended.waited_s, 3),
        outcome=ended.result.end.value,
        status=ended.result.status,
        reason=ended.result.reason,
        content=ended.content.hex(),
    )


def write_caller_left(
    log: events.Log,
    request: requests.CallerRequest,
    route: routes.Route | None,
    waited_s: float,
    **progress: int,
) -> None:
    """Writes the line of a request whose caller has disconnected.

    Args:
      log: the event log.
      request: the request.
      route: its route, if it is known.
      waited_s: seconds since its receipt.
      **progress: whether it was sent, and how much of its answer was passed on.
    """
    log.info(
        "caller_left",
        request=request.request_id,
        route=route.name if route else "",
        model=request.model,
        adapter=request.adapter,
        waited_s=round(waited_s, 3),
        **progress,
    )


def write_refused(
    log: events.Log,
    request: requests.CallerRequest,
    route: routes.Route | None,
    refusal: errors.Refusal,
    **progress: float,
) -> None:
    """Writes the line of a refusal.

    Args:
      log: the event log.
      request: the request.
      route: its route, if it is known.
      refusal: the refusal.
      **progress: version of the configuration, times in seconds and attempts.
    """
    answer = refusal.answer
    log.info(
        "refused",
        request=request.request_id,
        route=route.name if route else "",
        model=request.model,
        adapter=request.adapter,
        kind=refusal.kind.value,
        status=answer.status,
        retry_after_s=answer.retry_after_s,
        detail=refusal.detail,
        **progress,
    )


def _shared_part_names(request: requests.CallerRequest) -> str:
    names = [part.name for part in request.shared_parts[:_MAX_PARTS]]
    return ",".join(name[:_MAX_NAME] for name in names)


def _round_ms(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
