"""Replies of a slot's owner to entry nodes."""

from collections.abc import Iterable
import random
from typing import Protocol

from azureline.at_most_once import effects
from azureline.at_most_once import messages
from azureline.core import errors

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 3.0

_Kind = errors.ErrorKind


class ReplyTarget(Protocol):
    """Recipient of a reply: a claim, or the stored copy of one."""

    @property
    def node(self) -> str:
        """Name of the entry node."""

    @property
    def request_id(self) -> str:
        """Request id of the claim."""


class Replies:
    """Builds replies; states that a key has not run only under the lease."""

    def __init__(self, slot: int, rng: random.Random):
        self._slot = slot
        self._rng = rng
        self.lease_until = 0.0

    def granted(self, copy: ReplyTarget, attempt: int) -> effects.Send:
        """Returns a reply that permits an entry node to dispatch."""
        message = messages.Granted(self._slot, copy.request_id, attempt)
        return effects.Send(copy.node, message)

    def in_progress(self, copy: ReplyTarget) -> effects.Send:
        """Returns a reply that another copy holds the grant."""
        message = messages.InProgress(self._slot, copy.request_id)
        return effects.Send(copy.node, message)

    def ran(
        self, copy: ReplyTarget, answer: messages.Answer | None
    ) -> effects.Send:
        """Returns a reply with the answer, or that it is no longer cached."""
        message: messages.Reply
        message = messages.RanWithoutAnswer(self._slot, copy.request_id)
        if answer is not None:
            message = messages.Replay(self._slot, copy.request_id, answer)
        return effects.Send(copy.node, message)

    def refuse(
        self, copy: ReplyTarget, refusal: errors.Refusal
    ) -> effects.Send:
        """Returns a reply that refuses a claim."""
        message = messages.refused(self._slot, copy.request_id, refusal)
        return effects.Send(copy.node, message)

    def not_owner(self, copies: Iterable[ReplyTarget]) -> list[effects.Send]:
        """Returns replies that redirect claims to the next owner."""
        return [
            effects.Send(c.node, messages.NotOwner(self._slot, c.request_id))
            for c in copies
        ]

    def outcome_taken(self, outcome: messages.Outcome) -> effects.Send:
        """Returns the acknowledgement of an outcome."""
        message = messages.OutcomeTaken(
            self._slot, outcome.request_id, outcome.attempt
        )
        return effects.Send(outcome.node, message)

    def not_run(
        self, now: float, kind: errors.ErrorKind, detail: str = ""
    ) -> errors.Refusal:
        """Returns a refusal of a key that has not run under this owner.

        Without the lease another owner may have granted the key, so the
        refusal then says that it is unknown whether the key has run.
        """
        leased = now < self.lease_until
        ran = errors.Ran.NO if leased else errors.Ran.UNKNOWN
        detail = detail or errors.ANSWERS[kind].title
        return errors.Refusal(kind, detail, self._retry_after(), ran)

    def may_have_run(self) -> errors.Refusal:
        """Returns a refusal of a key whose outcome is not known."""
        return errors.Refusal(
            _Kind.MAY_HAVE_RUN,
            "The request may have run; the same key may be sent again",
            self._retry_after(),
        )

    def not_ready(self) -> errors.Refusal:
        """Returns a refusal of a key while the slot's log is being read."""
        return errors.Refusal(
            _Kind.NOT_READY,
            "The record of this key is being read",
            self._retry_after(),
            errors.Ran.UNKNOWN,
        )

    def _retry_after(self) -> float:
        seconds = self._rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
        return round(seconds, 1)


def key_reused() -> errors.Refusal:
    """Returns the refusal of a key that was used with another request."""
    return errors.Refusal(
        _Kind.KEY_REUSED, "The key was used with another request"
    )
