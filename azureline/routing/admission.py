"""Admission of generations: queues, deadlines, fairness and local limits.

A call is sent at once if an engine of its model has free capacity within this
node's local limit.  Otherwise it waits in a bounded queue of its priority
class, unless the current estimate says that it would miss its deadline; such a
call is refused at once.
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
      queue_bounds: maximum number of waiting calls per model, by priority.
      shares: minimum share of a model's tokens that each priority gets while
        it has calls waiting; the rest goes to the highest class.
      quantum_tokens: number of tokens that one caller may have received more
        than another of its class before fairness overrides deadline order.
      no_replica_grace_s: seconds for which calls wait for a model that has
        lost all its replicas.
      max_measured_prompt_tokens: longest prompt for which the time to the first
        token counts in the limit of its engine.
    """

    queue_bounds: tuple[int, int, int] = (64, 128, 256)
    shares: tuple[float, float, float] = (0.0, 0.10, 0.05)
    quantum_tokens: float = 2048.0
    no_replica_grace_s: float = 2.0
    max_measured_prompt_tokens: int = 4096


DEFAULTS = Settings()


class Admitted(NamedTuple):
    """A call to send now; it is already counted as outstanding.

    Attributes:
      call: the generation.
      engine: name of the engine to send it to.
      reason: the criterion that selected the engine; see `picker.Choice`.
    """

    call: requests.ModelCall
    engine: str
    reason: str


class Queued(NamedTuple):
    """A waiting call; a later `Admission.next` returns it unless cancelled.

    Attributes:
      call: the generation.
      wait_s: estimated seconds until it is sent.
    """

    call: requests.ModelCall
    wait_s: float


class Dropped(NamedTuple):
    """A waiting call that was removed from the queue without being sent.

    Attributes:
      call: the generation.
      refusal: the final answer to its caller; the call did not run.
    """

    call: requests.ModelCall
    refusal: errors.Refusal


class Admission:
    """Decides when each generation is sent and to which engine.

    Call `submit` for each new generation, and send those that `submit` or
    `next` returns as `Admitted`.  Call `finish` exactly once for every admitted
    call.  Call `next` after each `submit` that returned `Queued`, after each
    `finish` and at the time that `wake_at` returns.
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
          picker: chooses among engines with free capacity.
          limits: per-engine limits, which decide whether an engine has free
            capacity.
          rng: source of the jitter on retry-after values.
          settings: the settings.
        """
        self._picker = picker
        self._limits = limits
        self._refusals = refusals.Refusals(rng)
        self._settings = settings
        self._pools: dict[str, pool_lib.Pool] = {}
        # Pools with waiting calls.  Separate from `_pools`, so that the cost
        # per call does not grow with the number of idle models.
        self._backlogged: dict[str, pool_lib.Pool] = {}
        self._sent: dict[str, Admitted] = {}
        self._evicted: list[Dropped] = []
        self._polled_at = float("-inf")

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return sum(p.waiting for p in self._backlogged.values())

    def set_queue_bounds(self, bounds: tuple[int, int, int]) -> None:
        """Sets the maximum number of waiting calls, by priority."""
        self._settings = self._settings._replace(queue_bounds=bounds)

    def set_candidates(
        self, model: str, candidates: Sequence[picker_lib.Candidate]
    ) -> None:
        """Replaces the known replicas of a model."""
        self._pool(model).candidates = tuple(candidates)

    def submit(
        self,
        now: float,
        call: requests.ModelCall,
        avoid: Sequence[str] = (),
    ) -> Admitted | Queued | errors.Refusal:
        """Admits, queues or refuses a call.

        Args:
          now: monotonic time in seconds.
          call: the generation.
          avoid: engines to avoid if there are others; used for retries.

        Returns:
          `Admitted` if it must be sent now, `Queued` if it waits, or a
          refusal (`NO_REPLICA`, `OVERLOADED`, `DEADLINE_EXCEEDED`,
          `DEADLINE_UNREACHABLE`); `OVERLOADED` and `DEADLINE_UNREACHABLE`
          carry the estimated seconds after which it would be accepted.
        """
        pool = self._pools.get(call.model)
        if pool is None:
            return self._picker.choose(now, call, ())
        if not pool.has_precedence_over(call):
            admitted = self._assign(now, pool.candidates, call, avoid)
            if admitted is not None:
                return self._admit(now, pool, admitted)
        if not self._picker.usable(now, pool.candidates):
            return self._picker.choose(now, call, pool.candidates)
        wait_s = pool.wait_s(now, call)
        refusal = self._refusals.unreachable(now, pool, call, wait_s)
        if refusal is None:
            refusal = self._evict_or_refuse(now, pool, call, wait_s)
        if refusal is not None:
            return refusal
        pool.add(call, tuple(avoid))
        self._backlogged[call.model] = pool
        return Queued(call, wait_s)

    def admit_to(
        self, now: float, call: requests.ModelCall, engine: str
    ) -> Admitted | None:
        """Admits a crash suspect to one given engine, bypassing the queue.

        Returns:
          `Admitted`, or None if the engine has no free capacity now.  The
          call is not queued: it can run on one engine only, and would block
          the calls behind it.
        """
        pool = self._pool(call.model)
        own = [c for c in pool.candidates if c.engine == engine]
        admitted = self._assign(now, own, call, ())
        return self._admit(now, pool, admitted) if admitted else None

    def next(self, now: float) -> list[Admitted | Dropped]:
        """Returns the calls to send now and the calls to drop."""
        self._polled_at = now
        results: list[Admitted | Dropped] = list(self._evicted)
        self._evicted.clear()
        for model, pool in list(self._backlogged.items()):
            results += self._drop_unservable(now, pool)
            if not pool.waiting:
                del self._backlogged[model]
        blocked: dict[str, int] = {}
        while (best := self._next_model(blocked)) is not None:
            model, rank, waiting = best
            pool = self._pools[model]
            admitted = self._assign(
                now, pool.candidates, waiting.call, waiting.avoid
            )
            if admitted is None:
                blocked[model] = rank
                continue
            pool.take(now, rank, waiting)
            results.append(self._record_send(now, admitted))
        return results

    def wake_at(self, now: float) -> float | None:
        """Returns the latest time for the next call of `next`.

        Returns:
          Monotonic time in seconds, or None if no call waits.
        """
        if self._evicted:
            return now
        waiting = [p for p in self._backlogged.values() if p.waiting]
        if not waiting:
            return None
        expiries = (p.next_expiry() for p in waiting)
        # No event marks the end of a limit's pause or of a breaker's open
        # period, so the queues are polled.
        poll_at = self._polled_at + _POLL_S
        return min([poll_at, *(t for t in expiries if t is not None)])

    def cancel(self, request_id: str) -> bool:
        """Removes a waiting call whose caller has disconnected.

        Returns:
          Whether the call was waiting.  If not, the code that calls this
          method must cancel the request at its engine.
        """
        return any(
            pool.remove(request_id) is not None
            for pool in self._backlogged.values()
        )

    def record_progress(
        self,
        now: float,
        request_id: str,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Updates the engine's limit from an admitted call in progress.

        Args:
          now: monotonic time in seconds.
          request_id: identity of the call.
          first_token_s: seconds to the first token, or None; reported once
            per call.
          token_gap_s: mean seconds between the tokens of about the last
            second, or None.
        """
        call, engine, _ = self._sent[request_id]
        if call.prompt_tokens > self._settings.max_measured_prompt_tokens:
            first_token_s = None
        self._limits.observed(now, engine, first_token_s, token_gap_s)

    def finish(
        self,
        now: float,
        request_id: str,
        sample: outcomes.Sample,
        hint: loads.LoadHint | None = None,
    ) -> None:
        """Ends an admitted call and updates estimates from its answer."""
        call, engine, _ = self._sent.pop(request_id)
        pool = self._pool(call.model)
        pool.outstanding -= 1
        self._picker.finished(now, engine, call, sample.outcome, hint)
        if sample.outcome is outcomes.Outcome.WHOLE:
            pool.service.add_sample(call, sample)
        if call.prompt_tokens > self._settings.max_measured_prompt_tokens:
            sample = sample._replace(first_token_s=None)
        self._limits.finished(now, engine, sample)

    def _pool(self, model: str) -> pool_lib.Pool:
        pool = self._pools.get(model)
        if pool is None:
            settings = self._settings
            pool = pool_lib.Pool(settings.shares, settings.quantum_tokens)
            self._pools[model] = pool
        return pool

    def _assign(
        self,
        now: float,
        candidates: Sequence[picker_lib.Candidate],
        call: requests.ModelCall,
        avoid: Sequence[str],
    ) -> Admitted | None:
        """Returns an engine to send a call to now, or None."""
        reserve = call.priority is requests.Priority.URGENT
        eligible = [
            c
            for c in candidates
            if self._limits.has_capacity(now, c.engine, reserve)
        ]
        choice = self._picker.choose(now, call, eligible, avoid)
        if not choice:
            return None
        return Admitted(call, choice.engine, choice.reason)

    def _admit(
        self, now: float, pool: pool_lib.Pool, admitted: Admitted
    ) -> Admitted:
        pool.sent(now, admitted.call)
        return self._record_send(now, admitted)

    def _record_send(self, now: float, admitted: Admitted) -> Admitted:
        self._sent[admitted.call.request_id] = admitted
        self._limits.started(now, admitted.engine)
        self._picker.started(now, admitted.engine, admitted.call)
        return admitted

    def _next_model(
        self, blocked: dict[str, int]
    ) -> tuple[str, int, queues.Waiting] | None:
        """Returns the model whose next call has the highest rank.

        Args:
          blocked: rank of the call that found no engine with free capacity,
            by model.  After a call on an owed share (rank -1), the model's
            highest waiting class is tried as well, since urgent calls may
            use a reserve.

        Returns:
          Model, rank and waiting call, or None if no call can be tried.
        """
        best = None
        for model, pool in self._backlogged.items():
            if not pool.waiting or blocked.get(model, -1) >= 0:
                continue
            head = pool.head(use_credits=model not in blocked)
            if head is None:
                continue
            rank, waiting = head
            key = (rank, waiting.deadline)
            if best is None or key < (best[1], best[2].deadline):
                best = (model, rank, waiting)
        return best

    def _evict_or_refuse(
        self,
        now: float,
        pool: pool_lib.Pool,
        call: requests.ModelCall,
        wait_s: float,
    ) -> errors.Refusal | None:
        """Makes sure that the queue of a call's class can take the call.

        A full queue evicts the last call of the caller with the most waiting
        calls, unless that caller has no more than the new call's caller would
        have.

        Returns:
          None if the call can be queued, or the refusal of the call.
        """
        queue = pool.queue(call.priority)
        if len(queue) < self._settings.queue_bounds[call.priority]:
            return None
        refusal = self._refusals.overloaded(now, pool, len(queue), wait_s)
        evicted = queue.eviction_candidate()
        own_count = queue.waiting_of(call.caller) + 1
        if queue.waiting_of(evicted.call.caller) <= own_count:
            return refusal
        queue.remove(evicted.call.request_id)
        self._evicted.append(Dropped(evicted.call, refusal))
        return None

    def _drop_unservable(
        self, now: float, pool: pool_lib.Pool
    ) -> list[Dropped]:
        dropped = [
            Dropped(w.call, self._refusals.expired(now, pool))
            for w in pool.take_expired(now)
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
                    errors.ErrorKind.NO_REPLICA,
                    f"all replicas of model {waiting.call.model!r} were lost",
                )
                dropped.append(Dropped(waiting.call, refusal))
        return dropped
