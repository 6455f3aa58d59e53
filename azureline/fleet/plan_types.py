"""Types for the planner's view of the fleet and the moves that it proposes."""

import enum
from typing import NamedTuple


class Model(NamedTuple):
    """A model that must stay reachable.

    Attributes:
      name: name of the model.
      version: the configured version.
      bytes: memory of one replica in bytes.
      min_replicas: replicas to keep regardless of demand; at least one.
      rate: work per second, in the unit of the demand, that an engine of
        speed 1 does when it serves nothing else.
    """

    name: str
    version: str
    bytes: int
    min_replicas: int = 1
    rate: float = 1.0


class State(enum.Enum):
    """The lifecycle states of a replica in an engine's memory."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class Replica(NamedTuple):
    """A model in an engine's memory.

    Attributes:
      model: name of the model.
      version: its version.
      bytes: memory that it uses, in bytes.
      state: lifecycle state.
      safe_from_unload: whether no order that can still take effect would
        unload it.
    """

    model: str
    version: str
    bytes: int
    state: State
    safe_from_unload: bool = True


class Engine(NamedTuple):
    """A model engine that is alive.

    Attributes:
      name: name of the engine.
      domain: its failure domain.
      capacity: bytes for models and adapters, without the cache reserve.
      free: bytes that the memory accounting of its slot owner allows a load to
        use.
      replicas: the models in its memory.
      speed: its speed relative to the engine of the models' rates.
      draining: whether it is draining or its VM is shutting down.
      role: its current role.
      target_role: its configured role.
    """

    name: str
    domain: str
    capacity: int
    free: int
    replicas: tuple[Replica, ...] = ()
    speed: float = 1.0
    draining: bool = False
    role: str = "model"
    target_role: str = "model"

    @property
    def leaving(self) -> bool:
        """Whether its models must be moved to other engines."""
        return self.draining or self.role != self.target_role


class Params(NamedTuple):
    """The weights and bounds of the placement policy.

    Attributes:
      attainment_weight: weight of an engine second of work done in time.
      move_weight: weight of the cost of moves.
      move_cost_s: cost of a move in engine seconds.
      eviction_cost_moves: cost of an eviction as a fraction of a move, since
        the evicted model may have to be loaded again later.
      horizon_s: seconds within which the gain of a move must exceed its cost.
      slots: requests that an engine can generate concurrently in time.
      target_load: load of an engine at which most requests finish in time.
      min_stay_s: seconds for which a move is not reversed to follow demand.
      spread_cost_s: cost in engine seconds of removing a model's only replica
        in a second failure domain.
      moves_per_plan: maximum number of loads that one plan proposes for demand.
      loads_pending: maximum number of loads that wait for the weight store.
    """

    attainment_weight: float = 0.8
    move_weight: float = 0.2
    move_cost_s: float = 20.0
    eviction_cost_moves: float = 0.3
    horizon_s: float = 600.0
    slots: int = 9
    target_load: float = 0.8
    min_stay_s: float = 600.0
    spread_cost_s: float = 20.0
    moves_per_plan: int = 4
    loads_pending: int = 8


class MoveKind(enum.Enum):
    """The kinds of moves that change what an engine serves."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Cause(enum.Enum):
    """The reason for a move; each reason has its own counters."""

    REPAIR = "repair"
    SPREAD = "spread"
    VERSION = "version"
    DRAIN = "drain"
    ROLE = "role"
    DEMAND = "demand"
    ROOM = "room"


class Move(NamedTuple):
    """One load, unload or change of role.

    Attributes:
      kind: the kind of move.
      engine: name of the engine.
      target: name of the model or role.
      version: version of the model, or "".
      bytes: memory that it uses or frees, in bytes.
      cause: the reason for the move.
    """

    kind: MoveKind
    engine: str
    target: str
    version: str
    bytes: int
    cause: Cause

    @property
    def counter(self) -> str:
        """The name of the counter for moves of this kind and cause."""
        return f"moves.{self.kind.value}.{self.cause.value}"


class LastChange(NamedTuple):
    """The times at which a model was last moved to and from an engine.

    Attributes:
      loaded: time in seconds of the last load.
      unloaded: time in seconds of the last unload.
    """

    loaded: float = float("-inf")
    unloaded: float = float("-inf")
