"""Orders to engines and what engines report, in the relay's own terms."""

import enum
from typing import NamedTuple

from azureline.relay import servers


class Verb(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
      verb: what to do.
      model: the model.
      adapter: an adapter of that model, or "" for the model itself.
      expected: the engine's sequence for which the order holds.
    """

    verb: Verb
    model: str
    adapter: str
    expected: int


class Outcome(enum.Enum):
    """How an engine took an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"  # What was ordered is so already.
    OUT_OF_TURN = "out_of_turn"  # Busy, or its sequence is another.
    OUTBID = "outbid"  # It has seen a higher fencing token.
    INVALID = "invalid"
    OTHER_SERVER = "other_server"
    UNKNOWN = "unknown"  # No answer, or one that says nothing.


class Report(NamedTuple):
    """What an engine says when asked; some hundred milliseconds old.

    Attributes:
      born_ms: Unix time of its start, or 0.
      sequence: orders that it has accepted since its start.
      busy: whether it carries out an order about a model.
      models: what it holds.
      coming: adapters on their way to it, as (model, adapter).
      in_memory: models of which its host memory has copies.
      on_disk: models of which its disk has copies.
      running: requests that it runs.
      queued: requests that wait there.
      cache_used: tokens in its memory that cannot yield.
      cache_total: tokens that its memory holds.
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
