"""Software versions of the servers of each service, also of those just gone.

A stream can go on only at the software version that began it.  While all
streams of a service that can still be open began at one version, this version
is known for every stream.  A record in the platform's store outlives the nodes:
a node that starts takes every version in it for one that may have begun
streams, until it has not seen the version for the lifetime of a stream.
"""

from collections.abc import Iterable
from typing import Any

import msgpack

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import ranked_writer
from azureline.relay import servers
from azureline.util import events

# Time for which a stream can be taken up: longer than a caller's patience over
# all of its tries.
STREAM_LIFETIME_S = 60.0
# Bounds of the record.
_MAX_SERVICES = 1000
_MAX_VERSIONS = 32
_WRITE_DELAY_S = 0.05


class ServiceVersions:
    """The versions that may have begun a stream, by service."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        store: store_lib.StoreClient,
        peers: peers_lib.Peers,
        catalogue: servers.Catalogue,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates an instance that knows no version.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          store: client of the platform's store.
          peers: the other nodes.
          catalogue: the backend servers.
          counters: counts writes of the record.
          log: receives a line for each write and each new version.
        """
        self._clock = clock
        self._store = store
        self._catalogue = catalogue
        self._counters = counters
        self._log = log
        self._started_at = clock.now()
        self._seen_at: dict[str, dict[str, float]] = {}
        self._recorded: dict[str, frozenset[str]] = {}
        self._revision = 0
        self._writer = ranked_writer.RankedWriter(
            reactor,
            peers,
            keys.SOFTWARE_VERSIONS,
            self._write,
            self._schedule,
            log,
        )

    def close(self) -> None:
        """Stops writing."""
        self._writer.close()

    def possible(self, service: str) -> frozenset[str] | None:
        """Returns the versions that may have begun a stream of a service.

        Returns None if this process does not know yet.
        """
        now = self._clock.now()
        is_known = (
            service in self._recorded
            or now >= self._started_at + STREAM_LIFETIME_S
        )
        return self._current(service, now) if is_known else None

    def server_seen(self, server: servers.BackendServer) -> None:
        """Records the version in a server's entry."""
        seen_at = self._seen_at.setdefault(server.service, {})
        is_new = server.software_version not in seen_at
        seen_at[server.software_version] = self._clock.now()
        if is_new:
            self._log.info(
                "software_version",
                service=server.service,
                version=server.software_version,
                versions=sorted(seen_at),
            )
            self._schedule()

    def changed(self, item: store_lib.Item) -> None:
        """Applies the record as this or another node wrote it."""
        recorded = _decode(item.value)
        if recorded is None:
            self._counters.count("software_versions.unreadable")
            self._log.error(
                "software_versions_unreadable", revision=item.revision
            )
            recorded = {}
        self._revision, self._recorded = item.revision, recorded
        now = self._clock.now()
        for service, versions in recorded.items():
            seen_at = self._seen_at.setdefault(service, {})
            for version in versions:
                seen_at.setdefault(version, now)
        self._schedule()

    def removed(self) -> None:
        """Applies the removal of the record."""
        self._revision, self._recorded = 0, {}
        self._schedule()

    def expire(self) -> None:
        """Forgets versions that no stream can have begun at any more."""
        for server in self._catalogue:
            self.server_seen(server)
        self._schedule()

    def _current(self, service: str, now: float) -> frozenset[str]:
        return frozenset(
            version
            for version, at in self._seen_at.get(service, {}).items()
            if now < at + STREAM_LIFETIME_S
        )

    def _wanted(self) -> dict[str, frozenset[str]]:
        now = self._clock.now()
        current = {s: self._current(s, now) for s in sorted(self._seen_at)}
        return {s: versions for s, versions in current.items() if versions}

    def _schedule(self, delay_s: float = 0.0) -> None:
        if self._wanted() != self._recorded:
            self._writer.schedule(delay_s + _WRITE_DELAY_S)

    async def _write(self) -> bool:
        wanted = self._wanted()
        if wanted == self._recorded:
            return True
        result = await self._store.transact(
            {keys.SOFTWARE_VERSIONS: self._revision},
            (store_lib.Put(keys.SOFTWARE_VERSIONS, _encode(wanted)),),
        )
        self._counters.count("software_versions.writes")
        match result:
            case store_lib.Committed(revision=revision):
                self._revision, self._recorded = revision, wanted
            case store_lib.Conflict(items=items):
                self._revision = 0
                for item in items:
                    self.changed(item)
        return bool(result)


def _encode(versions: dict[str, Iterable[str]]) -> bytes:
    return msgpack.packb(
        [[service, sorted(found)] for service, found in versions.items()]
    )


def _decode(value: bytes) -> dict[str, frozenset[str]] | None:
    try:
        rows = msgpack.unpackb(value)
        return {
            str(service): frozenset(map(str, versions[:_MAX_VERSIONS]))
            for service, versions in rows[:_MAX_SERVICES]
        }
    except (ValueError, TypeError, msgpack.exceptions.UnpackException):
        return None
