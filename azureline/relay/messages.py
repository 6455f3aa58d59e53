"""Datagrams between nodes of the relay, and their codec."""

from typing import Any
from typing import NamedTuple

from azureline.core import wire


class EngineState(NamedTuple):
    """What an engine's holder tells every node about it.

    Attributes:
      server_id: the engine.
      born_ms: Unix time of its start, or 0.
      sequence: orders that it has accepted.
      models: (model, adapters) that requests may use.
      coming: model that is being loaded, or "".
      coming_ms: milliseconds until it can be used.
      busy: whether an order about a model is under way.
      held_ms: milliseconds until its holder may give orders.
      turn: fencing token of the holder's turn; a later turn has a higher one.
      serial: grows with each state that is told in a turn.
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
    """What an engine's holder tells every node about its load.

    Attributes:
      server_id: the engine.
      requests: requests that ran or waited there some hundred ms ago.
      reading_percent: part of its time that it reads prompts, of late.
    """

    server_id: str
    requests: int
    reading_percent: int


class EngineAsk(NamedTuple):
    """Asks an engine's holder for room for a request.

    Attributes:
      ask: number that the answer repeats.
      server_id: the engine.
      model: the model.
      adapter: the adapter of it, or "".
      tokens: length of the prompt.
      shared: (name, tokens) of the parts that other prompts have too.
      most_ms: milliseconds of waiting prompts that the request puts up with.
      pace_percent: time that the engine took of late to read the asker's
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
    """Answers an `EngineAsk`.

    Attributes:
      ask: number of the question.
      server_id: the engine.
      granted: whether the request may be sent.
      wait_ms: milliseconds to wait before it is sent; without a grant,
        milliseconds until it may be granted, or 0 if nothing tells.
      backlog_ms: milliseconds of prompts that wait to be read there.
      reason: why it is not granted, or "".
      reading_ms: milliseconds to read the rest of the prompt at the nominal
        rate.
    """

    ask: int
    server_id: str
    granted: bool
    wait_ms: int
    backlog_ms: int
    reason: str
    reading_ms: int


class EngineDone(NamedTuple):
    """Tells a holder that a request it granted an adapter to has ended.

    Attributes:
      ask: number of the `EngineAsk`.
      server_id: the engine.
    """

    ask: int
    server_id: str


class ServerEnded(NamedTuple):
    """Tells all nodes of a server that ended while requests ran there.

    Attributes:
      server_id: the server.
      born_ms: Unix time of the start that ended, or 0.
      service: its service.
      age_ms: milliseconds since it ended.
      contents: digests of requests that have no whole answer from it.
    """

    server_id: str
    born_ms: int
    service: str
    age_ms: int
    contents: tuple[bytes, ...]


class ServerLeaving(NamedTuple):
    """Tells all nodes that a server said in an answer that it leaves.

    Attributes:
      server_id: the server.
      born_ms: Unix time of the start that leaves, or 0.
    """

    server_id: str
    born_ms: int


class SuspectServed(NamedTuple):
    """Tells all nodes that a request ran to its end that was a suspect.

    Attributes:
      content: digest of the request.
      service: its service.
      age_ms: milliseconds since then.
    """

    content: bytes
    service: str
    age_ms: int


class SuspectsAsk(NamedTuple):
    """Asks a node which requests it suspects of ending servers."""


class ModelDemand(NamedTuple):
    """Requests for a model at one node.

    Attributes:
      service: the service.
      model: the model.
      arrived: requests since the last message.
      waiting: requests that wait for the model now.
      under_way: requests that are at engines for it now.
      refused: requests refused for want of it since the last message.
      rank: the most urgent rank among them.
      reading_ms: milliseconds of reading that those that arrived need.
      running_ms: milliseconds that they should be in slots, together.
      adapted_ms: milliseconds of these with an adapter.
      target_ms: least latency target among those that arrived.
      gap_ms: least pause in a stream that their callers bear; 0 if any is.
      patience_ms: least time after which their callers leave unanswered.
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
    """Tells the planner what callers ask one node for."""

    rows: tuple[ModelDemand, ...]


class Target(NamedTuple):
    """Tells a holder which models its engine shall hold.

    Attributes:
      server_id: the engine.
      born_ms: Unix time of the start for which it holds.
      plan: number of the plan; a lower one is older.
      models: the models, the most wanted first.
      ready_ms: milliseconds after which it should hold them.
    """

    server_id: str
    born_ms: int
    plan: int
    models: tuple[str, ...]
    ready_ms: int = 0


class ToDomain(NamedTuple):
    """Asks a node to pass a message on to the others of its failure domain."""

    message: Any


class FeedRow(NamedTuple):
    """A change in the store, as a watcher passes it on.

    Attributes:
      key: the key.
      value: its value, compressed; None if it is gone or too large.
      revision: revision of the change.
      removed: whether the key is gone.
    """

    key: str
    value: bytes | None
    revision: int
    removed: bool


class Feed(NamedTuple):
    """What a watcher of the store tells the nodes of its failure domain.

    Attributes:
      after: revision after which the rows begin; -1 says that the watcher
        cannot tell again what is missing.
      upto: revision up to which they are complete.
      rows: the changes, in order; none in a heartbeat.
      steady_ms: milliseconds since the store began to answer the watcher.
      away: whether the store gives the watcher no answers.
    """

    after: int
    upto: int
    rows: tuple[FeedRow, ...]
    steady_ms: int
    away: bool


class FeedAsk(NamedTuple):
    """Asks a watcher for the changes after a revision."""

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
