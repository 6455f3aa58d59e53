"""What the planner knows of the fleet, and the moves that it proposes."""

import enum
from typing import NamedTuple


class Model(NamedTuple):
    """A model that must stay reachable.

    Attributes:
      name: name of the model.
      version: the version that is wanted.
      bytes: memory of one replica in bytes.
      min_replicas: replicas to keep whatever the demand; at least one.
      rate: work per second, in the unit of the demand, that an engine of
        speed 1 does when it serves nothing else.
    """

    name: str
    version: str
    bytes: int
    min_replicas: int = 1
    rate: float = 1.0


class State(enum.Enum):
    """The stages of a replica in an engine's memory."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class Replica(NamedTuple):
    """A model in an engine's memory.

    Attributes:
      model: name of the model.
      version: its version.
      bytes: memory that it takes.
      state: stage of its life.
      sure: whether no order that may still act can take it away.
    """

    model: str
    version: str
    bytes: int
    state: State
    sure: bool = True


class Engine(NamedTuple):
    """A model engine that is alive.

    Attributes:
      name: name of the engine.
      domain: its failure domain.
      capacity: bytes for models and adapters, without the cache reserve.
      free: bytes that its memory book allows a load to take.
      replicas: what its memory holds.
      speed: its speed relative to the engine of the models' rates.
      draining: whether it is leaving or is to change its role.
      role: the role that it has.
      wanted_role: the role that the configuration gives it.
    """

    name: str
    domain: str
    capacity: int
    free: int
    replicas: tuple[Replica, ...] = ()
    speed: float = 1.0
    draining: bool = False
    role: str = "model"
    wanted_role: str = "model"

    @property
    def leaving(self) -> bool:
        """Whether its models must be served elsewhere."""
        return self.draining or self.role != self.wanted_role


class Params(NamedTuple):
    """The weights and bounds of the policy.

    Attributes:
      attainment_weight: worth of an engine second of work done in time.
      move_weight: worth of an avoided move.
      move_cost_s: engine seconds that a move is set equal to.
      eviction_moves: part of a move that is set against each eviction, for
        the load that may follow from it later.
      horizon_s: seconds over which a move must pay back.
      slots: requests that an engine generates at once in time.
      target_load: load of an engine at which most requests are in time.
      no_undo_s: seconds for which a move is not undone for its gain.
      spread_cost_s: engine seconds set against taking a model's only replica
        in a second failure domain.
      moves_per_plan: bound on the loads that one plan proposes for demand.
      loads_pending: bound on the loads that wait for the weight store.
    """

    attainment_weight: float = 0.8
    move_weight: float = 0.2
    move_cost_s: float = 20.0
    eviction_moves: float = 0.3
    horizon_s: float = 600.0
    slots: int = 9
    target_load: float = 0.8
    no_undo_s: float = 600.0
    spread_cost_s: float = 20.0
    moves_per_plan: int = 4
    loads_pending: int = 8


class MoveKind(enum.Enum):
    """The steps that change what an engine serves."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Cause(enum.Enum):
    """Why a move is made; each has a counter."""

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
      kind: what to do.
      engine: name of the engine.
      target: name of the model or role.
      version: version of the model, or "".
      bytes: memory that it takes or frees.
      cause: why it is made.
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


class Touched(NamedTuple):
    """When a model was last loaded to or unloaded from an engine.

    Attributes:
      loaded: time in seconds of the last load.
      unloaded: time in seconds of the last unload.
    """

    loaded: float = float("-inf")
    unloaded: float = float("-inf")
