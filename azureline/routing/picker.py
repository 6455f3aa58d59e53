"""Choice of the engine that runs a generation.

Load reports lag, so nodes that all choose the least loaded engine of the
last report would overload it together.  A picker counts its own outstanding
calls at once, discounts the load that engines report with their answers by its
age, and takes the less loaded of two random replicas (Mitzenmacher, "The Power
of Two Choices in Randomized Load Balancing", 2001).  Engines with the adapter
or the prefix in memory are preferred only while their load is near the mean
(after Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
Loads", 2018).
"""

from collections.abc import Sequence
import enum
import hashlib
import random
from typing import NamedTuple
from typing import Protocol

from azureline import requests
from azureline.core import errors
from azureline.routing import loads as loads_lib
from azureline.routing import outcome as outcomes
from azureline.routing import prefixes
from azureline.routing import rendezvous

# Two loads, each a fraction of its engine's capacity, count as equal if they
# differ by less than this; the failure domain then decides.
_EQUAL_LOAD = 0.05


class State(enum.Enum):
    """Whether an engine accepts new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    DOWN = "down"


class Candidate(NamedTuple):
    """A replica of a model, as the fleet directory describes it.

    Attributes:
      engine: name of the engine.
      domain: failure domain of the engine.
      adapters: names of the adapters in its memory.
      max_running: number of requests that it generates concurrently.
      state: whether it accepts new work.
    """

    engine: str
    domain: str
    adapters: frozenset[str]
    max_running: int
    state: State = State.SERVING


class Choice(NamedTuple):
    """The engine that was chosen.

    Attributes:
      engine: name of the engine.
      reason: the deciding criterion ("load", "adapter" or "prefix"), for the
        counter `picked.<reason>`.
    """

    engine: str
    reason: str


class AvailabilityGate(Protocol):
    """Filter of failing servers; `breaker.Breakers` implements it."""

    def is_permitted(self, now: float, server: str) -> bool:
        """Returns whether a request may be sent to the server."""

    def started(self, now: float, server: str) -> None:
        """Counts a request that is sent."""

    def succeeded(self, now: float, server: str) -> None:
        """Counts an answer that proves that the server works."""

    def failed(self, now: float, server: str) -> bool:
        """Counts a failure."""

    def cancelled(self, server: str) -> None:
        """Counts a request that ended without evidence on the server."""


class Settings(NamedTuple):
    """Settings of a picker.

    Attributes:
      subset_size: number of engines per model that this node distributes its
        requests over.
      hint_half_life_s: half-life in seconds of the weight of a load hint.
      affinity_factor: load relative to the mean up to which an engine with
        the adapter or prefix is preferred.
      max_prefixes: maximum number of prefixes in the table of cached prefixes.
      prefix_ttl_s: seconds after which an entry of that table expires.
      leaving_ttl_s: seconds after the last notification of an engine's
        shutdown during which the engine gets no new work.
    """

    subset_size: int = 8
    hint_half_life_s: float = 2.0
    affinity_factor: float = 1.25
    max_prefixes: int = 4096
    prefix_ttl_s: float = 300.0
    leaving_ttl_s: float = 120.0


DEFAULTS = Settings()


class Picker:
    """Chooses among replicas by two random choices within a subset."""

    def __init__(
        self,
        node: str,
        domain: str,
        rng: random.Random,
        gate: AvailabilityGate | None = None,
        settings: Settings = DEFAULTS,
    ):
        """Creates a picker.

        Args:
          node: name of this node, which selects its subset of engines.
          domain: failure domain of this node.
          rng: source of randomness.
          gate: circuit breakers, or None to try every engine.
          settings: the settings.
        """
        self._node = node
        self._domain = domain
        self._rng = rng
        self._gate = gate
        self._settings = settings
        self._loads = loads_lib.LoadTable(settings.hint_half_life_s)
        self._prefixes = prefixes.PrefixTable(
            settings.max_prefixes, settings.prefix_ttl_s
        )
        self._ranks: dict[str, bytes] = {}
        self._excluded_until: dict[str, float] = {}

    def choose(
        self,
        now: float,
        call: requests.ModelCall,
        candidates: Sequence[Candidate],
        avoid: Sequence[str] = (),
    ) -> Choice | errors.Refusal:
        """Chooses an engine; `started` must follow if the call is sent.

        Args:
          now: monotonic time in seconds.
          call: the generation.
          candidates: the replicas of its model.
          avoid: engines that are chosen only if there is no other, such as
            those on which this call has already failed.

        Returns:
          The choice, or a `NO_REPLICA` refusal if no candidate accepts work.
        """
        usable = self.usable(now, candidates)
        usable = [c for c in usable if c.engine not in avoid] or usable
        if not usable:
            return errors.Refusal(
                errors.ErrorKind.NO_REPLICA,
                f"none of {len(candidates)} replicas of model {call.model!r}"
                " accepts work",
            )
        subset = self._subset(usable)
        mean = self._loads.mean_others(now, [c.engine for c in subset])
        loads = {c.engine: self._ratio(now, c, mean) for c in usable}
        bound = self._affinity_bound(subset, loads)
        pool, reason = self._preferred(now, call, usable, loads, bound)
        pair = self._pair(call, pool or subset, loads, bound)
        return Choice(self._less_loaded(pair, loads), reason)

    def usable(
        self, now: float, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """Returns the candidates that accept new work."""
        return [c for c in candidates if self._is_usable(now, c)]

    def started(
        self, now: float, engine: str, call: requests.ModelCall
    ) -> None:
        """Counts a call as outstanding at the engine it is sent to."""
        self._loads.started(engine)
        if self._gate is not None:
            self._gate.started(now, engine)

    def finished(
        self,
        now: float,
        engine: str,
        call: requests.ModelCall,
        outcome: outcomes.Outcome,
        hint: loads_lib.LoadHint | None = None,
    ) -> None:
        """Ends an outstanding call.

        Args:
          now: monotonic time in seconds.
          engine: the engine it was sent to.
          call: the generation.
          outcome: how it ended.
          hint: the load that the engine reported with its answer, or None.
        """
        self._loads.finished(engine)
        if hint is not None:
            self._loads.record_hint(now, engine, hint)
        if outcome is outcomes.Outcome.WHOLE:
            self._prefixes.add(now, engine, call.prefix)
        self._notify_gate(now, engine, outcome)

    def record_hint(
        self, now: float, engine: str, hint: loads_lib.LoadHint
    ) -> None:
        """Records a load hint, such as one from a stream's response header."""
        self._loads.record_hint(now, engine, hint)

    def prefix_cached(self, now: float, engine: str, prefix: bytes) -> None:
        """Records an engine's report that it holds a prefix in its cache."""
        self._prefixes.add(now, engine, prefix)

    def prefix_evicted(self, engine: str, prefix: bytes) -> None:
        """Records an engine's report that it evicted a prefix."""
        self._prefixes.remove(engine, prefix)

    def exclude_leaving(self, now: float, engine: str) -> None:
        """Excludes an engine that announced its shutdown from new work.

        The exclusion ends `leaving_ttl_s` after the last announcement.
        """
        self._excluded_until[engine] = now + self._settings.leaving_ttl_s

    def reset_engine(self, engine: str) -> None:
        """Resets the caches, load and exclusion of a restarted engine."""
        self._excluded_until.pop(engine, None)
        self._loads.discard_hint(engine)
        self._prefixes.remove_engine(engine)

    def outstanding(self, engine: str) -> int:
        """Returns the number of this node's outstanding calls."""
        return self._loads.outstanding(engine)

    def _is_usable(self, now: float, candidate: Candidate) -> bool:
        if candidate.state is not State.SERVING:
            return False
        until = self._excluded_until.get(candidate.engine)
        if until is not None:
            if now < until:
                return False
            del self._excluded_until[candidate.engine]
        return self._gate is None or self._gate.is_permitted(
            now, candidate.engine
        )

    def _subset(self, usable: list[Candidate]) -> list[Candidate]:
        """Returns the first usable engines in this node's hash order."""
        if len(usable) <= self._settings.subset_size:
            return usable
        ranked = sorted(usable, key=lambda c: self._rank(c.engine))
        return ranked[: self._settings.subset_size]

    def _rank(self, engine: str) -> bytes:
        rank = self._ranks.get(engine)
        if rank is None:
            text = f"{self._node}/{engine}".encode()
            rank = hashlib.blake2b(text, digest_size=8).digest()
            self._ranks[engine] = rank
        return rank

    def _ratio(self, now: float, candidate: Candidate, mean: float) -> float:
        """Returns an engine's load as a fraction of its `max_running`."""
        load = self._loads.estimate(now, candidate.engine, mean)
        return load / max(1, candidate.max_running)

    def _affinity_bound(
        self, subset: list[Candidate], loads: dict[str, float]
    ) -> float:
        """Returns the load below which an engine may be preferred."""
        mean = sum(loads[c.engine] for c in subset) / len(subset)
        slots = sum(max(1, c.max_running) for c in subset) / len(subset)
        # The bound allows one call above the mean; otherwise no engine would
        # be below the bound while all are idle.
        return min(1.0, self._settings.affinity_factor * mean + 1.0 / slots)

    def _preferred(
        self,
        now: float,
        call: requests.ModelCall,
        usable: list[Candidate],
        loads: dict[str, float],
        bound: float,
    ) -> tuple[list[Candidate], str]:
        """Returns the engines to prefer, possibly none, and the reason."""
        resident = usable
        reason = "load"
        if call.adapter:
            with_adapter = [c for c in usable if call.adapter in c.adapters]
            resident = with_adapter or usable
            reason = "adapter" if with_adapter else "load"
        within_bound = [c for c in resident if loads[c.engine] < bound]
        cached = self._prefixes.engines_with(now, call.prefix)
        warm = [c for c in within_bound if c.engine in cached]
        if warm:
            return warm, "prefix"
        if reason == "adapter" and within_bound:
            return self._subset(within_bound), "adapter"
        return [], "load"

    def _pair(
        self,
        call: requests.ModelCall,
        pool: list[Candidate],
        loads: dict[str, float],
        bound: float,
    ) -> list[Candidate]:
        """Returns two engines of the pool that the content selects.

        The hash of the content selects them, which balances distinct
        contents as evenly as a random choice.  Copies of one request that
        arrive through many nodes go to the same two engines, so that a
        request that crashes engines crashes at most these two at once.
        """
        if not call.content:
            return self._rng.sample(pool, min(2, len(pool)))
        ordered = sorted(
            pool, key=lambda c: rendezvous.rank(call.content, c.engine)
        )
        within_bound = [c for c in ordered if loads[c.engine] < bound]
        return (within_bound or ordered)[:2]

    def _less_loaded(
        self, pair: list[Candidate], loads: dict[str, float]
    ) -> str:
        """Returns the less loaded of up to two engines."""
        if len(pair) == 1:
            return pair[0].engine
        a, b = pair
        difference = loads[a.engine] - loads[b.engine]
        if abs(difference) < _EQUAL_LOAD and a.domain != b.domain:
            return b.engine if b.domain == self._domain else a.engine
        return a.engine if difference <= 0.0 else b.engine

    def _notify_gate(
        self, now: float, engine: str, outcome: outcomes.Outcome
    ) -> None:
        if self._gate is None:
            return
        match outcome:
            case outcomes.Outcome.WHOLE | outcomes.Outcome.BUSY:
                self._gate.succeeded(now, engine)
            case outcomes.Outcome.FAILED:
                self._gate.failed(now, engine)
            case outcomes.Outcome.CANCELLED:
                self._gate.cancelled(engine)
