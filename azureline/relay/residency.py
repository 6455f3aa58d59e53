"""Which engines hold which models, from store entries and lease holders.

An entry in the store is up to one heartbeat old.  The state that an engine's
lease holder publishes is newer, and the lease holder publishes it again after
each new entry.  So an entry overrides a published state only if the lease
holder has been unresponsive for some time.  An engine's own answer that it
lacks a model overrides both for a while.
"""

from typing import NamedTuple

from azureline.relay import messages
from azureline.relay import servers


class ModelLoad(NamedTuple):
    """A model that is being loaded.

    Attributes:
      server_id: the engine.
      ready_at: monotonic time in seconds at which the model can be used.
    """

    server_id: str
    ready_at: float


# An entry that is newer than the published state by more than this shows that
# the lease holder is unresponsive.
_UNRESPONSIVE_S = 1.5


class _Published(NamedTuple):
    state: messages.EngineState
    at: float


class Residency:
    """Cached state of one node: what engines hold and their load."""

    def __init__(self, catalogue: servers.Catalogue):
        """Creates the state without published data.

        Args:
          catalogue: the backend servers with their entries.
        """
        self._catalogue = catalogue
        self._published: dict[str, _Published] = {}
        self._denied: dict[tuple[str, str], float] = {}
        self._entered_at: dict[str, float] = {}
        self._loads: dict[str, messages.EngineLoad] = {}

    def entered(self, server_id: str, now: float) -> None:
        """Records that an engine's entry was received at a monotonic time."""
        self._entered_at[server_id] = now

    def take(self, state: messages.EngineState, now: float) -> bool:
        """Stores a state that a lease holder published for its engine.

        Args:
          state: the state; it can be a duplicate or older than the current one,
            because other nodes forward states.
          now: monotonic time in seconds.

        Returns:
          Whether it is newer than the current one.
        """
        current = self._published.get(state.server_id)
        if current is not None and _order(current.state) >= _order(state):
            return False
        self._published[state.server_id] = _Published(state, now)
        for key in [k for k in self._denied if k[0] == state.server_id]:
            del self._denied[key]
        return True

    def take_load(self, load: messages.EngineLoad) -> None:
        """Stores the load that a lease holder published for its engine."""
        self._loads[load.server_id] = load

    def deny(self, server_id: str, model: str, now: float) -> None:
        """Records an engine's answer that it does not have a model."""
        self._denied[(server_id, model)] = now + servers.DENIAL_S

    def forget(self, server_id: str) -> None:
        """Removes the state of an engine that is gone."""
        self._published.pop(server_id, None)
        self._entered_at.pop(server_id, None)
        self._loads.pop(server_id, None)

    def models(
        self, server: servers.BackendServer
    ) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Returns (model, adapters) that requests may use at an engine."""
        published = self._current(server)
        if published is not None:
            return published.state.models
        return tuple((r.name, r.adapters) for r in server.models)

    def holds(
        self, server: servers.BackendServer, model: str, now: float
    ) -> bool:
        """Returns whether an engine can serve a model."""
        if self._denied.get((server.server_id, model), 0.0) > now:
            return False
        return any(name == model for name, _ in self.models(server))

    def has_adapter(
        self, server: servers.BackendServer, model: str, adapter: str
    ) -> bool:
        """Returns whether an engine can serve an adapter."""
        return any(
            name == model and adapter in adapters
            for name, adapters in self.models(server)
        )

    def holders_of(
        self, service: str, model: str, now: float
    ) -> list[servers.BackendServer]:
        """Returns the engines of a service that can serve a model."""
        return [
            s
            for s in self._catalogue.of_service(service)
            if self.holds(s, model, now)
        ]

    def next_load(self, service: str, model: str) -> ModelLoad | None:
        """Returns the load of a model that ends first, or None without one."""
        loads = []
        for server in self._catalogue.of_service(service):
            published = self._current(server)
            if published is not None and published.state.loading == model:
                ready_at = published.at + published.state.loading_ms / 1000
                loads.append(ModelLoad(server.server_id, ready_at))
        return min(loads, key=lambda c: c.ready_at, default=None)

    def busy(self, server: servers.BackendServer) -> bool:
        """Returns whether an engine accepts no orders now."""
        published = self._current(server)
        return published is not None and published.state.busy

    def load_of(self, server: servers.BackendServer) -> int:
        """Returns the number of requests in the latest published load."""
        load = self._loads.get(server.server_id)
        return load.requests if load else 0

    def reading_of(self, server: servers.BackendServer) -> float:
        """Returns the part of its time that an engine reads prompts, 0 to 1."""
        load = self._loads.get(server.server_id)
        return load.reading_percent / 100 if load else 0.0

    def _current(self, server: servers.BackendServer) -> _Published | None:
        published = self._published.get(server.server_id)
        if published is None or published.state.born_ms != server.born_ms:
            return None
        entered_at = self._entered_at.get(server.server_id, published.at)
        return (
            published if published.at + _UNRESPONSIVE_S >= entered_at else None
        )


def _order(state: messages.EngineState) -> tuple[int, int, int]:
    """Returns a key that grows from one state of an engine to the next."""
    return state.born_ms, state.turn, state.serial
