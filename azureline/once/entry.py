"""The entry node's part of one non-idempotent request.

It asks the owner of the key's slot for a grant, lets the request be handed to
a backend server at most once, and reports what became of it until the owner
has made that durable.  A call that has been given up stays for a while, to
report a grant that comes late as not run.
"""

import dataclasses
import random
from typing import NamedTuple

from azureline.core import errors
from azureline.once import messages

CLAIM_RESEND_S = 0.3
CLAIM_RESEND_MAX_S = 2.0
OUTCOME_RESEND_S = 1.0
OUTCOME_RESEND_MAX_S = 8.0
REPLY_MARGIN_S = 0.05
OUTCOME_TTL_S = 120.0
LINGER_S = 30.0
DISPATCH_MARGIN_S = 0.02
NOT_OWNER_DELAY_S = 0.1
RETRY_AFTER_S = 1.0
MAX_KEPT_ANSWER_BYTES = 16 << 10

_Kind = errors.ErrorKind
_Result = messages.Result
_LASTING = frozenset(
    {_Kind.KEY_REUSED.value, _Kind.KEY_INVALID.value, _Kind.KEY_EXPIRED.value}
)


class ToOwner(NamedTuple):
    """Send a message to the present owner of its slot.

    Attributes:
      message: a claim, a withdrawal or an outcome.
    """

    message: messages.Request


class Dispatch(NamedTuple):
    """The request may be dispatched; call `begin` right before it is.

    Attributes:
      attempt: attempt number of the grant.
    """

    attempt: int


class Finish(NamedTuple):
    """Answer the caller.

    Attributes:
      result: the whole answer, or the reason why there is none.
    """

    result: messages.Answer | errors.Refusal


Effect = ToOwner | Dispatch | Finish


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """No grant yet; `in_progress` if another copy is known to hold it."""

    in_progress: bool = False


@dataclasses.dataclass(frozen=True)
class _Holding:
    """A grant that has not been used."""

    attempt: int


@dataclasses.dataclass(frozen=True)
class _Running:
    """Handed to a socket."""

    attempt: int


@dataclasses.dataclass(frozen=True)
class _Reporting:
    """The outcome is not known to be durable."""

    outcome: messages.Outcome
    until: float


@dataclasses.dataclass(frozen=True)
class _GivenUp:
    """Will never be dispatched; late grants are reported as not run."""

    until: float


@dataclasses.dataclass(frozen=True)
class _Ended:
    """Nothing left to do."""


_State = _Waiting | _Holding | _Running | _Reporting | _GivenUp | _Ended


class Call:
    """The state of one non-idempotent request at its entry node."""

    def __init__(self, claim: messages.Claim, now: float, rng: random.Random):
        """Creates the state; `claim.budget_s` starts at `now`."""
        self._claim = claim
        self._deadline = now + claim.budget_s
        self._rng = rng
        self._state: _State = _Waiting()
        self._answered = False
        self._resend_at = now
        self._resends = 0

    @property
    def done(self) -> bool:
        """Whether the caller and the owner have all they need."""
        return isinstance(self._state, _Ended)

    def wake_at(self) -> float:
        """Returns the time at which `tick` must be called."""
        deadline = float("inf") if self._answered else self._deadline
        match self._state:
            case _Waiting():
                return min(self._resend_at, deadline)
            case _Reporting(_, until):
                return min(self._resend_at, until, deadline)
            case _GivenUp(until):
                return until
        return deadline

    def start(self, now: float) -> list[Effect]:
        """Sends the claim."""
        return self._send_claim(now)

    def reply(self, now: float, message: messages.Reply) -> list[Effect]:
        """Takes a message from an owner."""
        match self._state, message:
            case _Waiting(), _:
                return self._reply_to_claim(now, message)
            case _GivenUp(), messages.Granted(attempt=attempt):
                return self._report(now, attempt, _Result.DID_NOT_RUN)
            case _Reporting(outcome), messages.Granted(attempt=attempt):
                # An old copy of the claim came after the report.
                not_run = outcome.result == _Result.DID_NOT_RUN.value
                if not_run and attempt > outcome.attempt:
                    return self._report(now, attempt, _Result.DID_NOT_RUN)
            case _Reporting(), messages.NotOwner():
                self._hasten(now)
            case _Reporting(outcome), messages.OutcomeTaken(attempt=attempt):
                if attempt == outcome.attempt:
                    self._reported(now, outcome)
        return []

    def owner_changed(self, now: float) -> None:
        """Has `tick` send again soon what the new owner has not seen."""
        if isinstance(self._state, _Waiting | _Reporting):
            self._hasten(now)

    def begin(self, now: float) -> bool:
        """Whether the request may be handed to a socket now.

        To be called immediately before; True is returned at most once.  After
        False, `not_run` must be called.
        """
        if not isinstance(self._state, _Holding):
            return False
        if now + DISPATCH_MARGIN_S >= self._deadline:
            return False
        self._state = _Running(self._state.attempt)
        return True

    def ran(self, now: float, answer: messages.Answer) -> list[Effect]:
        """Takes the whole answer of the backend server."""
        match self._state:
            case _Running(attempt):
                short = len(answer.body) <= MAX_KEPT_ANSWER_BYTES
                kept = answer if short else None
                report = self._report(now, attempt, _Result.RAN, kept)
                return self._finish(answer) + report
        return []

    def not_run(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Learns that nothing was handed to a socket, or nothing started."""
        match self._state:
            case _Holding(attempt) | _Running(attempt):
                reason = reason._replace(ran=errors.Ran.NO)
                report = self._report(now, attempt, _Result.DID_NOT_RUN)
                return self._finish(reason) + report
        return []

    def unknown(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Learns that the connection broke after the request was sent."""
        match self._state:
            case _Running(attempt):
                reason = reason._replace(ran=errors.Ran.UNKNOWN)
                report = self._report(now, attempt, _Result.UNKNOWN)
                return self._finish(reason) + report
        return []

    def caller_gone(self, now: float) -> list[Effect]:
        """Learns that the caller has left; what runs is not cancelled."""
        self._answered = True
        match self._state:
            case _Waiting():
                return self._withdraw(now)
            case _Holding(attempt):
                return self._report(now, attempt, _Result.DID_NOT_RUN)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Resends what has no reply and gives up at the deadline."""
        found: list[Effect] = []
        if not self._answered and now >= self._deadline:
            found += self._expire(now)
        match self._state:
            case _Waiting() if now >= self._resend_at:
                found += self._send_claim(now)
            case _Reporting(_, until) | _GivenUp(until) if now >= until:
                self._state = _Ended()
            case _Reporting(outcome) if now >= self._resend_at:
                self._schedule(now, OUTCOME_RESEND_S, OUTCOME_RESEND_MAX_S)
                found.append(ToOwner(outcome))
        return found

    def _reply_to_claim(
        self, now: float, message: messages.Reply
    ) -> list[Effect]:
        match message:
            case messages.Granted(attempt=attempt):
                self._state = _Holding(attempt)
                return [Dispatch(attempt)]
            case messages.InProgress():
                self._state = _Waiting(in_progress=True)
            case messages.Replay(answer=answer):
                self._state = _Ended()
                return self._finish(answer)
            case messages.RanWithoutAnswer():
                self._state = _Ended()
                return self._finish(_ran_without_answer())
            case messages.Refused(kind=kind):
                lasting = kind in _LASTING
                self._state = _Ended() if lasting else self._given_up(now)
                return self._finish(messages.refusal(message))
            case messages.NotOwner():
                self._hasten(now)
        return []

    def _expire(self, now: float) -> list[Effect]:
        match self._state:
            case _Waiting(in_progress):
                kind = _Kind.DEADLINE_EXCEEDED
                if in_progress:
                    kind = _Kind.MAY_HAVE_RUN
                return self._withdraw(now) + self._finish(_late(kind))
            case _Holding():
                return self.not_run(now, _late(_Kind.DEADLINE_EXCEEDED))
        return self._finish(_late(_Kind.DEADLINE_EXCEEDED))

    def _finish(self, result: messages.Answer | errors.Refusal) -> list[Effect]:
        if self._answered:
            return []
        self._answered = True
        return [Finish(result)]

    def _send_claim(self, now: float) -> list[Effect]:
        self._schedule(now, CLAIM_RESEND_S, CLAIM_RESEND_MAX_S)
        # The owner knows more than this node: its refusal should come first.
        budget_s = self._deadline - REPLY_MARGIN_S - now
        return [ToOwner(self._claim._replace(budget_s=budget_s))]

    def _withdraw(self, now: float) -> list[Effect]:
        self._state = self._given_up(now)
        claim = self._claim
        message = messages.Withdraw(
            claim.slot, claim.caller, claim.key, claim.node, claim.request_id
        )
        return [ToOwner(message)]

    def _given_up(self, now: float) -> _GivenUp:
        return _GivenUp(max(now, self._deadline) + LINGER_S)

    def _report(
        self,
        now: float,
        attempt: int,
        result: messages.Result,
        answer: messages.Answer | None = None,
    ) -> list[Effect]:
        claim = self._claim
        outcome = messages.Outcome(
            claim.slot,
            claim.caller,
            claim.key,
            claim.content,
            claim.node,
            claim.request_id,
            attempt,
            result.value,
            answer,
        )
        self._state = _Reporting(outcome, now + OUTCOME_TTL_S)
        self._resends = 0
        self._schedule(now, OUTCOME_RESEND_S, OUTCOME_RESEND_MAX_S)
        return [ToOwner(outcome)]

    def _reported(self, now: float, outcome: messages.Outcome) -> None:
        if outcome.result == _Result.DID_NOT_RUN.value:
            self._state = self._given_up(now)
        else:
            self._state = _Ended()

    def _hasten(self, now: float) -> None:
        delay = self._rng.uniform(0, NOT_OWNER_DELAY_S)
        self._resend_at = min(self._resend_at, now + delay)

    def _schedule(self, now: float, base_s: float, max_s: float) -> None:
        delay = min(max_s, base_s * 2**self._resends)
        self._resends += 1
        self._resend_at = now + delay * self._rng.uniform(0.75, 1.25)


def _late(kind: errors.ErrorKind) -> errors.Refusal:
    return errors.Refusal(
        kind,
        "The deadline passed; the same key may be sent again",
        RETRY_AFTER_S,
        errors.Ran.UNKNOWN,
    )


def _ran_without_answer() -> errors.Refusal:
    return errors.Refusal(
        _Kind.MAY_HAVE_RUN,
        "The request ran, but its answer is no longer kept",
        ran=errors.Ran.YES,
    )
