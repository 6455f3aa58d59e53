"""Faults of the stand-in for a backend server, and what they apply to."""

from typing import NamedTuple

from twisted.web import server

PREFIX = "Azureline-Prompt-Prefix"


class CrashFault(NamedTuple):
    """Crashes the server at certain requests.

    Attributes:
      mark: part of the target of these requests, or "" for none.
      parts: names of parts of prompts; requests with one of them match.
      after_s: seconds from the start of a request to the crash.
      back_s: seconds until the server runs again.
      how: "reset" to break all connections; "silent" to send and refuse nothing
        until the server runs again, as a host without power; "cut" for the same
        until the path heals, while the server already runs again.
      cut_s: seconds until the path heals.
      events: events of a stream that are written before the crash.
      answer: "lost" to reset the request's own connection at its start, or a
        status that the server answers `answer_s` seconds after the start.
      answer_s: see `answer`.
    """

    mark: str = ""
    parts: tuple[str, ...] = ()
    after_s: float = 0.05
    back_s: float = 1.5
    how: str = "reset"
    cut_s: float = 4.0
    events: int = 0
    answer: str = ""
    answer_s: float = 0.0


class PauseFault(NamedTuple):
    """Refuses requests for `for_s` with a Retry-After of `seconds`."""

    seconds: float
    for_s: float = 0.0


class LimitFault(NamedTuple):
    """Names a limit of `per_s` calls a second in all replies for `for_s`."""

    per_s: float
    for_s: float


def part_names(request: server.Request) -> tuple[str, ...]:
    """Returns the names of the prompt's parts that may be shared."""
    value = request.getHeader(PREFIX) or ""
    return tuple(x.partition(":")[0] for x in value.split(",")[:-1])


def is_deadly(fault: CrashFault, request: server.Request) -> bool:
    """Returns whether a request crashes the server."""
    if fault.mark and fault.mark in request.uri.decode():
        return True
    return not set(part_names(request)).isdisjoint(fault.parts)
