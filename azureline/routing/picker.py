"""Choice of the engine that runs a generation."""

from collections.abc import Sequence
import enum
import random
from typing import NamedTuple
from typing import Protocol

from azureline import requests
from azureline.core import errors


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


class LoadHint(NamedTuple):
    """Load of an engine as told on one of its answers.

    Attributes:
      running: requests being generated, of all nodes.
      queued: requests waiting in the engine, of all nodes.
    """

    running: int
    queued: int


class Choice(NamedTuple):
    """The engine that was chosen.

    Attributes:
      engine: name of the engine.
      reason: what decided, for the counter `picked.<reason>`.
    """

    engine: str
    reason: str


class Gate(Protocol):
    """Says which engines are worth trying; see `breaker.Breakers`."""

    def permits(self, now: float, engine: str) -> bool:
        """Returns whether a request may be sent to the engine."""


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
        raise NotImplementedError

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
        raise NotImplementedError

    def started(
        self, now: float, engine: str, call: requests.ModelCall
    ) -> None:
        """Counts a call that is sent to an engine as outstanding there."""
        raise NotImplementedError

    def finished(
        self,
        now: float,
        engine: str,
        call: requests.ModelCall,
        ok: bool,
        hint: LoadHint | None = None,
    ) -> None:
        """Forgets an outstanding call.

        Args:
          now: monotonic time in seconds.
          engine: the engine it was sent to.
          call: the generation.
          ok: whether the answer was whole; only then is its prefix cached.
          hint: the load told on its answer.
        """
        raise NotImplementedError

    def hinted(self, now: float, engine: str, hint: LoadHint) -> None:
        """Takes a load hint, as from the headers of a stream's answer."""
        raise NotImplementedError

    def cached(self, now: float, engine: str, prefix: bytes) -> None:
        """Takes an engine's word that it holds a prefix in its cache."""
        raise NotImplementedError

    def evicted(self, engine: str, prefix: bytes) -> None:
        """Takes an engine's word that it dropped a prefix."""
        raise NotImplementedError

    def leaving(self, now: float, engine: str) -> None:
        """Gives no new work to an engine from now on."""
        raise NotImplementedError

    def restarted(self, engine: str) -> None:
        """Forgets caches, load and leaving of an engine that is new."""
        raise NotImplementedError

    def outstanding(self, engine: str) -> int:
        """Returns this node's calls that the engine is working on."""
        raise NotImplementedError


def parse_load(header: str) -> LoadHint | None:
    """Parses the `X-Load: running,queued` header; None if malformed."""
    raise NotImplementedError
