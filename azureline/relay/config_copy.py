"""Keeps a configuration that the platform's store has forgotten.

After the store's return from an older copy, nodes that start would put an older
configuration in force until the operators have written theirs again.  One of
the nodes that have it therefore stores a copy under a key of the system.
"""

from typing import Any

from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import ranked_writer
from azureline.util import events

_WRITE_DELAY_S = 0.05
# The copy stays for a while after the operators' write, for nodes that start.
_REMOVAL_DELAY_S = 2.0


class ConfigCopy:
    """This node's side of the stored copy of the configuration."""

    def __init__(
        self,
        reactor: Any,
        store: store_lib.StoreClient,
        peers: peers_lib.Peers,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a side that knows no configuration.

        Args:
          reactor: the Twisted reactor.
          store: client of the platform's store.
          peers: the other nodes.
          counters: counts writes and removals.
          log: receives a line for each write and removal.
        """
        self._store = store
        self._counters = counters
        self._log = log
        self._version = 0
        self._value = b""
        # Version that the operators' key has in the store.
        self._operators_version = 0
        # Version and revision of the copy in the store; 0 without one.
        self._copied_version = 0
        self._revision = 0
        self._writer = ranked_writer.RankedWriter(
            reactor, peers, keys.CONFIG_COPY, self._write, self._schedule, log
        )

    def close(self) -> None:
        """Stops writing."""
        self._writer.close()

    def store_returned(self) -> None:
        """Forgets the copy's revision, as the store may have forgotten it."""
        self.copy_removed()

    def put_in_force(self, version: int, value: bytes) -> None:
        """Records the configuration in force at this node, as it is stored."""
        self._version, self._value = version, value
        self._schedule()

    def operators_changed(self, version: int) -> None:
        """Records the version under the operators' key."""
        self._operators_version = version
        self._schedule()

    def copy_changed(self, version: int, revision: int) -> None:
        """Records the copy as this or another node wrote it."""
        self._copied_version, self._revision = version, revision
        self._schedule()

    def copy_removed(self) -> None:
        """Records that there is no copy."""
        self._copied_version = self._revision = 0
        self._schedule()

    def _is_forgotten(self) -> bool:
        """Returns whether a node that starts would get an older version."""
        stored = max(self._operators_version, self._copied_version)
        return stored < self._version

    def _is_needless(self) -> bool:
        return 0 < self._copied_version <= self._operators_version

    def _schedule(self, delay_s: float = 0.0) -> None:
        if self._is_forgotten() and self._operators_version:
            self._writer.schedule(delay_s + _WRITE_DELAY_S)
        elif self._is_needless():
            self._writer.schedule(delay_s + _REMOVAL_DELAY_S)

    async def _write(self) -> bool:
        """Writes or removes the copy; returns whether nothing is left to do."""
        version, revision = self._version, self._revision
        expected = {keys.CONFIG_COPY: revision}
        if self._is_forgotten():
            put = store_lib.Put(keys.CONFIG_COPY, self._value)
            result = await self._store.transact(expected, (put,))
            action = "written"
        elif self._is_needless():
            result = await self._store.transact(
                expected, (), (keys.CONFIG_COPY,)
            )
            version, action = 0, "removed"
        else:
            return True
        self._counters.count(f"config.copy_{action}")
        self._log.info(
            "config_copy",
            action=action,
            version=version,
            operators_version=self._operators_version,
            done=bool(result),
        )
        match result:
            case store_lib.Committed(revision=revision):
                self._copied_version = version
                self._revision = revision if version else 0
            case store_lib.Conflict(items=items):
                self._revision = items[0].revision if items else 0
        return bool(result)
