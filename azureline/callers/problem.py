"""Problem documents (RFC 9457) for refused requests."""

import json
import math
from typing import TypedDict

from azureline.core import errors

CONTENT_TYPE = "application/problem+json"


class Problem(TypedDict):
    """The JSON body of a refusal.

    Attributes:
      type: URN of the error kind.
      title: summary of the error kind.
      status: HTTP status code.
      detail: a sentence about this occurrence.
      kind: the error kind.
      ran: whether a backend server ran the request: "no", "yes" or
        "unknown".
      retry_after: seconds after which to retry, or null.
      request_id: identity of the request, or "".
    """

    type: str
    title: str
    status: int
    detail: str
    kind: str
    ran: str
    retry_after: float | None
    request_id: str


def document(refusal: errors.Refusal, request_id: str) -> Problem:
    """Returns the problem document for a refusal."""
    answer = refusal.answer
    return Problem(
        type=f"urn:azureline:error:{refusal.kind.value}",
        title=answer.title,
        status=answer.status,
        detail=refusal.detail,
        kind=refusal.kind.value,
        ran=answer.ran.value,
        retry_after=answer.retry_after_s,
        request_id=request_id,
    )


def body(refusal: errors.Refusal, request_id: str) -> bytes:
    """Returns the problem document as JSON."""
    return json.dumps(document(refusal, request_id)).encode()


def retry_after_header(refusal: errors.Refusal) -> str:
    """Returns the Retry-After header, rounded up to a second, or ""."""
    seconds = refusal.answer.retry_after_s
    return "" if seconds is None else str(math.ceil(seconds))


def stream_event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Returns the event that ends a stream after its start."""
    text = json.dumps(document(refusal, request_id))
    return f"event: error\ndata: {text}\n\n".encode()
