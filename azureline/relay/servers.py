"""Catalogue of the backend servers, from their entries in the store."""

from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.util import http1

# Entries that expired while the store was unavailable are renewed within this
# time of its return, as the platform guarantees.
RENEWAL_S = 2.0
# An entry lapses after this time without a write by its server.
ENTRY_TTL_S = 4.0
# Time for which a removed server is remembered: longer than the age of a copy
# from which the store can return.
_REMOVED_TTL_S = 120.0
# For this time a server's answer that it lacks a model overrides older reports.
DENIAL_S = 2.0


class Resident(NamedTuple):
    """A model that an engine holds, with its loaded adapters.

    Attributes:
      name: the model.
      version: version of its weights.
      adapters: names of the adapters.
    """

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class BackendServer(NamedTuple):
    """Entry of a backend server in the store.

    Attributes:
      server_id: its identity, which usually changes with a restart.
      service: its service.
      address: where it accepts requests.
      domain: its failure domain.
      slots: requests that it runs at once.
      leaving: whether it must get no new requests.
      born_ms: Unix time of its start in ms, or 0 if unknown.
      beat: sequence number of this entry since its start.
      software_version: version of its software, of which there is no order.
      models: the models that it holds.
      in_memory: models of which its host memory has copies.
      on_disk: models of which its disk has copies.
    """

    server_id: str
    service: str
    address: http1.Address
    domain: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    beat: int = 0
    models: tuple[Resident, ...] = ()
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    software_version: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of one start of the server."""
        return (self.server_id, self.born_ms)

    def holds(self, model: str) -> bool:
        """Returns whether the entry lists a model."""
        return any(r.name == model for r in self.models)


def started_at(server: BackendServer, clock: clocks.Clock) -> float:
    """Returns the monotonic time in seconds at which a server started."""
    return clock.now() - (clock.wall() - server.born_ms / 1000)


class _Removed(NamedTuple):
    """The last entry of a server that was removed, and when."""

    server: BackendServer
    at: float


class _Doubtful(NamedTuple):
    """An entry that may be an older copy, and when it counts after all.

    Attributes:
      server: the entry.
      accepted_at: monotonic time in seconds; None until it is determined.
    """

    server: BackendServer
    accepted_at: float | None = None


class Catalogue:
    """The backend servers by id.

    After the store's return from an older copy, entries may be older than those
    seen before, or of servers that are gone.
    """

    def __init__(self):
        self._servers: dict[str, BackendServer] = {}
        self._remove_at: dict[str, float] = {}
        self._leaving: set[tuple[str, int]] = set()
        self._removed: dict[str, _Removed] = {}
        # Servers removed before the store's last return.
        self._forgotten: dict[str, BackendServer] = {}
        self._doubtful: dict[str, _Doubtful] = {}
        self._store_available_since = -RENEWAL_S
        self._store_unavailable = True

    def __iter__(self):
        return iter(self._servers.values())

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, server_id: str) -> BackendServer | None:
        """Returns a server, or None if it is unknown."""
        return self._servers.get(server_id)

    def start_of(self, server_id: str) -> int | None:
        """Returns a server's start in Unix ms, or None without an entry."""
        server = self.get(server_id)
        return None if server is None else server.born_ms

    def of_service(self, service: str) -> list[BackendServer]:
        """Returns a service's servers that may get new requests."""
        return [
            s
            for s in self._servers.values()
            if s.service == service and not self.is_leaving(s)
        ]

    def is_leaving(self, server: BackendServer) -> bool:
        """Returns whether a server must get no new requests."""
        return server.leaving or server.incarnation in self._leaving

    def set_leaving(self, incarnation: tuple[str, int]) -> bool:
        """Records that an incarnation leaves; returns False if it was known."""
        was_leaving = incarnation in self._leaving
        self._leaving.add(incarnation)
        return not was_leaving

    def store_away(self) -> None:
        """Records that the store does not answer."""
        self._store_unavailable = True

    def store_back(self, since: float) -> None:
        """Records that the store answers, and since which monotonic time."""
        self._store_unavailable = False
        self._store_available_since = max(self._store_available_since, since)

    def store_returned(self) -> None:
        """Records that the store has come back from an older copy."""
        self._forgotten = {
            server_id: removed.server
            for server_id, removed in self._removed.items()
        }

    def update(self, server: BackendServer) -> bool:
        """Adds or replaces a server, unless the entry is older than known.

        The entry of a server that was removed before the store's return counts
        once it has changed, or has outlived a server that does not renew it.

        Returns:
          Whether the entry was taken.
        """
        server_id = server.server_id
        current = self._servers.get(server_id)
        if current is not None and _is_older(server, current):
            return False
        gone = self._forgotten.get(server_id)
        if (
            gone is not None
            and current is None
            and (_is_older(server, gone) or _is_same(server, gone))
        ):
            self._doubtful.setdefault(server_id, _Doubtful(server))
            return False
        self._add(server)
        return True

    def _add(self, server: BackendServer) -> None:
        server_id = server.server_id
        self._remove_at.pop(server_id, None)
        self._doubtful.pop(server_id, None)
        self._removed.pop(server_id, None)
        self._forgotten.pop(server_id, None)
        if server.leaving:
            self._leaving.add(server.incarnation)
        self._servers[server_id] = server

    def accept_doubtful(self, now: float) -> list[BackendServer]:
        """Adds servers whose doubtful entries were kept alive; returns them."""
        accepted = []
        for server_id, doubtful in list(self._doubtful.items()):
            if doubtful.accepted_at is None:
                self._doubtful[server_id] = doubtful._replace(
                    accepted_at=now + ENTRY_TTL_S
                )
            elif doubtful.accepted_at <= now:
                self._add(doubtful.server)
                accepted.append(doubtful.server)
        return accepted

    def remove(self, server_id: str, now: float) -> BackendServer | None:
        """Handles the removal of a server's entry from the store.

        While the store is unavailable an entry can expire although its server
        runs, so the server stays until the entry should have been renewed.

        Returns:
          The server, if it is removed at once.
        """
        self._doubtful.pop(server_id, None)
        if now < self._store_available_since + RENEWAL_S:
            if server_id in self._servers:
                self._remove_at.setdefault(
                    server_id, self._store_available_since + RENEWAL_S
                )
            return None
        return self._pop(server_id, now)

    def _pop(self, server_id: str, now: float) -> BackendServer | None:
        server = self._servers.pop(server_id, None)
        if server is not None:
            self._removed[server_id] = _Removed(server, now)
        return server

    def expire(self, now: float) -> list[BackendServer]:
        """Removes servers whose entry was not renewed in time; returns them."""
        if self._store_unavailable:
            return []
        expired = [
            s for s, remove_at in self._remove_at.items() if remove_at <= now
        ]
        removed = []
        for server_id in expired:
            del self._remove_at[server_id]
            server = self._pop(server_id, now)
            if server is not None:
                removed.append(server)
        self._removed = {
            server_id: gone
            for server_id, gone in self._removed.items()
            if now < gone.at + _REMOVED_TTL_S
        }
        return removed


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    """Returns whether an entry was written before a known one."""
    if not known.born_ms or entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.beat < known.beat


def _is_same(entry: BackendServer, known: BackendServer) -> bool:
    return (
        bool(known.born_ms)
        and entry.incarnation == known.incarnation
        and entry.beat == known.beat
    )
