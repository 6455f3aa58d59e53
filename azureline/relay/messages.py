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
      loading: model that is being loaded, or "".
      loading_ms: milliseconds until the loading model can be used.
      busy: whether a model order is in progress.
      orders_after_ms: milliseconds until the lease holder may send orders.
      turn: fencing token of the lease holder's term; higher in later terms.
      serial: increases with each state published in a term.
    """

    server_id: str
    born_ms: int
    sequence: int
    models: tuple[tuple[str, tuple[str, ...]], ...]
    loading: str
    loading_ms: int
    busy: bool
    orders_after_ms: int
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


class ReservationRequest(NamedTuple):
    """Reservation request: asks an engine's lease holder to admit a request.

    Attributes:
      reservation_id: number of the reservation request, repeated in the reply.
      server_id: ID of the engine.
      model: the model.
      adapter: the adapter of the model, or "".
      tokens: length of the prompt in tokens.
      shared: (name, tokens) of the prompt's parts shared with other prompts.
      max_backlog_ms: longest acceptable backlog of prompts at the engine, in
        milliseconds of reading.
      read_time_percent: time that the engine recently took to read the sender's
        prompts for the model, in percent of the nominal time; 0 if unknown.
    """

    reservation_id: int
    server_id: str
    model: str
    adapter: str
    tokens: int
    shared: tuple[tuple[str, int], ...]
    max_backlog_ms: int
    read_time_percent: int


class ReservationReply(NamedTuple):
    """Reservation reply to an `ReservationRequest`.

    Attributes:
      reservation_id: number of the reservation request.
      server_id: ID of the engine.
      granted: whether the request may be sent to the engine.
      wait_ms: milliseconds to wait before the request is sent; without a grant,
        milliseconds until a grant is possible, or 0 if unknown.
      backlog_ms: milliseconds of prompt reading queued at the engine.
      reason: why the reservation is denied, or "".
      reading_ms: milliseconds to read the uncached part of the prompt at the
        nominal rate.
    """

    reservation_id: int
    server_id: str
    granted: bool
    wait_ms: int
    backlog_ms: int
    reason: str
    reading_ms: int


class ReservationRelease(NamedTuple):
    """Reservation release: a request with a granted adapter has ended.

    Attributes:
      reservation_id: number of the reservation request.
      server_id: ID of the engine.
    """

    reservation_id: int
    server_id: str


class ServerCrashed(NamedTuple):
    """Notifies all nodes of a server failure during requests.

    Attributes:
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the failed process started, or
        0.
      service: the server's service.
      age_ms: milliseconds since the failure.
      contents: signatures of the requests without a complete answer from the
        server: of contents, and of parts of prompts.
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


class LimitHeard(NamedTuple):
    """Tells a server's lease holder what an answer said about its limit.

    Attributes:
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the server started, or 0.
      per_s: calls a second that the answer named, or -1 if it named no limit.
      age_ms: milliseconds since the answer, or, without a limit, since the
        call that it answers was sent.
    """

    server_id: str
    born_ms: int
    per_s: float
    age_ms: int


class LimitState(NamedTuple):
    """Notifies all nodes that a server's limit is in force or has ended.

    Attributes:
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the server started, or 0.
      per_s: calls a second from all nodes together, or -1 if it has ended.
      age_ms: milliseconds since an answer named the limit, or since its end.
    """

    server_id: str
    born_ms: int
    per_s: float
    age_ms: int


class LimitsRequest(NamedTuple):
    """Requests the limits that a node knows."""


class GrantRequest(NamedTuple):
    """Asks a server's lease holder for a call under the server's limit.

    Attributes:
      request_id: number of the request, repeated in the reply.
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the server started, or 0.
      rank: rank of the caller's request; 0 is the most urgent.
      max_wait_ms: longest acceptable wait until the call, in milliseconds.
      per_s: the limit as the sender knows it, in calls a second.
      age_ms: milliseconds since the sender heard of it.
    """

    request_id: int
    server_id: str
    born_ms: int
    rank: int
    max_wait_ms: int
    per_s: float
    age_ms: int


class GrantReply(NamedTuple):
    """Reply to a `GrantRequest`.

    Attributes:
      request_id: number of the request.
      server_id: ID of the server.
      born_ms: Unix time in milliseconds at which the server started, or 0.
      granted: whether one call may be sent.
      wait_ms: milliseconds until the call is to be sent; without a grant,
        milliseconds until it is this caller's turn to ask again.
      free_ms: milliseconds until the limit leaves room for a call.
      per_s: the limit in force, or -1 if there is none.
    """

    request_id: int
    server_id: str
    born_ms: int
    granted: bool
    wait_ms: int
    free_ms: int
    per_s: float


class SuspectCleared(NamedTuple):
    """Notifies all nodes that a crash suspect ran without a crash.

    Attributes:
      content: signature of the suspect.
      service: the request's service.
      age_ms: milliseconds since the request completed, or since an answer to a
        prompt with the part began.
    """

    content: bytes
    service: str
    age_ms: int


class SuspectsRequest(NamedTuple):
    """Requests the crash suspects that a node knows."""


class ModelDemand(NamedTuple):
    """Demand for a model at one node.

    Attributes:
      service: name of the service.
      model: name of the model.
      arrived: requests that arrived since the last message.
      waiting: requests that are waiting for the model now.
      in_flight: requests for the model that are in flight to engines now.
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
      wait_limit_ms: lowest time, in milliseconds, after which one of their
        callers disconnects without an answer.
    """

    service: str
    model: str
    arrived: int
    waiting: int
    in_flight: int
    refused: int
    rank: int
    reading_ms: int = 0
    running_ms: int = 0
    adapted_ms: int = 0
    target_ms: int = 0
    gap_ms: int = 0
    wait_limit_ms: int = 0


class Demand(NamedTuple):
    """Demand at one node, sent to the planner."""

    rows: tuple[ModelDemand, ...]


class PlannedModels(NamedTuple):
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
      store_lost: whether the store is unreachable for the watcher.
      age_ms: milliseconds since the store confirmed that `upto` was its latest
        revision; over any number of nodes in between.
    """

    after: int
    upto: int
    rows: tuple[FeedRow, ...]
    steady_ms: int
    store_lost: bool
    age_ms: int = 0


class FeedRequest(NamedTuple):
    """Requests the changes after a revision from a watcher."""

    after: int


class StreamBegan(NamedTuple):
    """Tells a keeper of a stream at which software version it began.

    Attributes:
      stream: id of the caller's attempt that brought the first event.
      service: the stream's service.
      version: software version of the server.
    """

    stream: str
    service: str
    version: str


class StreamQuestion(NamedTuple):
    """Asks a keeper at which software version a stream began.

    Attributes:
      number: number of the question, repeated in the answer.
      stream: id of the caller's attempt that brought the first event.
      service: the stream's service.
    """

    number: int
    stream: str
    service: str


class StreamAnswer(NamedTuple):
    """Answers a `StreamQuestion`.

    Attributes:
      number: number of the question.
      node: name of the node that answers.
      version: the software version, or "" if it is unknown.
    """

    number: int
    node: str
    version: str


class QuotaRequest(NamedTuple):
    """Asks a workspace's quota owner to charge a request to the quota.

    Attributes:
      number: number of the request, repeated in the reply.
      workspace: name of the workspace.
      amount: tokens or requests to charge, by the unit of the quota.
      rate_per_s: rate of the quota in the sender's configuration, in the same
        unit.
      burst: burst of the quota in the sender's configuration.
      version: version of that configuration.
    """

    number: int
    workspace: str
    amount: int
    rate_per_s: float
    burst: float
    version: int


class QuotaReply(NamedTuple):
    """Reply to a `QuotaRequest`.

    Attributes:
      number: number of the request.
      granted: whether the amount was charged.
      retry_after_ms: without a grant, milliseconds until the quota leaves room
        for the amount.
      credit: amount that was charged for further requests of the sender.
    """

    number: int
    granted: bool
    retry_after_ms: int
    credit: int


class QuotaReturn(NamedTuple):
    """Tells a quota owner that a charged request did not run.

    Attributes:
      number: number of the `QuotaRequest`.
      workspace: name of the workspace.
      amount: the amount that was charged.
    """

    number: int
    workspace: str
    amount: int


_MESSAGES: dict[int, type] = {
    1: EngineState,
    2: ReservationRequest,
    3: ReservationReply,
    4: ModelDemand,
    5: Demand,
    6: PlannedModels,
    8: EngineLoad,
    9: FeedRow,
    10: Feed,
    11: FeedRequest,
    12: ToDomain,
    13: ReservationRelease,
    14: ServerCrashed,
    15: SuspectCleared,
    16: SuspectsRequest,
    17: ServerLeaving,
    18: LimitHeard,
    19: LimitState,
    20: LimitsRequest,
    21: GrantRequest,
    22: GrantReply,
    23: StreamBegan,
    24: StreamQuestion,
    25: StreamAnswer,
    26: QuotaRequest,
    27: QuotaReply,
    28: QuotaReturn,
}


def codec() -> wire.Codec:
    """Returns the codec of the relay's datagrams."""
    return wire.Codec(_MESSAGES)
