"""Choice of the engine that runs a generation.

Load reports lag, so nodes that all choose the engine that looked idle would
meet there.  A picker counts its own outstanding calls at once, treats what
engines tell on their answers as evidence that fades, and takes the less
loaded of two random replicas (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001).  Engines with the adapter or the prefix in
memory are preferred only while their load is near the mean (after Mirrokni,
Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
"""

from collections.abc import Sequence
import enum
import hashlib
import random
from typing import NamedTuple
from typing import Protocol

from azureline import requests
from azureline.core import errors
from azureline.routing import affinity
from azureline.routing import loads as loads_lib
from azureline.routing import outcome as outcomes
from azureline.routing import prefixes

# Load differences of less than this part of an engine count as equal, so
# that the failure domain decides.
_EQUAL_LOAD = 0.05


class State(enum.Enum):
    """Whether an engine may be given new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    DOWN = "down"


class Candidate(NamedTuple):
    """A replica of a model, as the fleet's map describes it.

    Attributes:
      engine: name of the engine.
      domain: failure domain of the engine.
      adapters: names of the adapters in its memory.
      max_running: requests that it generates at once.
      state: whether it may be given new work.
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
      reason: what decided ("load", "adapter" or "prefix"), for the counter
        `picked.<reason>`.
    """

    engine: str
    reason: str


class Gate(Protocol):
    """Says which engines are worth trying; see `breaker.Breakers`."""

    def permits(self, now: float, server: str) -> bool:
        """Returns whether a request may be sent to the server."""

    def started(self, now: float, server: str) -> None:
        """Counts a request that is sent."""

    def succeeded(self, now: float, server: str) -> None:
        """Counts an answer that shows the server to work."""

    def failed(self, now: float, server: str) -> bool:
        """Counts a failure."""

    def cancelled(self, server: str) -> None:
        """Counts an end that says nothing about the server."""


class Settings(NamedTuple):
    """Settings of a picker.

    Attributes:
      subset: engines per model that this node spreads its requests over.
      hint_half_life_s: seconds in which trust in a load hint halves.
      affinity_factor: load relative to the mean up to which an engine with
        the adapter or prefix is preferred.
      prefixes: prefixes whose engines are remembered.
      prefix_ttl_s: seconds after which a remembered prefix is forgotten.
      leaving_ttl_s: seconds for which a leaving engine is avoided after the
        last word of its leaving.
    """

    subset: int = 8
    hint_half_life_s: float = 2.0
    affinity_factor: float = 1.25
    prefixes: int = 4096
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
        gate: Gate | None = None,
        settings: Settings = DEFAULTS,
    ):
        """Creates a picker.

        Args:
          node: name of this node, which selects its subset of engines.
          domain: failure domain of this node.
          rng: source of randomness.
          gate: breakers, or None to try every engine.
          settings: the settings.
        """
        self._node = node
        self._domain = domain
        self._rng = rng
        self._gate = gate
        self._settings = settings
        self._loads = loads_lib.LoadTable(settings.hint_half_life_s)
        self._prefixes = prefixes.PrefixTable(
            settings.prefixes, settings.prefix_ttl_s
        )
        self._ranks: dict[str, bytes] = {}
        self._leaving: dict[str, float] = {}

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
          avoid: engines that are taken only if there is no other, such as
            those on which this call has failed already.

        Returns:
          The choice, or `NO_REPLICA` if no candidate may be given work.
        """
        usable = self.usable(now, candidates)
        usable = [c for c in usable if c.engine not in avoid] or usable
        if not usable:
            return errors.Refusal(
                errors.ErrorKind.NO_REPLICA,
                f"none of {len(candidates)} replicas may be given work",
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
        """Returns the candidates that may be given new work."""
        return [c for c in candidates if self._may_use(now, c)]

    def started(
        self, now: float, engine: str, call: requests.ModelCall
    ) -> None:
        """Counts a call that is sent to an engine as outstanding there."""
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
        """Forgets an outstanding call.

        Args:
          now: monotonic time in seconds.
          engine: the engine it was sent to.
          call: the generation.
          outcome: how it ended.
          hint: the load told on its answer.
        """
        self._loads.finished(engine)
        if hint is not None:
            self._loads.hinted(now, engine, hint)
        if outcome is outcomes.Outcome.WHOLE:
            self._prefixes.add(now, engine, call.prefix)
        self._tell_gate(now, engine, outcome)

    def hinted(self, now: float, engine: str, hint: loads_lib.LoadHint) -> None:
        """Takes a load hint, as from the headers of a stream's answer."""
        self._loads.hinted(now, engine, hint)

    def cached(self, now: float, engine: str, prefix: bytes) -> None:
        """Takes an engine's word that it holds a prefix in its cache."""
        self._prefixes.add(now, engine, prefix)

    def evicted(self, engine: str, prefix: bytes) -> None:
        """Takes an engine's word that it dropped a prefix."""
        self._prefixes.remove(engine, prefix)

    def leaving(self, now: float, engine: str) -> None:
        """Gives no new work to an engine from now on."""
        self._leaving[engine] = now + self._settings.leaving_ttl_s

    def restarted(self, engine: str) -> None:
        """Forgets caches, load and leaving of an engine that is new."""
        self._leaving.pop(engine, None)
        self._loads.restarted(engine)
        self._prefixes.forget(engine)

    def outstanding(self, engine: str) -> int:
        """Returns this node's calls that the engine is working on."""
        return self._loads.outstanding(engine)

    def _may_use(self, now: float, candidate: Candidate) -> bool:
        if candidate.state is not State.SERVING:
            return False
        until = self._leaving.get(candidate.engine)
        if until is not None:
            if now < until:
                return False
            del self._leaving[candidate.engine]
        return self._gate is None or self._gate.permits(now, candidate.engine)

    def _subset(self, usable: list[Candidate]) -> list[Candidate]:
        """Returns the usable engines that rank highest for this node."""
        if len(usable) <= self._settings.subset:
            return usable
        ranked = sorted(usable, key=lambda c: self._rank(c.engine))
        return ranked[: self._settings.subset]

    def _rank(self, engine: str) -> bytes:
        rank = self._ranks.get(engine)
        if rank is None:
            text = f"{self._node}/{engine}".encode()
            rank = hashlib.blake2b(text, digest_size=8).digest()
            self._ranks[engine] = rank
        return rank

    def _ratio(self, now: float, candidate: Candidate, mean: float) -> float:
        """Returns an engine's load relative to what it runs at once."""
        load = self._loads.estimate(now, candidate.engine, mean)
        return load / max(1, candidate.max_running)

    def _affinity_bound(
        self, subset: list[Candidate], loads: dict[str, float]
    ) -> float:
        """Returns the load below which an engine may be preferred."""
        mean = sum(loads[c.engine] for c in subset) / len(subset)
        slots = sum(max(1, c.max_running) for c in subset) / len(subset)
        # One call more than the mean is always allowed; otherwise nothing
        # would be preferred on idle engines.
        return min(1.0, self._settings.affinity_factor * mean + 1.0 / slots)

    def _preferred(
        self,
        now: float,
        call: requests.ModelCall,
        usable: list[Candidate],
        loads: dict[str, float],
        bound: float,
    ) -> tuple[list[Candidate], str]:
        """Returns the engines to prefer, or none, and the reason."""
        resident = usable
        reason = "load"
        if call.adapter:
            having = [c for c in usable if call.adapter in c.adapters]
            resident = having or usable
            reason = "adapter" if having else "load"
        fitting = [c for c in resident if loads[c.engine] < bound]
        cached = self._prefixes.holders(now, call.prefix)
        warm = [c for c in fitting if c.engine in cached]
        if warm:
            return warm, "prefix"
        if reason == "adapter" and fitting:
            return self._subset(fitting), "adapter"
        return [], "load"

    def _pair(
        self,
        call: requests.ModelCall,
        pool: list[Candidate],
        loads: dict[str, float],
        bound: float,
    ) -> list[Candidate]:
        """Returns two engines of the pool that the content selects.

        Contents differ, so this draws as evenly as chance; but copies of one
        request that come through many nodes meet at the same two engines,
        and can crash no more than these at once.
        """
        if not call.content:
            return self._rng.sample(pool, min(2, len(pool)))
        ordered = sorted(
            pool, key=lambda c: affinity.rank(call.content, c.engine)
        )
        fitting = [c for c in ordered if loads[c.engine] < bound]
        return (fitting or ordered)[:2]

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

    def _tell_gate(
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
