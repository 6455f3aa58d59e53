"""Routes and services of the operators' configuration, and route matching."""

import enum
import random
from typing import NamedTuple

from azureline.core import errors
from azureline.platform import eras
from azureline.relay import workspaces as workspaces_lib


class Kind(enum.Enum):
    """Kind of a route's requests, which decides what may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class Share(NamedTuple):
    """A service and its weight among the services of one route."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route.

    Attributes:
      name: its name.
      host: host name that a request must address.
      prefix: prefix of the path; ends with a slash.
      kind: kind of its requests.
      shares: the services that serve it, with their weights.
      timeout_s: longest time in seconds that a caller may be kept waiting.
      target_s: target latency in seconds.
      attempts: number of backend servers to which one request may be sent.
      rank: priority of its requests; 0 is the most urgent.
      sticky: whether requests share parts of prompts.
      resumable: whether a stream may resume at another backend server.
      gap_s: longest allowed pause between two events of a stream, in seconds.
      public: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    target_s: float
    attempts: int
    rank: int
    sticky: bool
    resumable: bool
    gap_s: float
    public: bool = False

    @property
    def first_event_s(self) -> float:
        """Seconds after which callers drop a stream without a first event.

        Callers allow two seconds, four targets or eight of the longest
        pauses, whichever is longest (the users' protocol).
        """
        return max(2.0, 4.0 * self.target_s, 8.0 * self.gap_s)

    @property
    def patience_s(self) -> float:
        """Seconds after which callers disconnect if no answer has begun."""
        if self.kind is not Kind.STREAMING:
            return self.timeout_s
        return min(self.timeout_s, self.first_event_s)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or self.resumable


class Model(NamedTuple):
    """A model of a service.

    Attributes:
      name: its name.
      size_mb: memory of its weights in MB.
      adapters: number of its adapters.
      adapter_mb: memory of one adapter in MB.
      store_s: seconds to load it from the weight store.
      disk_s: seconds to load it from an engine's disk.
      memory_s: seconds to load it from an engine's host memory.
    """

    name: str
    size_mb: float
    adapters: int
    adapter_mb: float
    store_s: float
    disk_s: float
    memory_s: float


class EngineSpec(NamedTuple):
    """Properties of the engines of a service.

    Attributes:
      slots: requests that one engine runs at once.
      cache_tokens: tokens that the KV cache of one engine holds.
      memory_mb: memory for weights and adapters together, in MB.
      adapter_places: adapters that one engine holds at once.
      host_mb: host memory for copies of weights, in MB.
      disk_mb: disk space for copies of weights, in MB.
      loads_per_s: rate limit of loads from the weight store, over all engines.
      models: the models by name.
    """

    slots: int
    cache_tokens: int
    memory_mb: float
    adapter_places: int
    host_mb: float
    disk_mb: float
    loads_per_s: float
    models: dict[str, Model]

    @property
    def room_mb(self) -> float:
        """Memory in MB for models beside a full set of the largest adapters."""
        largest = max((m.adapter_mb for m in self.models.values()), default=0.0)
        return self.memory_mb - largest * self.adapter_places


class Service(NamedTuple):
    """A service.

    Attributes:
      name: its name.
      health_path: path that answers 200 while a server is healthy.
      connections: connections that one server accepts from all nodes.
      engine: properties of its engines; None for a plain service.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineSpec | None


class Limits(NamedTuple):
    """Limits on the size and duration of callers' requests.

    Attributes:
      head_bytes: largest head of a request.
      body_bytes: largest body of a request.
      head_s: seconds in which a request's head must arrive.
      idle_s: seconds that a connection may stay idle.
    """

    head_bytes: int = 16384
    body_bytes: int = 4 << 20
    head_s: float = 10.0
    idle_s: float = 60.0


class SiteConfig(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
      version: its number.
      routes: the routes.
      services: the services by name.
      limits: limits on callers' requests.
      workspaces: the workspaces; without any, callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    workspaces: tuple[workspaces_lib.Workspace, ...] = ()


class Admitted(NamedTuple):
    """A request that the configuration allows.

    Attributes:
      route: its route, with the rank of its workspace.
      workspace: its workspace's name, "" on a public route; None if the
        configuration has no workspaces.
    """

    route: Route
    workspace: str | None


class RouteTable:
    """Matches requests to routes; never returns to an older configuration."""

    def __init__(self, rng: random.Random):
        """Creates a table without a configuration.

        Args:
          rng: source of the random choice among a route's services.
        """
        self._rng = rng
        self._config: SiteConfig | None = None
        self._position = 0
        self._by_host: dict[str, list[Route]] = {}
        self._workspaces = workspaces_lib.Workspaces()

    @property
    def config(self) -> SiteConfig | None:
        """The configuration in force, or None before the first."""
        return self._config

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._config.version if self._config else 0

    @property
    def workspaces(self) -> workspaces_lib.Workspaces:
        """The workspaces of the configuration in force."""
        return self._workspaces

    def put_in_force(self, config: SiteConfig, position: int = 0) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        A version that the store has forgotten may be given to another
        configuration in a later era.

        Args:
          config: the configuration.
          position: position of its write in the store; 0 if unknown.

        Returns:
          Whether the configuration in force changed.
        """
        if config.version < self.version:
            return False
        if config.version == self.version and (
            eras.era_of(position) <= eras.era_of(self._position)
            or config == self._config
        ):
            return False
        self._config, self._position = config, position
        self._workspaces = workspaces_lib.Workspaces(config.workspaces)
        self._by_host = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        return True

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def admit(self, route: Route, key: str) -> Admitted | errors.Refusal:
        """Checks a caller's key and returns its workspace, or a refusal.

        Args:
          route: the request's route.
          key: the caller's key, or "".
        """
        if self._config is None or not self._config.workspaces:
            return Admitted(route, None)
        if route.public:
            return Admitted(route, "")
        workspace = self._workspaces.find(key)
        if workspace is None:
            return errors.Refusal(
                errors.ErrorKind.UNAUTHENTICATED, "No workspace has this key."
            )
        if workspace.rank is not None:
            route = route._replace(rank=workspace.rank)
        return Admitted(route, workspace.name)

    def service_of(self, route: Route) -> Service | None:
        """Chooses one of a route's services at random by weight."""
        if self._config is None or not route.shares:
            return None
        if len(route.shares) == 1:
            name = route.shares[0].service
        else:
            weights = [share.weight for share in route.shares]
            (share,) = self._rng.choices(route.shares, weights)
            name = share.service
        return self._config.services.get(name)
