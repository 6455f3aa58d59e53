"""Orders to and reports from model engines, independent of the transport."""

import enum
from typing import NamedTuple


class OrderKind(enum.Enum):
    """The operations that an engine can be ordered to perform."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
      order_id: unique identity; an engine executes an order id only once.
      kind: the operation.
      target: name of the model, adapter or role.
      version: version of the model or adapter, or "".
      fence: fencing token: the epoch of the slot owner.  An engine that fences
        refuses an order with a lower token than the highest it has seen.
      expires_in_s: seconds after sending at which the order expires and must
        no longer be started.
      bytes_needed: memory in bytes that the order uses (loads) or frees
        (unloads).
    """

    order_id: str
    kind: OrderKind
    target: str
    version: str
    fence: int
    expires_in_s: float
    bytes_needed: int


class ResidentModel(NamedTuple):
    """A model or adapter in an engine's memory.

    Attributes:
      name: name of the model or adapter.
      version: its version.
      bytes_used: memory in bytes.
      state: "loading", "ready" or "unloading".
    """

    name: str
    version: str
    bytes_used: int
    state: str


class Report(NamedTuple):
    """The state of an engine as the engine reports it.

    Attributes:
      engine: name of the engine.
      incarnation: changes with each restart of the engine.
      sequence: increases with each report of an incarnation.
      age_s: seconds between the reading of the state and the sending of the
        report.
      capacity_bytes: accelerator memory in bytes.
      cache_bytes: memory in bytes held by the KV cache.
      models: the models in memory.
      adapters: the adapters in memory.
      running: requests being generated.
      queued: requests waiting in the engine.
      last_order_id: id of the last order that the engine has accepted.
      fence: the highest fencing token that the engine has seen.
      fences: whether the engine refuses orders with a lower fencing token.
      draining: whether the engine has been asked to shut down.
    """

    engine: str
    incarnation: str
    sequence: int
    age_s: float
    capacity_bytes: int
    cache_bytes: int
    models: tuple[ResidentModel, ...]
    adapters: tuple[ResidentModel, ...]
    running: int
    queued: int
    last_order_id: str
    fence: int
    fences: bool
    draining: bool


class OrderResult(enum.Enum):
    """The result of an order, as far as the sender knows."""

    ACCEPTED = "accepted"
    REFUSED_FENCE = "refused_fence"
    REFUSED_MEMORY = "refused_memory"
    REFUSED_EXPIRED = "refused_expired"
    UNKNOWN = "unknown"
