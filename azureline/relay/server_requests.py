"""Requests of this node that may run on each start of a backend server."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.relay import servers
from azureline.util import http1
from azureline.util import probes

# Time after the end of an attempt in which a crash of the server accuses its
# request.
RETENTION_S = 15.0
# Maximum number of abandoned signatures of one server; the oldest are dropped.
_MAX_ABANDONED = 240


class RunningRequest(NamedTuple):
    """A request that waits for a server's answer.

    Attributes:
      began: monotonic time in seconds at which it was sent.
      signatures: returns what a crash of the server accuses.
      on_server_end: called if the server has crashed although the connection
        is open.
    """

    began: float
    signatures: Callable[[], tuple[bytes, ...]]
    on_server_end: Callable[[], None]


class ServerRequests:
    """Requests that may run on one start of a server.

    Attributes:
      server: the last known entry of the server.
      running: requests that wait for an answer.
      abandoned: signatures of requests for whose answer the node no longer
        waits, with the monotonic time in seconds of the end of the attempt.
      broken: signatures of the requests of the current series of broken
        connections, in order.
      broke_at: monotonic time in seconds of the first break of that series, or
        0.
      breaks: number of broken connections of that series.
      evidence: evidence of a crash, or None.
      evidence_at: monotonic time in seconds at which there was evidence.
      probing: whether the server is being probed.
      seen: result of the last probe after a break.
      waiting: fired when the probes are complete.
    """

    def __init__(self, server: servers.BackendServer):
        """Creates an instance without requests."""
        self.server = server
        self.running: dict[object, RunningRequest] = {}
        self.abandoned: dict[bytes, float] = {}
        self.broken: dict[bytes, None] = {}
        self.broke_at = 0.0
        self.breaks = 0
        self.evidence: str | None = None
        self.evidence_at = 0.0
        self.probing = False
        self.seen = probes.ProbeResult.SILENT
        self.waiting: list[defer.Deferred[None]] = []
        self._reported: set[bytes] = set()

    @property
    def is_unfinished(self) -> bool:
        """Whether the server may run a request of this node."""
        return bool(self.running or self.abandoned or self.broken)

    def abandon(self, signatures: Iterable[bytes], now: float) -> None:
        """Adds a request for whose answer the node no longer waits."""
        for signature in signatures:
            self.abandoned.pop(signature, None)
            self.abandoned[signature] = now
        while len(self.abandoned) > _MAX_ABANDONED:
            del self.abandoned[next(iter(self.abandoned))]

    def abandon_broken(self) -> None:
        """Ends a series of broken connections that the server survived."""
        self.abandon(self.broken, self.broke_at)
        self.broken = {}
        self.broke_at = 0.0
        self.breaks = 0

    def take_unreported(self, signatures: Iterable[bytes]) -> tuple[bytes, ...]:
        """Returns the signatures that were not returned before."""
        found = [
            s for s in dict.fromkeys(signatures) if s not in self._reported
        ]
        self._reported.update(found)
        return tuple(found)

    def expire(self, since: float) -> bool:
        """Discards what ended before a time; returns whether all is gone."""
        self.abandoned = {
            signature: at
            for signature, at in self.abandoned.items()
            if at >= since
        }
        if self.broke_at < since and not self.probing:
            self.broken = {}
        recent = max(self.broke_at, self.evidence_at) >= since
        return not (self.is_unfinished or self.probing or recent)


class ServerRequestsIndex:
    """The requests of all servers, by incarnation, server id and address."""

    def __init__(self):
        """Creates an index without requests."""
        self._found: dict[tuple[str, int], ServerRequests] = {}
        self._by_id: dict[str, set[tuple[str, int]]] = {}
        self._by_address: dict[http1.Address, set[tuple[str, int]]] = {}

    def get(self, incarnation: tuple[str, int]) -> ServerRequests | None:
        """Returns the requests of one start of a server, if there are any."""
        return self._found.get(incarnation)

    def of(self, server: servers.BackendServer) -> ServerRequests:
        """Returns the requests of one start of a server."""
        incarnation = server.incarnation
        found = self._found.get(incarnation)
        if found is None:
            found = self._found[incarnation] = ServerRequests(server)
            self._by_id.setdefault(server.server_id, set()).add(incarnation)
            self._by_address.setdefault(server.address, set()).add(incarnation)
        return found

    def earlier_starts(
        self, server: servers.BackendServer
    ) -> Iterator[ServerRequests]:
        """Yields the requests of the earlier starts that a start replaces."""
        same_id = self._by_id.get(server.server_id, set())
        same_address = self._by_address.get(server.address, set())
        for incarnation in sorted(same_id | same_address):
            if incarnation[1] < server.born_ms:
                yield self._found[incarnation]

    def expire(self, now: float) -> None:
        """Discards requests that ended long ago."""
        for incarnation, found in list(self._found.items()):
            if found.expire(now - RETENTION_S):
                del self._found[incarnation]
                _remove(self._by_id, found.server.server_id, incarnation)
                _remove(self._by_address, found.server.address, incarnation)


def _remove(
    index: dict[Any, set[tuple[str, int]]],
    key: Any,
    incarnation: tuple[str, int],
) -> None:
    index[key].discard(incarnation)
    if not index[key]:
        del index[key]
