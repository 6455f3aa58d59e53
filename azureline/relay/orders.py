"""Orders to engines, their outcomes and engine reports.

These types do not depend on the engines' HTTP interface.
"""

import enum
from typing import NamedTuple

from azureline.relay import servers


class Verb(enum.Enum):
    """The operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
      verb: the operation.
      model: the model.
      adapter: an adapter of that model, or "" for the model itself.
      expected: the engine's order sequence at which the order is valid; the
        engine rejects the order at any other sequence.
    """

    verb: Verb
    model: str
    adapter: str
    expected: int


class Outcome(enum.Enum):
    """Result of sending an order to an engine."""

    ACCEPTED = "accepted"
    HOLDS = "holds"  # The ordered state is already in effect.
    OUT_OF_TURN = "out_of_turn"  # The engine is busy or at another sequence.
    OUTBID = "outbid"  # The engine has seen a higher fencing token.
    INVALID = "invalid"
    OTHER_SERVER = "other_server"
    UNKNOWN = "unknown"  # No answer, or an uninterpretable one.


class Report(NamedTuple):
    """An engine's report of its state, up to a few hundred milliseconds old.

    Attributes:
      born_ms: Unix time in milliseconds at which the engine started, or 0.
      sequence: number of orders accepted since the start.
      busy: whether the engine is carrying out a model order.
      models: models that the engine holds, with their adapters.
      coming: adapters that are being loaded, as (model, adapter).
      in_memory: models with a copy in host memory.
      on_disk: models with a copy on disk.
      running: requests that the engine is running.
      queued: requests that are queued at the engine.
      cache_used: tokens in the KV cache that cannot be evicted.
      cache_total: capacity of the KV cache in tokens.
    """

    born_ms: int
    sequence: int
    busy: bool
    models: tuple[servers.Resident, ...]
    coming: tuple[tuple[str, str], ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    running: int = 0
    queued: int = 0
    cache_used: int = 0
    cache_total: int = 0
