"""Admission of generations: queues, deadlines, fairness and local limits."""

from collections.abc import Sequence
from typing import NamedTuple

from azureline import requests
from azureline.core import errors
from azureline.routing import limits as limits_lib
from azureline.routing import loads
from azureline.routing import outcome as outcomes
from azureline.routing import picker as picker_lib


class Settings(NamedTuple):
    """Settings of admission.

    Attributes:
      queue_bounds: calls that may wait per model, by priority.
      shares: least share of a model's dispatches that each priority gets
        while it has calls waiting; the rest goes to the highest class.
      caller_share: part of a queue beyond which one caller may not fill it
        while others use it.
      quantum_tokens: service by which one caller may be ahead of another in
        its class before deadlines no longer decide.
    """

    queue_bounds: tuple[int, int, int] = (64, 128, 256)
    shares: tuple[float, float, float] = (0.0, 0.10, 0.05)
    caller_share: float = 0.5
    quantum_tokens: float = 2048.0


DEFAULTS = Settings()


class Admitted(NamedTuple):
    """A call that must be sent now; it is counted as outstanding already.

    Attributes:
      call: the generation.
      engine: where to send it.
      reason: what decided the choice of the engine.
    """

    call: requests.ModelCall
    engine: str
    reason: str


class Queued(NamedTuple):
    """A call that waits; `Admission.next` will return it.

    Attributes:
      call: the generation.
      wait_s: estimated seconds until it is sent.
    """

    call: requests.ModelCall
    wait_s: float


class Dropped(NamedTuple):
    """A waiting call that is given up; its caller is answered at once.

    Attributes:
      call: the generation.
      refusal: the final answer; the call did not run.
    """

    call: requests.ModelCall
    refusal: errors.Refusal


class Admission:
    """Decides when each generation is sent, and where.

    Use: `offer` each call; send what it or `next` admits; `done` exactly once
    for every admitted call; `next` after each `done` and at `wake_at`.
    """

    def __init__(
        self,
        picker: picker_lib.Picker,
        limits: limits_lib.Limits,
        settings: Settings = DEFAULTS,
    ):
        raise NotImplementedError

    def set_candidates(
        self, model: str, candidates: Sequence[picker_lib.Candidate]
    ) -> None:
        """Replaces the known replicas of a model."""
        raise NotImplementedError

    def offer(
        self,
        now: float,
        call: requests.ModelCall,
        avoid: Sequence[str] = (),
    ) -> Admitted | Queued | errors.Refusal:
        """Admits, queues or refuses a call.

        Args:
          now: monotonic time in seconds.
          call: the generation.
          avoid: engines to avoid, for a retry.

        Returns:
          `Admitted` if it must be sent now, `Queued` if it waits, or a
          refusal (`NO_REPLICA`, `OVERLOADED`, `DEADLINE_UNREACHABLE`) with
          the estimated time after which it would be accepted.
        """
        raise NotImplementedError

    def next(self, now: float) -> list[Admitted | Dropped]:
        """Returns the calls to send now and those to give up."""
        raise NotImplementedError

    def wake_at(self) -> float | None:
        """Returns when `next` must be called at the latest, or None."""
        raise NotImplementedError

    def cancel(self, now: float, request_id: str) -> bool:
        """Removes a waiting call whose caller has left.

        Returns:
          Whether the call was waiting; if not, it is for the caller of this
          method to cancel it at its engine.
        """
        raise NotImplementedError

    def done(
        self,
        now: float,
        request_id: str,
        sample: outcomes.Sample,
        hint: loads.LoadHint | None = None,
    ) -> None:
        """Ends an admitted call and learns from its answer."""
        raise NotImplementedError
