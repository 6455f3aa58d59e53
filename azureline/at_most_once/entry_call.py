"""State of one non-idempotent request at its entry node.

The entry node requests a grant from the owner of the key's slot, dispatches
the request to a backend server at most once, and reports the outcome until
the owner acknowledges that it is durable.  An abandoned call is kept for
`LATE_GRANT_WAIT_S` after its deadline, so that a grant that arrives late is
reported as not run.
"""

import dataclasses
import random
from typing import NamedTuple

from azureline.at_most_once import messages
from azureline.core import errors

CLAIM_RESEND_S = 0.3
CLAIM_RESEND_MAX_S = 2.0
OUTCOME_RESEND_S = 1.0
OUTCOME_RESEND_MAX_S = 8.0
REPLY_MARGIN_S = 0.05
OUTCOME_TTL_S = 120.0
LATE_GRANT_WAIT_S = 30.0
DISPATCH_MARGIN_S = 0.02
NOT_OWNER_DELAY_S = 0.1
RETRY_AFTER_S = 1.0
# Longer answers are not sent to the owner, so they cannot be replayed.
MAX_CACHED_ANSWER_BYTES = 16 << 10

_Kind = errors.ErrorKind
_Result = messages.Result
_FINAL_REFUSALS = frozenset(
    {_Kind.KEY_REUSED.value, _Kind.KEY_INVALID.value, _Kind.KEY_EXPIRED.value}
)


class SendToOwner(NamedTuple):
    """Send a message to the current owner of its slot.

    Attributes:
      message: a claim, a withdrawal or an outcome.
    """

    message: messages.Request


class Dispatch(NamedTuple):
    """The request may be dispatched; call `try_dispatch` immediately before.

    Attributes:
      attempt: attempt number of the grant.
    """

    attempt: int


class Finish(NamedTuple):
    """Answer the caller.

    Attributes:
      result: the complete answer, or the refusal.
    """

    result: messages.Answer | errors.Refusal


Effect = SendToOwner | Dispatch | Finish


@dataclasses.dataclass(frozen=True)
class _Waiting:
    """No grant yet; `in_progress` if another copy holds the grant."""

    in_progress: bool = False


@dataclasses.dataclass(frozen=True)
class _Granted:
    """The grant has arrived, but the request is not dispatched yet."""

    attempt: int


@dataclasses.dataclass(frozen=True)
class _Running:
    """The request was written to a backend connection."""

    attempt: int


@dataclasses.dataclass(frozen=True)
class _Reporting:
    """The owner has not acknowledged the outcome."""

    outcome: messages.Outcome
    until: float


@dataclasses.dataclass(frozen=True)
class _Abandoned:
    """The call is never dispatched; late grants are reported as not run."""

    until: float


@dataclasses.dataclass(frozen=True)
class _Done:
    """The call is complete."""


_State = _Waiting | _Granted | _Running | _Reporting | _Abandoned | _Done


class Call:
    """The state of one non-idempotent request at its entry node."""

    def __init__(self, claim: messages.Claim, now: float, rng: random.Random):
        """Creates the state; `claim.budget_s` is counted from `now`."""
        self._claim = claim
        self._deadline = now + claim.budget_s
        self._rng = rng
        self._state: _State = _Waiting()
        self._caller_answered = False
        self._resend_at = now
        self._resends = 0

    @property
    def done(self) -> bool:
        """Whether nothing is left to send to the caller or the owner."""
        return isinstance(self._state, _Done)

    def wake_at(self) -> float:
        """Returns the monotonic time at which `tick` must be called."""
        deadline = float("inf") if self._caller_answered else self._deadline
        match self._state:
            case _Waiting():
                return min(self._resend_at, deadline)
            case _Reporting(_, until):
                return min(self._resend_at, until, deadline)
            case _Abandoned(until):
                return until
        return deadline

    def start(self, now: float) -> list[Effect]:
        """Sends the claim."""
        return self._send_claim(now)

    def reply(self, now: float, message: messages.Reply) -> list[Effect]:
        """Handles a reply from the owner."""
        match self._state, message:
            case _Waiting(), _:
                return self._reply_to_claim(now, message)
            case _Abandoned(), messages.Granted(attempt=attempt):
                return self._report(now, attempt, _Result.DID_NOT_RUN)
            case _Reporting(outcome), messages.Granted(attempt=attempt):
                # The owner got a delayed copy of the claim after the report.
                not_run = outcome.result == _Result.DID_NOT_RUN.value
                if not_run and attempt > outcome.attempt:
                    return self._report(now, attempt, _Result.DID_NOT_RUN)
            case _Reporting(), messages.NotOwner():
                self._resend_soon(now)
            case _Reporting(outcome), messages.OutcomeTaken(attempt=attempt):
                if attempt == outcome.attempt:
                    self._outcome_acknowledged(now, outcome)
        return []

    def owner_changed(self, now: float) -> None:
        """Makes `tick` resend an unanswered message to the new owner soon."""
        if isinstance(self._state, _Waiting | _Reporting):
            self._resend_soon(now)

    def try_dispatch(self, now: float) -> bool:
        """Returns whether the request may be dispatched now.

        Call this immediately before the request is written to a connection.
        It returns True at most once.  After False, call `not_run`.
        """
        if not isinstance(self._state, _Granted):
            return False
        if now + DISPATCH_MARGIN_S >= self._deadline:
            return False
        self._state = _Running(self._state.attempt)
        return True

    def ran(self, now: float, answer: messages.Answer) -> list[Effect]:
        """Handles the complete answer of the backend server."""
        match self._state:
            case _Running(attempt):
                fits = len(answer.body) <= MAX_CACHED_ANSWER_BYTES
                kept = answer if fits else None
                report = self._report(now, attempt, _Result.RAN, kept)
                return self._finish(answer) + report
        return []

    def not_run(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Handles a request that was not sent, or that the server rejected.

        The backend server must not have started to run it.
        """
        match self._state:
            case _Granted(attempt) | _Running(attempt):
                reason = reason._replace(ran=errors.Ran.NO)
                report = self._report(now, attempt, _Result.DID_NOT_RUN)
                return self._finish(reason) + report
        return []

    def unknown(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Handles a connection that broke after the request was sent."""
        match self._state:
            case _Running(attempt):
                reason = reason._replace(ran=errors.Ran.UNKNOWN)
                report = self._report(now, attempt, _Result.UNKNOWN)
                return self._finish(reason) + report
        return []

    def caller_disconnected(self, now: float) -> list[Effect]:
        """Handles a caller that disconnected; a running request continues."""
        self._caller_answered = True
        match self._state:
            case _Waiting():
                return self._withdraw(now)
            case _Granted(attempt):
                return self._report(now, attempt, _Result.DID_NOT_RUN)
        return []

    def tick(self, now: float) -> list[Effect]:
        """Resends unanswered messages, and refuses the call at its deadline."""
        emitted: list[Effect] = []
        if not self._caller_answered and now >= self._deadline:
            emitted += self._expire(now)
        match self._state:
            case _Waiting() if now >= self._resend_at:
                emitted += self._send_claim(now)
            case _Reporting(_, until) | _Abandoned(until) if now >= until:
                self._state = _Done()
            case _Reporting(outcome) if now >= self._resend_at:
                self._schedule_resend(
                    now, OUTCOME_RESEND_S, OUTCOME_RESEND_MAX_S
                )
                emitted.append(SendToOwner(outcome))
        return emitted

    def _reply_to_claim(
        self, now: float, message: messages.Reply
    ) -> list[Effect]:
        match message:
            case messages.Granted(attempt=attempt):
                self._state = _Granted(attempt)
                return [Dispatch(attempt)]
            case messages.InProgress():
                self._state = _Waiting(in_progress=True)
            case messages.Replay(answer=answer):
                self._state = _Done()
                return self._finish(answer)
            case messages.RanWithoutAnswer():
                self._state = _Done()
                return self._finish(_ran_without_answer())
            case messages.Refused(kind=kind):
                final = kind in _FINAL_REFUSALS
                self._state = _Done() if final else self._abandoned(now)
                return self._finish(messages.refusal(message))
            case messages.NotOwner():
                self._resend_soon(now)
        return []

    def _expire(self, now: float) -> list[Effect]:
        match self._state:
            case _Waiting(in_progress):
                kind = _Kind.DEADLINE_EXCEEDED
                if in_progress:
                    kind = _Kind.MAY_HAVE_RUN
                return self._withdraw(now) + self._finish(
                    _deadline_refusal(kind)
                )
            case _Granted():
                return self.not_run(
                    now, _deadline_refusal(_Kind.DEADLINE_EXCEEDED)
                )
        return self._finish(_deadline_refusal(_Kind.DEADLINE_EXCEEDED))

    def _finish(self, result: messages.Answer | errors.Refusal) -> list[Effect]:
        if self._caller_answered:
            return []
        self._caller_answered = True
        return [Finish(result)]

    def _send_claim(self, now: float) -> list[Effect]:
        self._schedule_resend(now, CLAIM_RESEND_S, CLAIM_RESEND_MAX_S)
        # The owner knows whether the key may have run.  Its deadline is
        # earlier than this node's, so that its refusal arrives in time.
        budget_s = self._deadline - REPLY_MARGIN_S - now
        return [SendToOwner(self._claim._replace(budget_s=budget_s))]

    def _withdraw(self, now: float) -> list[Effect]:
        self._state = self._abandoned(now)
        claim = self._claim
        message = messages.Withdraw(
            claim.slot, claim.caller, claim.key, claim.node, claim.request_id
        )
        return [SendToOwner(message)]

    def _abandoned(self, now: float) -> _Abandoned:
        return _Abandoned(max(now, self._deadline) + LATE_GRANT_WAIT_S)

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
        self._schedule_resend(now, OUTCOME_RESEND_S, OUTCOME_RESEND_MAX_S)
        return [SendToOwner(outcome)]

    def _outcome_acknowledged(
        self, now: float, outcome: messages.Outcome
    ) -> None:
        if outcome.result == _Result.DID_NOT_RUN.value:
            self._state = self._abandoned(now)
        else:
            self._state = _Done()

    def _resend_soon(self, now: float) -> None:
        delay = self._rng.uniform(0, NOT_OWNER_DELAY_S)
        self._resend_at = min(self._resend_at, now + delay)

    def _schedule_resend(self, now: float, base_s: float, max_s: float) -> None:
        delay = min(max_s, base_s * 2**self._resends)
        self._resends += 1
        self._resend_at = now + delay * self._rng.uniform(0.75, 1.25)


def _deadline_refusal(kind: errors.ErrorKind) -> errors.Refusal:
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
