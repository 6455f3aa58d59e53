"""Callers' requests and backend servers' answers, between wire and types."""

from collections.abc import Iterable
import email.utils
import re
from typing import NamedTuple

from azureline.platform import names
from azureline.relay import requests
from azureline.util import http1

# Headers that concern one connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# A caller may not name these in "Connection" to have them dropped.
_ESSENTIAL = frozenset(
    {
        b"host",
        names.REQUEST_ID,
        names.MODEL,
        names.TOKENS,
        names.PREFIX,
        names.LAST_EVENT,
    }
)


# Seconds of a pause, with a fraction; the standard form is a date besides.
_SECONDS = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,9})?")


class Notice(NamedTuple):
    """What a backend server says of itself in an answer.

    Attributes:
      leaving: whether it is leaving.
      pause_s: seconds in which it wants nothing from this node, or None.
      resume_at: Unix time in seconds until which it wants nothing, or None.
      unreadable: a pause that cannot be read, or b"".
    """

    leaving: bool = False
    pause_s: float | None = None
    resume_at: float | None = None
    unreadable: bytes = b""


class Reply(NamedTuple):
    """What an answer's head says.

    Attributes:
      status: HTTP status code.
      not_run: whether the backend server says that it did not run.
      wrong_server: whether another server, or one without the model, answered.
      sealed: whether the answer bears the backend server's checksum.
      own: whether it echoes the request's id, or none.
      encoded: whether the body is not as the backend server made it.
      retry_after_s: seconds after which to come back, or None.
    """

    status: int
    not_run: bool
    wrong_server: bool
    sealed: bool
    own: bool
    encoded: bool
    retry_after_s: float | None


def decode(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    caller: str = "",
) -> requests.CallerRequest:
    """Returns a caller's request as the relay sees it.

    Fields that cannot be read take the value that asks for nothing: a
    request is not refused for a hint.

    Args:
      method: HTTP method.
      target: path with its query.
      headers: all headers as received.
      body: the whole body.
      caller: address from which it came.
    """
    lowered = [(name.lower(), value.strip()) for name, value in headers]
    first: dict[bytes, bytes] = {}
    for name, value in lowered:
        first.setdefault(name, value)
    model, _, adapter = _text(first, names.MODEL).partition("/")
    prompt, output = _pair(first.get(names.TOKENS, b""))
    return requests.CallerRequest(
        request_id=_text(first, names.REQUEST_ID),
        method=method,
        target=target,
        host=_text(first, b"host").partition(":")[0].lower(),
        headers=_end_to_end(lowered),
        body=body,
        patience_s=_milliseconds(first.get(names.DEADLINE)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parts(_text(first, names.PREFIX)),
        last_event=_text(first, names.LAST_EVENT),
        caller=caller,
        # Several keys are none.
        key=b",".join(v for n, v in lowered if n == names.KEY).decode(
            "latin-1"
        ),
    )


def encode(
    request: requests.CallerRequest,
    left_s: float,
    instance: str,
    priority: int | None = None,
    last_event: str | None = None,
    workspace: str | None = None,
) -> http1.Request:
    """Returns the request for a backend server.

    Args:
      request: the caller's request.
      left_s: seconds that the backend server may take.
      instance: id of the backend server that must answer.
      priority: rank at an engine, 0 to 9, or None for its default.
      last_event: id of the event after which to go on, or None.
      workspace: name of the workspace, "" on a public route; None if the
        configuration has no workspaces.
    """
    headers = [h for h in request.headers if h[0] != names.DEADLINE]
    if workspace is not None:
        ours = (names.KEY, names.WORKSPACE)
        headers = [h for h in headers if h[0] not in ours]
    if workspace:
        headers.append((names.WORKSPACE, workspace.encode()))
    if last_event is not None:
        headers = [h for h in headers if h[0] != names.LAST_EVENT]
        headers.append((names.LAST_EVENT, last_event.encode()))
    left_ms = max(1, int(left_s * 1000))
    headers.append((names.DEADLINE, b"%d" % left_ms))
    headers.append((names.EXPECT_INSTANCE, instance.encode()))
    if priority is not None:
        headers.append((names.PRIORITY, b"%d" % priority))
    return http1.Request(
        request.method, request.target, tuple(headers), request.body
    )


def reply(head: http1.Head, request_id: str) -> Reply:
    """Returns what an answer's head says about a request."""
    echoed = head.get(names.REQUEST_ID)
    encoding = head.get(b"content-encoding").lower()
    return Reply(
        status=head.status,
        not_run=bool(head.get(names.NOT_RUN)) or head.status == 421,
        wrong_server=head.status == 421,
        sealed=bool(head.get(names.SEAL)),
        own=not echoed or echoed == request_id.encode(),
        encoded=encoding not in (b"", b"identity"),
        retry_after_s=_seconds(head.get(names.RETRY_AFTER)),
    )


def notice(head: http1.Head) -> Notice:
    """Returns what an answer's head says of its backend server."""
    leaving = head.get(names.LEAVING).strip() == b"1"
    value = head.get(names.RETRY_AFTER).strip()
    if head.status != 503 or not value:
        return Notice(leaving)
    seconds = _seconds(value)
    if seconds is not None:
        return Notice(leaving, pause_s=seconds)
    date = _date(value)
    if date is not None:
        return Notice(leaving, resume_at=date)
    return Notice(leaving, unreadable=value)


def passed_on(head: http1.Head) -> http1.Headers:
    """Returns the headers of an answer that go on to the caller."""
    dropped = _HOP_BY_HOP - {b"content-length"}
    named = _nominated(head.headers) - {names.REQUEST_ID, names.SEAL}
    return tuple(
        (name, value)
        for name, value in head.headers
        if name not in dropped and name not in named
    )


def _end_to_end(headers: list[tuple[bytes, bytes]]) -> http1.Headers:
    dropped = (_nominated(headers) - _ESSENTIAL) | _HOP_BY_HOP | names.RESERVED
    return tuple(h for h in headers if h[0] not in dropped)


def _nominated(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )


def _text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _pair(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    return _count(first), _count(second)


def _count(value: bytes) -> int:
    value = value.strip()
    return int(value) if value.isdigit() else 0


def _milliseconds(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return int(value) / 1000


def _seconds(value: bytes) -> float | None:
    value = value.strip()
    return float(value) if _SECONDS.fullmatch(value) else None


def _date(value: bytes) -> float | None:
    try:
        date = email.utils.parsedate_to_datetime(value.decode("latin-1"))
        return date.timestamp()
    except (ValueError, OverflowError):
        return None


def _parts(value: str) -> tuple[requests.PromptPart, ...]:
    parts = []
    for item in value.split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(requests.PromptPart(name, int(tokens)))
    return tuple(parts)
