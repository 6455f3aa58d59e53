"""Typed forms of a node's settings and of the fleet's configuration.

`NodeSettings` belongs to one entry VM and is read once, at start.
`Configuration` is the merged form of the base file and a site's overlay; it
is the same on every node and changes while nodes run.  Neither type has
default values: they are in `defaults.json`, and `defaults.complete` adds them
before a document is converted to these types.
"""

from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

from azureline import requests
from azureline.config import bounds


class Platform(NamedTuple):
    """Access to the platform's key-value service and VM list.

    Attributes:
      url: root of its HTTP interface.
      timeout_s: seconds after which a call fails as unanswered.
    """

    url: Annotated[str, bounds.Pattern(r"https?://\S+", "an http URL")]
    timeout_s: bounds.Seconds


class Statsd(NamedTuple):
    """Statsd server that receives the metrics.

    Attributes:
      host: IP address of the statsd server.
      port: its UDP port.
      prefix: prefix of each metric's name.
    """

    host: bounds.Host
    port: bounds.Port
    prefix: str


class Log(NamedTuple):
    """Logging of a node.

    Attributes:
      level: lowest severity that is logged.
    """

    level: Literal["debug", "info", "warning", "error"]


class Timeouts(NamedTuple):
    """A node's timeouts and intervals, in seconds.

    Attributes:
      connect_s: limit for opening a connection to any peer.
      heartbeat_s: interval between heartbeats on a link to another node.
      link_silence_s: time without a received byte after which a link is
        replaced.
      stream_silence_s: time without progress after which a stream is resumed
        on a new connection.
      probe_s: interval between probes of a backend server.
      vm_list_s: interval between reads of the platform's VM list.
      watch_s: longest time that one watch on the platform's service waits.
      request_s: deadline of a request that states none.
      drain_notice_s: time between failing readiness and refusing new requests.
      drain_s: time that requests in progress may take after the node received
        a stop signal.
    """

    connect_s: bounds.Seconds
    heartbeat_s: bounds.Seconds
    link_silence_s: bounds.Seconds
    stream_silence_s: bounds.Seconds
    probe_s: bounds.Seconds
    vm_list_s: bounds.Seconds
    watch_s: bounds.Seconds
    request_s: bounds.Seconds
    drain_notice_s: bounds.Seconds
    drain_s: bounds.Seconds


class Buffers(NamedTuple):
    """Memory limits, in bytes.

    Attributes:
      body_bytes: largest accepted request body.
      stream_bytes: part of an answer that is buffered for a slow caller.
      total_bytes: all request bodies together, and as much again for what is
        held of answers.
    """

    body_bytes: bounds.Bytes
    stream_bytes: bounds.Bytes
    total_bytes: bounds.Bytes


class NodeSettings(NamedTuple):
    """Settings of one node; each entry VM runs one.

    Attributes:
      name: unique name of the VM, as in the platform's VM list.
      host: IP address that callers and other nodes connect to.
      port: TCP port of the callers' and operators' HTTP interface.
      link_port: TCP and UDP port for other nodes.
      domain: failure domain of the VM.
      region: region of the VM.
      platform: access to the platform's services.
      seeds: link addresses of some other nodes, as "IP:PORT".
      statsd: server that receives the metrics.
      log: logging of the node.
      timeouts: timeouts and intervals.
      buffers: memory limits of requests.
    """

    name: bounds.Name
    host: bounds.Host
    port: bounds.Port
    link_port: bounds.Port
    domain: bounds.Name
    region: bounds.Name
    platform: Platform
    seeds: list[bounds.Address]
    statsd: Statsd
    log: Log
    timeouts: Timeouts
    buffers: Buffers


class Model(NamedTuple):
    """A model that must be reachable at all times.

    Attributes:
      memory_bytes: accelerator memory that a replica takes, in bytes.
      version: version of the weights to serve.
      min_replicas: least number of replicas, kept at all times.
      tokens_per_s: tokens that a replica generates at full batch, per second.
      max_running: most requests that a replica generates for concurrently.
    """

    memory_bytes: bounds.PositiveBytes
    version: str
    min_replicas: bounds.Positive
    tokens_per_s: bounds.Rate
    max_running: bounds.Positive


class Adapter(NamedTuple):
    """A low-rank adapter of a model, loaded on demand.

    Attributes:
      model: name of the model that it adapts.
      memory_bytes: accelerator memory that it takes, in bytes.
      version: version to serve.
    """

    model: bounds.EntryName
    memory_bytes: bounds.PositiveBytes
    version: str


class Engine(NamedTuple):
    """A backend server named in the configuration.

    Attributes:
      role: "model", or a specialised model role "prefill" or "decode"; or
        "ledger" for a ledger engine, which holds no models.
      domain: its failure domain.
      region: its region.
      memory_bytes: accelerator memory for models, adapters and KV cache, in
        bytes; 0 for a ledger engine.
      accelerators: number of accelerators.
    """

    role: Literal["model", "prefill", "decode", "ledger"]
    domain: bounds.Name
    region: bounds.Name
    memory_bytes: bounds.Bytes
    accelerators: bounds.Count


class Route(NamedTuple):
    """States whether the calls that match it are idempotent.

    Attributes:
      method: HTTP method, or "*".
      prefix: prefix of the path below the service's root.
      idempotent: whether the call may be repeated.
    """

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"]
    prefix: Annotated[str, bounds.Pattern(r"/\S*", "a path that starts with /")]
    idempotent: bool


class Service(NamedTuple):
    """A ledger or plain service that calls are routed to.

    Attributes:
      role: "ledger" if ledger engines serve it, else "service".
      servers: names of backend servers; "PREFIX*" matches by prefix.
      idempotent: whether a call that no route matches may be repeated.
      routes: exceptions to `idempotent`; the longest matching prefix decides.
    """

    role: Literal["ledger", "service"]
    servers: list[bounds.Servers]
    idempotent: bool
    routes: list[Route]

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a call may be repeated.

        Args:
          method: HTTP method in capitals.
          path: path below the service's root.
        """
        matching = [
            route
            for route in self.routes
            if route.method in ("*", method) and path.startswith(route.prefix)
        ]
        if not matching:
            return self.idempotent
        best = max(matching, key=lambda r: (len(r.prefix), r.method != "*"))
        return best.idempotent

    def is_served_by(self, server: str) -> bool:
        """Returns whether the named backend server serves this service."""
        return any(
            server.startswith(name[:-1])
            if name.endswith("*")
            else server == name
            for name in self.servers
        )


class Caller(NamedTuple):
    """A caller that may send requests.

    Attributes:
      key_sha256: SHA-256 of the caller's API key, in hexadecimal.
      max_priority: most urgent class that the caller may request.
    """

    key_sha256: bounds.Digest
    max_priority: Literal["urgent", "normal", "batch"]

    @property
    def priority(self) -> requests.Priority:
        """The most urgent class that the caller may request."""
        return requests.Priority[self.max_priority.upper()]


class Queue(NamedTuple):
    """Numbers of requests that may wait in a node, by class.

    Attributes:
      urgent: limit for the urgent class.
      normal: limit for the normal class.
      batch: limit for the batch class.
    """

    urgent: bounds.Positive
    normal: bounds.Positive
    batch: bounds.Positive


class Limits(NamedTuple):
    """Limits for all nodes together, unless stated per node.

    Attributes:
      store_loads_per_s: model loads started from the weight store per second.
      store_loads_at_once: concurrent model loads from the weight store.
      adapters_in_transit: concurrent adapter loads.
      cache_reserve_ratio: share of each engine's memory that is reserved for
        the KV cache and adapters, and which models do not take.
      queue: numbers of requests that may wait in one node.
      retry_budget_ratio: retries sent per request received, in one node.
    """

    store_loads_per_s: bounds.Rate
    store_loads_at_once: bounds.Positive
    adapters_in_transit: bounds.Positive
    cache_reserve_ratio: bounds.Ratio
    queue: Queue
    retry_budget_ratio: bounds.Ratio


class Policy(NamedTuple):
    """Weights and targets of the placement policy.

    Attributes:
      attainment_weight: value of a request answered within the targets.
      move_weight: cost of one move, in the unit of `attainment_weight`.
      plan_interval_s: seconds between two rounds of planning.
      min_stay_s: seconds for which a placed replica is not unloaded for a gain
        in attainment alone.
      first_token_target_ms: target time to the first token, in ms.
      token_gap_target_ms: target time between tokens, in ms.
    """

    attainment_weight: bounds.Weight
    move_weight: bounds.Weight
    plan_interval_s: bounds.Seconds
    min_stay_s: bounds.Seconds
    first_token_target_ms: bounds.Rate
    token_gap_target_ms: bounds.Rate


class Configuration(NamedTuple):
    """Configuration of a site: its base file and overlay, merged.

    Attributes:
      site: name of the site.
      models: models by name.
      adapters: adapters by name.
      engines: model engines and ledger engines by VM name.
      services: ledger and plain services by name.
      callers: callers by name.
      limits: limits for all nodes.
      policy: weights and targets of the placement policy.
    """

    site: bounds.Name
    models: dict[bounds.EntryName, Model]
    adapters: dict[bounds.EntryName, Adapter]
    engines: dict[bounds.EntryName, Engine]
    services: dict[bounds.EntryName, Service]
    callers: dict[bounds.EntryName, Caller]
    limits: Limits
    policy: Policy

    @property
    def model_engines(self) -> dict[str, Engine]:
        """The engines that hold models, by name."""
        return {
            name: engine
            for name, engine in self.engines.items()
            if engine.role != "ledger"
        }


NAMED_SECTIONS = ("models", "adapters", "engines", "services", "callers")
Document = dict[str, Any]
