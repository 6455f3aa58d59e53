"""Parses callers' requests and backend servers' answers; builds requests."""

from collections.abc import Iterable
import email.utils
import re
from typing import NamedTuple

from azureline.platform import names
from azureline.relay import requests
from azureline.util import digits
from azureline.util import http1

# Hop-by-hop headers (RFC 9110, 7.6.1).
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
# End-to-end headers that are kept even if a caller lists them in "Connection".
_ESSENTIAL = frozenset(
    {
        b"host",
        names.REQUEST_ID,
        names.MODEL,
        names.TOKEN_USAGE,
        names.PREFIX,
        names.LAST_EVENT_ID,
    }
)


# Retry-After in seconds.  The platform allows a fraction; RFC 9110 allows only
# whole seconds or a date.
_SECONDS = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,9})?")
# A limit in requests a second; longer numbers are rejected.
_RATE = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


class ServerNotice(NamedTuple):
    """Server notice: a backend server's own state, from an answer's headers.

    Attributes:
      leaving: whether the server will stop soon.
      pause_s: seconds for which the server wants no requests from this node,
        or None.
      resume_at: Unix time in seconds until which the server wants no requests
        from this node, or None.
      invalid_retry_after: the Retry-After value if it cannot be parsed, or b"".
      limit_per_s: requests a second that the server takes from all nodes
        together, or None if it names no limit.
      invalid_limit: the limit if it cannot be parsed, or b"".
    """

    leaving: bool = False
    pause_s: float | None = None
    resume_at: float | None = None
    invalid_retry_after: bytes = b""
    limit_per_s: float | None = None
    invalid_limit: bytes = b""


class AnswerHead(NamedTuple):
    """Status and headers of an answer that decide how the relay handles it.

    Attributes:
      status: HTTP status code.
      not_run: whether the backend server reports that it did not run the
        request.
      wrong_server: whether the status is 421: another server instance answered,
        or the server lacks the model.
      sealed: whether the answer carries the backend server's checksum.
      matches_request: whether the answer echoes this request's id or no id at
        all.
      names_request: whether the answer names a request.
      encoded: whether the body has a content encoding other than identity.
      retry_after_s: seconds after which a retry is advised, or None.
    """

    status: int
    not_run: bool
    wrong_server: bool
    sealed: bool
    matches_request: bool
    names_request: bool
    encoded: bool
    retry_after_s: float | None


def parse_request(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> requests.CallerRequest:
    """Parses a caller's request.

    A header that cannot be parsed counts as absent: these headers are hints,
    and a malformed hint is no reason to refuse a request.

    Args:
      method: HTTP method.
      target: request target, the path with its query.
      headers: all headers as received.
      body: the whole body.
    """
    lowered = [(name.lower(), value.strip()) for name, value in headers]
    first: dict[bytes, bytes] = {}
    for name, value in lowered:
        first.setdefault(name, value)
    model, _, adapter = _text(first, names.MODEL).partition("/")
    prompt, output = _parse_pair(first.get(names.TOKEN_USAGE, b""))
    return requests.CallerRequest(
        request_id=_text(first, names.REQUEST_ID),
        method=method,
        target=target,
        host=_text(first, b"host").partition(":")[0].lower(),
        headers=_end_to_end(lowered),
        body=body,
        patience_s=_parse_milliseconds(first.get(names.WAIT_LIMIT)),
        model=model,
        adapter=adapter,
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parse_parts(_text(first, names.PREFIX)),
        last_event=_text(first, names.LAST_EVENT_ID),
        resumes=_text(first, names.RESUMES),
        # Several keys are joined, so that they match no workspace's key.
        key=b",".join(v for n, v in lowered if n == names.API_KEY).decode(
            "latin-1"
        ),
    )


def build_request(
    request: requests.CallerRequest,
    time_limit_s: float,
    instance: str,
    priority: int | None = None,
    last_event: str | None = None,
    workspace: str | None = None,
) -> http1.Request:
    """Builds the request to a backend server.

    Args:
      request: the caller's request.
      time_limit_s: time limit for the backend server in seconds.
      instance: id of the server instance that must answer.
      priority: priority at the engine, 0 to 9, or None for the engine's
        default.
      last_event: id of the event after which the stream resumes, or None.
      workspace: name of the workspace, "" on a public route; None if the
        configuration has no workspaces.
    """
    headers = [h for h in request.headers if h[0] != names.WAIT_LIMIT]
    if workspace is not None:
        workspace_headers = (names.API_KEY, names.WORKSPACE)
        headers = [h for h in headers if h[0] not in workspace_headers]
    if workspace:
        headers.append((names.WORKSPACE, workspace.encode()))
    if last_event is not None:
        headers = [h for h in headers if h[0] != names.LAST_EVENT_ID]
        headers.append((names.LAST_EVENT_ID, last_event.encode()))
    time_limit_ms = max(1, int(time_limit_s * 1000))
    headers.append((names.WAIT_LIMIT, b"%d" % time_limit_ms))
    headers.append((names.EXPECT_INSTANCE, instance.encode()))
    if priority is not None:
        headers.append((names.PRIORITY, b"%d" % priority))
    return http1.Request(
        request.method, request.target, tuple(headers), request.body
    )


def parse_answer_head(head: http1.Head, request_id: str) -> AnswerHead:
    """Parses the parts of an answer's head that concern the request."""
    echoed = head.get(names.REQUEST_ID)
    encoding = head.get(b"content-encoding").lower()
    return AnswerHead(
        status=head.status,
        not_run=bool(head.get(names.NOT_EXECUTED)) or head.status == 421,
        wrong_server=head.status == 421,
        sealed=bool(head.get(names.SEAL)),
        matches_request=not echoed or echoed == request_id.encode(),
        names_request=bool(echoed),
        encoded=encoding not in (b"", b"identity"),
        retry_after_s=_parse_seconds(head.get(names.RETRY_AFTER)),
    )


def parse_server_notice(head: http1.Head) -> ServerNotice:
    """Parses the server notice in an answer's head.

    A Retry-After header counts as a pause only with status 503.
    """
    notice = _parse_limit(head)._replace(
        leaving=head.get(names.LEAVING).strip() == b"1"
    )
    value = head.get(names.RETRY_AFTER).strip()
    if head.status != 503 or not value:
        return notice
    seconds = _parse_seconds(value)
    if seconds is not None:
        return notice._replace(pause_s=seconds)
    date = _parse_date(value)
    if date is not None:
        return notice._replace(resume_at=date)
    return notice._replace(invalid_retry_after=value)


def forwarded_headers(head: http1.Head) -> http1.Headers:
    """Returns the headers of an answer that are forwarded to the caller."""
    dropped = _HOP_BY_HOP - {b"content-length"}
    named = _connection_tokens(head.headers) - {names.REQUEST_ID, names.SEAL}
    return tuple(
        (name, value)
        for name, value in head.headers
        if name not in dropped and name not in named
    )


def _end_to_end(headers: list[tuple[bytes, bytes]]) -> http1.Headers:
    dropped = (
        (_connection_tokens(headers) - _ESSENTIAL)
        | _HOP_BY_HOP
        | names.RESERVED_HEADERS
    )
    return tuple(h for h in headers if h[0] not in dropped)


def _connection_tokens(
    headers: Iterable[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    )


def _text(headers: dict[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1")


def _parse_pair(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    return _parse_count(first), _parse_count(second)


def _parse_count(value: bytes) -> int:
    return digits.parse(value.strip()) or 0


def _parse_milliseconds(value: bytes | None) -> float | None:
    milliseconds = None if value is None else digits.parse(value)
    return None if milliseconds is None else milliseconds / 1000


def _parse_seconds(value: bytes) -> float | None:
    value = value.strip()
    return float(value) if _SECONDS.fullmatch(value) else None


def _parse_date(value: bytes) -> float | None:
    try:
        date = email.utils.parsedate_to_datetime(value.decode("latin-1"))
        return date.timestamp()
    except (ValueError, OverflowError):
        return None


def _parse_limit(head: http1.Head) -> ServerNotice:
    """Parses the limit; of several values the lowest counts."""
    values = [v.strip() for n, v in head.headers if n == names.LIMIT]
    rates = [float(v) for v in values if _RATE.fullmatch(v)]
    invalid = next((v for v in values if not _RATE.fullmatch(v)), b"")
    return ServerNotice(
        limit_per_s=min(rates, default=None), invalid_limit=invalid
    )


def _parse_parts(value: str) -> tuple[requests.PromptPart, ...]:
    parts = []
    for item in value.split(","):
        name, _, tokens = item.strip().partition(":")
        count = digits.parse(tokens)
        if name and count is not None:
            parts.append(requests.PromptPart(name, count))
    return tuple(parts)
