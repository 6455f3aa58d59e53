"""Datagrams between nodes of the relay, and their codec."""

from typing import Any
from typing import NamedTuple

from azureline.core import wire


class EngineState(NamedTuple):
    """State of an engine, which its lease holder publishes to all nodes.

    Attributes:
      server_id: ID of the engine.
      born_ms: Unix time in milliseconds at which the engine started, or 0.
      sequence: number of orders that the engine has accepted.
      models: (model, adapters) pairs that requests may use.
      coming: model that is being loaded, or "".
      coming_ms: milliseconds until the loading model can be used.
      busy: whether a model order is in progress.
      held_ms: milliseconds until the lease holder may send orders.
      turn: fencing token of the lease holder's term; higher in later terms.
      serial: increases with each state published in a term.
    """

    server_id: str
    born_ms: int
    sequence: int
    models: tuple[tuple[str, tuple[str, ...]], ...]
    coming: str
    coming_ms: int
    busy: bool
    held_ms: int
    turn: int
    serial: int


class EngineLoad(NamedTuple):
    """Load of an engine, which its lease holder publishes to all nodes.

    Attributes:
      server_id: ID of the engine.
      requests: requests running or queued at the engine, up to a few hundred
        milliseconds ago.
      reading_percent: percentage of its recent time that the engine spent
        reading prompts.
    """

    server_id: str
    requests: int
    reading_percent: int


class EngineAsk(NamedTuple):
    """Reservation request: asks an engine's lease holder to admit a request.

    Attributes:
      ask: number of the reservation request, repeated in the reply.
      server_id: ID of the engine.
      model: the model.
      adapter: the adapter of the model, or "".
      tokens: length of the prompt in tokens.
      shared: (name, tokens) of the prompt's parts shared with other prompts.
      most_ms: longest acceptable backlog of prompts at the engine, in
        milliseconds of reading.
      pace_percent: time that the engine recently took to read the sender's
        prompts for the model, in percent of the nominal time; 0 if unknown.
    """

    ask: int
    server_id: str
    model: str
    adapter: str
    tokens: int
    shared: tuple[tuple[str, int], ...]
    most_ms: int
    pace_percent: int


class EngineAnswer(NamedTuple):
    """Reservation reply to an `EngineAsk`.

    Attributes:
      ask: number of the reservation request.
      server_id: ID of the engine.
      granted: whether the request may be sent to the engine.
      wait_ms: milliseconds to wait before the request is sent; without a grant,
        milliseconds until a grant is possible, or 0 if unknown.
      backlog_ms: milliseconds of prompt reading queued at the engine.
      reason: why the reservation is denied, or "".
      reading_ms: milliseconds to read the uncached part of the prompt at the
        nominal rate.
    """

    ask: int
    server_id: str
    granted: bool
    wait_ms: int
    backlog_ms: int
    reason: str
    reading_ms: int


class EngineDone(NamedTuple):
    """Reservation release: a request with a granted adapter has ended.

    Attributes:
      ask: number of the reservation request.
      server_id: ID of the engine.
    """

    ask: int
    server_id: str


class ServerEnded(NamedTuple):
    """Notifies all nodes of a server failure during requests.

    Attributes:
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the failed process started, or
        0.
      service: the server's service.
      age_ms: milliseconds since the failure.
      contents: digests of the requests without a complete answer from the
        server.
    """

    server_id: str
    born_ms: int
    service: str
    age_ms: int
    contents: tuple[bytes, ...]


class ServerLeaving(NamedTuple):
    """Notifies all nodes of a server notice that the server is leaving.

    Attributes:
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the leaving process started,
        or 0.
    """

    server_id: str
    born_ms: int


class SuspectServed(NamedTuple):
    """Notifies all nodes that a crash suspect completed without a failure.

    Attributes:
      content: digest of the request.
      service: the request's service.
      age_ms: milliseconds since the request completed.
    """

    content: bytes
    service: str
    age_ms: int


class SuspectsAsk(NamedTuple):
    """Requests the crash suspects that a node knows."""


class ModelDemand(NamedTuple):
    """Demand for a model at one node.

    Attributes:
      service: name of the service.
      model: name of the model.
      arrived: requests that arrived since the last message.
      waiting: requests that are waiting for the model now.
      under_way: requests for the model that are in flight to engines now.
      refused: requests refused since the last message because no engine held
        the model.
      rank: most urgent rank among these requests.
      reading_ms: total prompt reading time, in milliseconds, of the requests
        that arrived.
      running_ms: their total expected time in slots, in milliseconds.
      adapted_ms: the part of `running_ms` with an adapter.
      target_ms: lowest latency target of the requests that arrived.
      gap_ms: lowest acceptable pause in a stream, in milliseconds, among their
        callers; 0 if unlimited.
      patience_ms: lowest time, in milliseconds, after which one of their
        callers disconnects without an answer.
    """

    service: str
    model: str
    arrived: int
    waiting: int
    under_way: int
    refused: int
    rank: int
    reading_ms: int = 0
    running_ms: int = 0
    adapted_ms: int = 0
    target_ms: int = 0
    gap_ms: int = 0
    patience_ms: int = 0


class Demand(NamedTuple):
    """Demand at one node, sent to the planner."""

    rows: tuple[ModelDemand, ...]


class Target(NamedTuple):
    """Models that an engine should hold, sent to its lease holder.

    Attributes:
      server_id: ID of the engine.
      born_ms: Unix time in milliseconds at which the engine process started
        that the target is for.
      plan: number of the plan; a lower number is older.
      models: the models, highest priority first.
      ready_ms: milliseconds until the engine should hold the models.
    """

    server_id: str
    born_ms: int
    plan: int
    models: tuple[str, ...]
    ready_ms: int = 0


class ToDomain(NamedTuple):
    """Asks a node to forward a message to the nodes of its failure domain."""

    message: Any


class FeedRow(NamedTuple):
    """A change in the store, forwarded by a watcher.

    Attributes:
      key: the changed key.
      value: the key's compressed value; None if it was deleted or is too large.
      revision: store revision of the change.
      removed: whether the key was deleted.
    """

    key: str
    value: bytes | None
    revision: int
    removed: bool


class Feed(NamedTuple):
    """Change feed from a watcher of the store to its failure domain.

    Attributes:
      after: revision after which the rows begin; -1 if the watcher no longer
        has the missing changes.
      upto: revision up to which the rows are complete.
      rows: the changes in order of revision; empty in a heartbeat.
      steady_ms: milliseconds for which the store has answered the watcher.
      away: whether the store is unreachable for the watcher.
    """

    after: int
    upto: int
    rows: tuple[FeedRow, ...]
    steady_ms: int
    away: bool


class FeedAsk(NamedTuple):
    """Requests the changes after a revision from a watcher."""

    after: int


_MESSAGES: dict[int, type] = {
    1: EngineState,
    2: EngineAsk,
    3: EngineAnswer,
    4: ModelDemand,
    5: Demand,
    6: Target,
    8: EngineLoad,
    9: FeedRow,
    10: Feed,
    11: FeedAsk,
    12: ToDomain,
    13: EngineDone,
    14: ServerEnded,
    15: SuspectServed,
    16: SuspectsAsk,
    17: ServerLeaving,
}


def codec() -> wire.Codec:
    """Returns the codec of the relay's datagrams."""
    return wire.Codec(_MESSAGES)
