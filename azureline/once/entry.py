"""The entry node's part of one non-idempotent request."""

import random
from typing import NamedTuple

from azureline.core import errors
from azureline.once import messages


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


class Call:
    """The state of one non-idempotent request at its entry node."""

    def __init__(
        self,
        claim: messages.Claim,
        now: float,
        rng: random.Random,
    ):
        """Creates the state; `claim.budget_s` starts at `now`."""

    @property
    def done(self) -> bool:
        """Whether the caller and the owner have all they need."""
        raise NotImplementedError

    def wake_at(self) -> float:
        """Returns the time at which `tick` must be called."""
        raise NotImplementedError

    def start(self, now: float) -> list[Effect]:
        """Sends the claim."""
        raise NotImplementedError

    def reply(self, now: float, message: messages.Reply) -> list[Effect]:
        """Takes a message from an owner."""
        raise NotImplementedError

    def begin(self, now: float) -> bool:
        """Whether the request may be handed to a socket now.

        To be called immediately before; True is returned at most once.
        """
        raise NotImplementedError

    def ran(self, now: float, answer: messages.Answer) -> list[Effect]:
        """Takes the whole answer of the backend server."""
        raise NotImplementedError

    def not_run(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Learns that nothing was handed to a socket, or nothing started."""
        raise NotImplementedError

    def unknown(self, now: float, reason: errors.Refusal) -> list[Effect]:
        """Learns that the connection broke after the request was sent."""
        raise NotImplementedError

    def caller_gone(self, now: float) -> list[Effect]:
        """Learns that the caller has left."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        """Resends what has no reply and gives up at the deadline."""
        raise NotImplementedError
