"""Messages between entry nodes and the owners of at-most-once slots.

An entry node sends a `Claim` to the owner of the key's slot and dispatches
the request only after a `Granted`.  Every reply carries the request id of the
claim that it answers.
"""

import enum
from typing import NamedTuple

from azureline.core import errors


class Result(enum.Enum):
    """Outcome of a granted request."""

    RAN = "ran"
    DID_NOT_RUN = "did_not_run"
    UNKNOWN = "unknown"


class Answer(NamedTuple):
    """Complete answer of a backend server.

    Attributes:
      status: HTTP status code.
      headers: pairs of name and value.
      body: the complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(NamedTuple):
    """Requests permission to dispatch a request.

    The entry node repeats a claim with the same request id until a reply
    arrives.

    Attributes:
      slot: number of the slot that the key belongs to.
      caller: name of the caller.
      key: the caller's Idempotency-Key.
      content: digest of service, path and body.
      budget_s: seconds left until the request's deadline.
      node: name of the entry node.
      request_id: identity of this copy of the request; never reused.
    """

    slot: int
    caller: str
    key: str
    content: bytes
    budget_s: float
    node: str
    request_id: str


class Withdraw(NamedTuple):
    """Withdraws a claim for which no grant has arrived.

    Attributes:
      slot: number of the slot.
      caller: name of the caller.
      key: the Idempotency-Key.
      node: name of the entry node.
      request_id: request id of the claim.
    """

    slot: int
    caller: str
    key: str
    node: str
    request_id: str


class Outcome(NamedTuple):
    """Reports the outcome of a grant; repeated until `OutcomeTaken`.

    Attributes:
      slot: number of the slot.
      caller: name of the caller.
      key: the Idempotency-Key.
      content: digest of service, path and body.
      node: name of the entry node.
      request_id: request id of the claim.
      attempt: attempt number of the grant.
      result: value of a `Result`.
      answer: the complete answer if the request ran and the answer is short
        enough to be cached, else None.
    """

    slot: int
    caller: str
    key: str
    content: bytes
    node: str
    request_id: str
    attempt: int
    result: str
    answer: Answer | None


class Granted(NamedTuple):
    """Permits the entry node to dispatch the request once.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
      attempt: number of this grant of the key; repeated replies keep it.
    """

    slot: int
    request_id: str
    attempt: int


class InProgress(NamedTuple):
    """Another copy holds the grant; its outcome will be sent when known.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
    """

    slot: int
    request_id: str


class Replay(NamedTuple):
    """Answer of the request that ran with this key.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
      answer: the complete answer.
    """

    slot: int
    request_id: str
    answer: Answer


class RanWithoutAnswer(NamedTuple):
    """The request ran, but its answer is no longer cached.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
    """

    slot: int
    request_id: str


class Refused(NamedTuple):
    """The claim is refused.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
      kind: value of an `errors.ErrorKind`.
      detail: human-readable reason.
      retry_after_s: seconds after which the caller may retry, or None.
      ran: value of an `errors.Ran`: whether the request is known to have run.
    """

    slot: int
    request_id: str
    kind: str
    detail: str
    retry_after_s: float | None
    ran: str


class NotOwner(NamedTuple):
    """The receiver does not own the slot; look up the current owner.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim or outcome.
    """

    slot: int
    request_id: str


class OutcomeTaken(NamedTuple):
    """The outcome is durable and need not be repeated.

    Attributes:
      slot: number of the slot.
      request_id: request id of the claim.
      attempt: attempt number of the grant.
    """

    slot: int
    request_id: str
    attempt: int


Request = Claim | Withdraw | Outcome
Reply = (
    Granted
    | InProgress
    | Replay
    | RanWithoutAnswer
    | Refused
    | NotOwner
    | OutcomeTaken
)

MESSAGES: dict[int, type] = {
    20: Claim,
    21: Withdraw,
    22: Outcome,
    23: Granted,
    24: InProgress,
    25: Replay,
    26: RanWithoutAnswer,
    27: Refused,
    28: NotOwner,
    29: OutcomeTaken,
    30: Answer,
}


def refused(slot: int, request_id: str, refusal: errors.Refusal) -> Refused:
    """Returns the message that carries a refusal."""
    answer = refusal.answer
    return Refused(
        slot,
        request_id,
        refusal.kind.value,
        refusal.detail,
        answer.retry_after_s,
        answer.ran.value,
    )


def refusal(message: Refused) -> errors.Refusal:
    """Returns the refusal that a message carries."""
    return errors.Refusal(
        errors.ErrorKind(message.kind),
        message.detail,
        message.retry_after_s,
        errors.Ran(message.ran),
    )
