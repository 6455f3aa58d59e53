"""Which engines can serve which models now, from entries and holders.

An entry in the store is up to a heartbeat old; what an engine's holder tells
is newer, and the holder tells again when it has seen a new entry.  So entries
count before the holder's word only where the holder has long been silent.  An
engine's own "not here" about a model counts before both for a while.
"""

from typing import NamedTuple

from azureline.relay import messages
from azureline.relay import servers


class Coming(NamedTuple):
    """A load that is under way.

    Attributes:
      server_id: the engine.
      at: monotonic time in seconds at which the model can be used.
    """

    server_id: str
    at: float


# An entry that is so much newer than the holder's word shows that the holder
# is silent.
_SILENT_S = 1.5


class _Told(NamedTuple):
    state: messages.EngineState
    at: float


class Residency:
    """What engines hold, as one node knows it."""

    def __init__(self, catalogue: servers.Catalogue):
        """Creates the view over the entries of a catalogue."""
        self._catalogue = catalogue
        self._told: dict[str, _Told] = {}
        self._denied: dict[tuple[str, str], float] = {}
        self._entered: dict[str, float] = {}
        self._loads: dict[str, messages.EngineLoad] = {}

    def entered(self, server_id: str, now: float) -> None:
        """Learns that an engine's entry is new."""
        self._entered[server_id] = now

    def take(self, state: messages.EngineState, now: float) -> bool:
        """Takes what a holder tells of its engine.

        Args:
          state: the state; it may have been told before, or be older than the
            one that is known, as other nodes pass states on.
          now: monotonic time in seconds.

        Returns:
          Whether it is newer than what was known.
        """
        known = self._told.get(state.server_id)
        if known is not None and _order(known.state) >= _order(state):
            return False
        self._told[state.server_id] = _Told(state, now)
        for key in [k for k in self._denied if k[0] == state.server_id]:
            del self._denied[key]
        return True

    def take_load(self, load: messages.EngineLoad) -> None:
        """Takes what a holder tells of its engine's load."""
        self._loads[load.server_id] = load

    def deny(self, server_id: str, model: str, now: float) -> None:
        """Learns from an engine that it does not have a model."""
        self._denied[(server_id, model)] = now + servers.DENIAL_S

    def forget(self, server_id: str) -> None:
        """Drops what is known of an engine that is gone."""
        self._told.pop(server_id, None)
        self._entered.pop(server_id, None)
        self._loads.pop(server_id, None)

    def models(
        self, server: servers.BackendServer
    ) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Returns (model, adapters) that requests may use at an engine."""
        told = self._current(server)
        if told is not None:
            return told.state.models
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

    def coming(self, service: str, model: str) -> Coming | None:
        """Returns the load of a model that ends first, if any is under way."""
        found = []
        for server in self._catalogue.of_service(service):
            told = self._current(server)
            if told is not None and told.state.coming == model:
                at = told.at + told.state.coming_ms / 1000
                found.append(Coming(server.server_id, at))
        return min(found, key=lambda c: c.at, default=None)

    def busy(self, server: servers.BackendServer) -> bool:
        """Returns whether an engine takes no order now."""
        told = self._current(server)
        return told is not None and told.state.busy

    def load_of(self, server: servers.BackendServer) -> int:
        """Returns the requests at an engine when its holder asked last."""
        load = self._loads.get(server.server_id)
        return load.requests if load else 0

    def reading_of(self, server: servers.BackendServer) -> float:
        """Returns the part of its time that an engine reads prompts."""
        load = self._loads.get(server.server_id)
        return load.reading_percent / 100 if load else 0.0

    def _current(self, server: servers.BackendServer) -> _Told | None:
        told = self._told.get(server.server_id)
        if told is None or told.state.born_ms != server.born_ms:
            return None
        entered = self._entered.get(server.server_id, told.at)
        return told if told.at + _SILENT_S >= entered else None


def _order(state: messages.EngineState) -> tuple[int, int, int]:
    """Returns what grows from one state of an engine to the next."""
    return state.born_ms, state.turn, state.serial
