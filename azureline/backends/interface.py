"""What azureline needs from backend servers, independent of the transport."""

import enum
from typing import NamedTuple


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
      order_id: unique identity; an engine runs one order id once.
      kind: what to do.
      target: name of the model, adapter or role.
      version: version of the model or adapter, or "".
      fence: the owner's epoch; engines that fence refuse a lower one than
        they have seen.
      expires_in_s: seconds from sending after which the order must not be
        started any more.
      bytes_needed: memory in bytes that it takes (loads) or frees (unloads).
    """

    order_id: str
    kind: OrderKind
    target: str
    version: str
    fence: int
    expires_in_s: float
    bytes_needed: int


class Resident(NamedTuple):
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
    """An engine's own account of itself.

    Attributes:
      engine: name of the engine.
      incarnation: changes with each restart of the engine.
      sequence: grows with each report of an incarnation.
      age_s: seconds between taking the report and its being sent.
      capacity_bytes: accelerator memory in bytes.
      cache_bytes: memory in bytes held by the KV cache.
      models: the models in memory.
      adapters: the adapters in memory.
      running: requests being generated.
      queued: requests waiting in the engine.
      last_order_id: id of the last order that the engine has taken up.
      fence: the highest fence that it has seen.
      fences: whether it refuses orders with a lower fence.
      draining: whether it has been told to leave.
    """

    engine: str
    incarnation: str
    sequence: int
    age_s: float
    capacity_bytes: int
    cache_bytes: int
    models: tuple[Resident, ...]
    adapters: tuple[Resident, ...]
    running: int
    queued: int
    last_order_id: str
    fence: int
    fences: bool
    draining: bool


class OrderResult(enum.Enum):
    """What became of an order, as far as the sender knows."""

    ACCEPTED = "accepted"
    REFUSED_FENCE = "refused_fence"
    REFUSED_MEMORY = "refused_memory"
    REFUSED_EXPIRED = "refused_expired"
    UNKNOWN = "unknown"
