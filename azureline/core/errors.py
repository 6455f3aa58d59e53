"""Error kinds and the HTTP answer for each of them.

Code that refuses a request does not raise; it returns a `Refusal`, a falsy
sentinel with the error kind and a detail.  The callers' interface looks up the
kind in `ANSWERS` and builds an RFC 9457 problem document from it.
"""

import enum
from typing import NamedTuple


class Ran(enum.Enum):
    """Whether a refused request was executed by a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """Every reason for which a request can end without an answer."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    MAY_HAVE_RUN = "may_have_run"
    DID_NOT_RUN = "did_not_run"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_REPLICA = "no_replica"
    BACKEND_FAILED = "backend_failed"
    STREAM_LOST = "stream_lost"
    RESUMPTION_DECLINED = "resumption_declined"
    CRASH_SUSPECT = "crash_suspect"
    ENDED_SERVERS = "ended_servers"
    CRASHING_PART = "crashing_part"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class ErrorAnswer(NamedTuple):
    """The HTTP answer that reports an error kind to the caller.

    Attributes:
      status: HTTP status code.
      ran: whether the request ran, unless the refusal overrides it.
      retry_after_s: default Retry-After in seconds; None advises against a
        retry.
      title: title of the problem document.
    """

    status: int
    ran: Ran
    retry_after_s: float | None
    title: str


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(
        400, Ran.NO, None, "The request is malformed"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
        413, Ran.NO, None, "The request's body is too large"
    ),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(
        401, Ran.NO, None, "The caller's key is missing or unknown"
    ),
    ErrorKind.NOT_FOUND: ErrorAnswer(
        404, Ran.NO, None, "There is nothing here"
    ),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(
        404, Ran.NO, None, "No model or adapter has this name"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(
        404, Ran.NO, None, "No service has this name"
    ),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(
        400, Ran.NO, None, "A non-idempotent call needs an Idempotency-Key"
    ),
    ErrorKind.KEY_INVALID: ErrorAnswer(
        400, Ran.NO, None, "The Idempotency-Key is not a UUIDv7"
    ),
    ErrorKind.KEY_EXPIRED: ErrorAnswer(
        409, Ran.UNKNOWN, None, "The Idempotency-Key is past its retention"
    ),
    ErrorKind.KEY_REUSED: ErrorAnswer(
        422, Ran.NO, None, "The Idempotency-Key was used with another body"
    ),
    ErrorKind.MAY_HAVE_RUN: ErrorAnswer(
        409, Ran.UNKNOWN, None, "The request may have run"
    ),
    ErrorKind.DID_NOT_RUN: ErrorAnswer(
        503, Ran.NO, 1.0, "The request did not run"
    ),
    ErrorKind.OVERLOADED: ErrorAnswer(
        429, Ran.NO, 1.0, "The system is over capacity"
    ),
    ErrorKind.OVER_QUOTA: ErrorAnswer(
        429, Ran.NO, 1.0, "The workspace is over its quota"
    ),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(
        429, Ran.NO, 1.0, "The deadline cannot be met"
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, Ran.UNKNOWN, 1.0, "The deadline has passed"
    ),
    ErrorKind.NO_REPLICA: ErrorAnswer(
        503, Ran.NO, 2.0, "No backend server holds the model"
    ),
    ErrorKind.BACKEND_FAILED: ErrorAnswer(
        502, Ran.UNKNOWN, 1.0, "The backend server failed"
    ),
    ErrorKind.STREAM_LOST: ErrorAnswer(
        502, Ran.UNKNOWN, 0.5, "The stream broke before its end"
    ),
    ErrorKind.RESUMPTION_DECLINED: ErrorAnswer(
        503, Ran.NO, 0.1, "The stream cannot go on"
    ),
    ErrorKind.CRASH_SUSPECT: ErrorAnswer(
        503, Ran.UNKNOWN, 30.0, "The request may crash backend servers"
    ),
    ErrorKind.ENDED_SERVERS: ErrorAnswer(
        502, Ran.YES, 600.0, "Backend servers ended while they ran the request"
    ),
    ErrorKind.CRASHING_PART: ErrorAnswer(
        503, Ran.NO, 600.0, "A part of the prompt crashes backend servers"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(
        503, Ran.NO, 5.0, "The platform's service is unavailable"
    ),
    ErrorKind.SHUTTING_DOWN: ErrorAnswer(
        503, Ran.NO, 0.1, "This node is shutting down"
    ),
    ErrorKind.NOT_READY: ErrorAnswer(
        503, Ran.NO, 1.0, "This node is not ready"
    ),
    ErrorKind.CALLER_GONE: ErrorAnswer(
        499, Ran.UNKNOWN, None, "The caller closed the connection"
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, Ran.UNKNOWN, None, "Internal error"),
}


class Refusal(NamedTuple):
    """Falsy sentinel: the request is refused.

    Functions return it in place of a result.

    Attributes:
      kind: the error kind, which selects the answer.
      detail: explanation of this case for the caller, a sentence.
      retry_after: Retry-After in seconds; None selects the kind's default.
      ran: whether the request ran; None selects the kind's default.
    """

    kind: ErrorKind
    detail: str
    retry_after: float | None = None
    ran: Ran | None = None

    def __bool__(self) -> bool:
        return False

    @property
    def answer(self) -> ErrorAnswer:
        """The kind's answer with this refusal's `ran` and `retry_after`."""
        default = ANSWERS[self.kind]
        retry_after = self.retry_after
        if retry_after is None:
            retry_after = default.retry_after_s
        return default._replace(
            ran=self.ran or default.ran, retry_after_s=retry_after
        )

    @property
    def counter(self) -> str:
        """The name of the counter for this refusal."""
        return f"refused.{self.kind.value}"
