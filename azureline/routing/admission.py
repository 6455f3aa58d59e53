"""Admission of generations: queues, deadlines, fairness and local limits.

A call is sent at once if an engine of its model has room within this node's
local limit.  Otherwise it waits in a bounded queue of its class, unless its
deadline cannot be met by the present estimate; then it is refused at once.
"""

from collections.abc import Sequence
import random
from typing import NamedTuple

from azureline import requests
from azureline.core import errors
from azureline.routing import limits as limits_lib
from azureline.routing import loads
from azureline.routing import outcome as outcomes
from azureline.routing import picker as picker_lib
from azureline.routing import pool as pool_lib
from azureline.routing import queues
from azureline.routing import refusals

_POLL_S = 0.25


class Settings(NamedTuple):
    """Settings of admission.

    Attributes:
      queue_bounds: calls that may wait per model, by priority.
      shares: least share of a model's tokens that each priority gets while
        it has calls waiting; the rest goes to the highest class.
      quantum_tokens: tokens by which one caller may be ahead of another in
        its class before deadlines no longer decide.
      no_replica_grace_s: seconds for which calls wait for a model that has
        lost all its replicas.
      judged_prompt_tokens: longest prompt whose first token is held against
        its engine.
    """

    queue_bounds: tuple[int, int, int] = (64, 128, 256)
    shares: tuple[float, float, float] = (0.0, 0.10, 0.05)
    quantum_tokens: float = 2048.0
    no_replica_grace_s: float = 2.0
    judged_prompt_tokens: int = 4096


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
    for every admitted call; `next` after each `offer` that queued, after each
    `done` and at `wake_at`.
    """

    def __init__(
        self,
        picker: picker_lib.Picker,
        limits: limits_lib.Limits,
        rng: random.Random,
        settings: Settings = DEFAULTS,
    ):
        """Creates an admission without replicas.

        Args:
          picker: chooses among engines with room.
          limits: says which engines have room.
          rng: source of the jitter on advice to come back.
          settings: the settings.
        """
        self._picker = picker
        self._limits = limits
        self._refusals = refusals.Refusals(rng)
        self._settings = settings
        self._pools: dict[str, pool_lib.Pool] = {}
        # Only pools with waiting calls are looked at for each call.
        self._busy: dict[str, pool_lib.Pool] = {}
        self._sent: dict[str, Admitted] = {}
        self._crowded_out: list[Dropped] = []
        self._polled_at = float("-inf")

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return sum(p.waiting for p in self._busy.values())

    def set_queue_bounds(self, bounds: tuple[int, int, int]) -> None:
        """Takes other numbers of calls that may wait, by priority."""
        self._settings = self._settings._replace(queue_bounds=bounds)

    def set_candidates(
        self, model: str, candidates: Sequence[picker_lib.Candidate]
    ) -> None:
        """Replaces the known replicas of a model."""
        self._pool(model).candidates = tuple(candidates)

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
        pool = self._pools.get(call.model)
        if pool is None:
            return self._picker.choose(now, call, ())
        if not pool.ahead_of(call):
            admitted = self._try(now, pool.candidates, call, avoid)
            if admitted is not None:
                return self._send(now, pool, admitted)
        if not self._picker.usable(now, pool.candidates):
            return self._picker.choose(now, call, pool.candidates)
        wait_s = pool.wait_s(now, call)
        refusal = self._refusals.unreachable(now, pool, call, wait_s)
        if refusal is None:
            refusal = self._make_place(now, pool, call, wait_s)
        if refusal is not None:
            return refusal
        pool.add(call, tuple(avoid))
        self._busy[call.model] = pool
        return Queued(call, wait_s)

    def claim(
        self, now: float, call: requests.ModelCall, engine: str
    ) -> Admitted | None:
        """Admits a call to one engine, past the queue, for a suspect.

        Returns:
          `Admitted`, or None if the engine has no room now; the call does
          not wait here, since it would hold back those behind it.
        """
        pool = self._pool(call.model)
        own = [c for c in pool.candidates if c.engine == engine]
        admitted = self._try(now, own, call, ())
        return self._send(now, pool, admitted) if admitted else None

    def next(self, now: float) -> list[Admitted | Dropped]:
        """Returns the calls to send now and those to give up."""
        self._polled_at = now
        results: list[Admitted | Dropped] = list(self._crowded_out)
        self._crowded_out.clear()
        for model, pool in list(self._busy.items()):
            results += self._give_up(now, pool)
            if not pool.waiting:
                del self._busy[model]
        blocked: dict[str, int] = {}
        while (best := self._best_pool(blocked)) is not None:
            model, rank, waiting = best
            pool = self._pools[model]
            admitted = self._try(
                now, pool.candidates, waiting.call, waiting.avoid
            )
            if admitted is None:
                blocked[model] = rank
                continue
            pool.take(now, rank, waiting)
            results.append(self._note_sent(now, admitted))
        return results

    def wake_at(self, now: float) -> float | None:
        """Returns when `next` must be called at the latest, or None."""
        if self._crowded_out:
            return now
        waiting = [p for p in self._busy.values() if p.waiting]
        if not waiting:
            return None
        overdue = (p.next_overdue() for p in waiting)
        # Pauses of limits and breakers end without any event.
        poll_at = self._polled_at + _POLL_S
        return min([poll_at, *(t for t in overdue if t is not None)])

    def cancel(self, request_id: str) -> bool:
        """Removes a waiting call whose caller has left.

        Returns:
          Whether the call was waiting; if not, it is for the caller of this
          method to cancel it at its engine.
        """
        return any(
            pool.remove(request_id) is not None for pool in self._busy.values()
        )

    def observed(
        self,
        now: float,
        request_id: str,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Learns from an admitted call that is still running.

        Args:
          now: monotonic time in seconds.
          request_id: identity of the call.
          first_token_s: seconds to the first token, told once, or None.
          token_gap_s: mean seconds between the tokens of about the last
            second, or None.
        """
        call, engine, _ = self._sent[request_id]
        if call.prompt_tokens > self._settings.judged_prompt_tokens:
            first_token_s = None
        self._limits.observed(now, engine, first_token_s, token_gap_s)

    def done(
        self,
        now: float,
        request_id: str,
        sample: outcomes.Sample,
        hint: loads.LoadHint | None = None,
    ) -> None:
        """Ends an admitted call and learns from its answer."""
        call, engine, _ = self._sent.pop(request_id)
        pool = self._pool(call.model)
        pool.outstanding -= 1
        self._picker.finished(now, engine, call, sample.outcome, hint)
        if sample.outcome is outcomes.Outcome.WHOLE:
            pool.service.learn(call, sample)
        if call.prompt_tokens > self._settings.judged_prompt_tokens:
            sample = sample._replace(first_token_s=None)
        self._limits.finished(now, engine, sample)

    def _pool(self, model: str) -> pool_lib.Pool:
        pool = self._pools.get(model)
        if pool is None:
            settings = self._settings
            pool = pool_lib.Pool(settings.shares, settings.quantum_tokens)
            self._pools[model] = pool
        return pool

    def _try(
        self,
        now: float,
        candidates: Sequence[picker_lib.Candidate],
        call: requests.ModelCall,
        avoid: Sequence[str],
    ) -> Admitted | None:
        """Returns where a call can be sent now, or None."""
        reserve = call.priority is requests.Priority.URGENT
        roomy = [
            c for c in candidates if self._limits.room(now, c.engine, reserve)
        ]
        choice = self._picker.choose(now, call, roomy, avoid)
        if not choice:
            return None
        return Admitted(call, choice.engine, choice.reason)

    def _send(
        self, now: float, pool: pool_lib.Pool, admitted: Admitted
    ) -> Admitted:
        pool.sent(now, admitted.call)
        return self._note_sent(now, admitted)

    def _note_sent(self, now: float, admitted: Admitted) -> Admitted:
        self._sent[admitted.call.request_id] = admitted
        self._limits.started(now, admitted.engine)
        self._picker.started(now, admitted.engine, admitted.call)
        return admitted

    def _best_pool(
        self, blocked: dict[str, int]
    ) -> tuple[str, int, queues.Waiting] | None:
        """Returns the model whose next call has the strongest claim.

        Args:
          blocked: rank of the claim that found no room, by model; after one
            on an owed share the highest class is tried, which has a reserve.
        """
        best = None
        for model, pool in self._busy.items():
            if not pool.waiting or blocked.get(model, -1) >= 0:
                continue
            head = pool.head(owed=model not in blocked)
            if head is None:
                continue
            rank, waiting = head
            key = (rank, waiting.deadline)
            if best is None or key < (best[1], best[2].deadline):
                best = (model, rank, waiting)
        return best

    def _make_place(
        self,
        now: float,
        pool: pool_lib.Pool,
        call: requests.ModelCall,
        wait_s: float,
    ) -> errors.Refusal | None:
        """Makes place in a full queue, or refuses the call."""
        queue = pool.queue(call.priority)
        if len(queue) < self._settings.queue_bounds[call.priority]:
            return None
        refusal = self._refusals.overloaded(now, pool, len(queue), wait_s)
        crowding = queue.crowding()
        fair = queue.waiting_of(call.caller) + 1
        if queue.waiting_of(crowding.call.caller) <= fair:
            return refusal
        queue.remove(crowding.call.request_id)
        self._crowded_out.append(Dropped(crowding.call, refusal))
        return None

    def _give_up(self, now: float, pool: pool_lib.Pool) -> list[Dropped]:
        dropped = [
            Dropped(w.call, self._refusals.late(now, pool))
            for w in pool.overdue(now)
        ]
        if self._picker.usable(now, pool.candidates):
            pool.unusable_since = None
            return dropped
        if pool.unusable_since is None:
            pool.unusable_since = now
        if now - pool.unusable_since < self._settings.no_replica_grace_s:
            return dropped
        for priority in requests.Priority:
            for waiting in pool.queue(priority).calls():
                pool.remove(waiting.call.request_id)
                refusal = errors.Refusal(
                    errors.ErrorKind.NO_REPLICA, "all replicas were lost"
                )
                dropped.append(Dropped(waiting.call, refusal))
        return dropped
