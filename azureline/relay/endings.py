"""Tells backend servers that ended under requests from broken connections.

A connection may break for many reasons.  A server has ended if its port refuses
connections and none of this node's older requests goes on there, or if another
start of it appears.  One that cannot be reached may go on running.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from azureline.util import probes

# The connections of a process that ends do not break at the same moment.
_FIRST_PROBE_S = 0.02
_NEXT_PROBE_S = 0.15
_MOST_PROBES = 3
# Another start of a server is looked for so long after a connection broke.
_REMEMBERED_S = 15.0
# Contents that are named in a line of the log.
_LOGGED_CONTENTS = 4


class Evidence(enum.Enum):
    """How it is known that a server has ended."""

    REFUSED = "refused"
    RESTARTED = "restarted"


class Ending(NamedTuple):
    """A server that ended while requests ran there.

    Attributes:
      server: the server, as it was known.
      at: monotonic time in seconds at which the first connection broke.
      contents: the requests that were sent and have no whole answer.
    """

    server: servers.BackendServer
    at: float
    contents: tuple[bytes, ...]


class _Breaks:
    """Requests whose connections to one start of a server broke."""

    def __init__(self, server: servers.BackendServer, at: float):
        self.server = server
        self.at = at
        self.contents: dict[bytes, None] = {}
        self.evidence: Evidence | None = None
        self.probing = False
        self.seen = probes.Probe.SILENT
        self.waiting: list[defer.Deferred[None]] = []


class Endings:
    """Looks after the servers whose connections broke."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        probe: Callable[[http1.Address], Awaitable[probes.Probe]],
        told: Callable[[Ending], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a watch that has seen nothing.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          catalogue: tells servers that are leaving, whose end was announced.
          probe: opens a connection to look whether anything listens.
          told: is told of each server that has ended, and again when more of
            its requests turn out to have been there.
          counters: counts verdicts.
          log: takes a line for each verdict.
        """
        self._reactor = reactor
        self._clock = clock
        self._catalogue = catalogue
        self._probe = probe
        self._told = told
        self._counters = counters
        self._log = log
        self._breaks: dict[tuple[str, int], _Breaks] = {}
        # When requests began that are at servers now.
        self._running: dict[tuple[str, int], dict[object, float]] = {}

    def began(self, server: servers.BackendServer, request: object) -> None:
        """Learns that a request is sent to a server."""
        running = self._running.setdefault(server.incarnation, {})
        running[request] = self._clock.now()

    def ended(self, server: servers.BackendServer, request: object) -> None:
        """Learns that a request is no longer at a server."""
        running = self._running.get(server.incarnation, {})
        running.pop(request, None)
        if not running:
            self._running.pop(server.incarnation, None)

    def broke(self, server: servers.BackendServer, content: bytes) -> None:
        """Learns that a connection broke before a request's answer was whole.

        Args:
          server: where it was sent.
          content: digest of the request.
        """
        now = self._clock.now()
        if self._catalogue.is_leaving(server):
            return
        breaks = self._breaks.get(server.incarnation)
        if breaks is None:
            breaks = _Breaks(server, now)
            self._breaks[server.incarnation] = breaks
        if breaks.evidence is not None:
            self._tell(breaks, (content,))
            return
        if not breaks.probing:
            breaks.at = now
            if breaks.seen is probes.Probe.ACCEPTED:
                # It lived on after what broke earlier.
                breaks.contents = {}
            breaks.probing = True
            defer.ensureDeferred(self._look(breaks)).addErrback(self._failed)
        breaks.contents[content] = None

    def settled(self, server: servers.BackendServer) -> defer.Deferred[None]:
        """Fires once it is known whether a server has ended."""
        breaks = self._breaks.get(server.incarnation)
        if breaks is None or not breaks.probing:
            return defer.succeed(None)
        waiter: defer.Deferred[None] = defer.Deferred()
        breaks.waiting.append(waiter)
        return waiter

    def started(self, server: servers.BackendServer) -> None:
        """Learns of a start of a server, which ends the one before it."""
        for breaks in self._breaks.values():
            known = breaks.server
            same = (
                known.server_id == server.server_id
                or known.address == server.address
            )
            if same and server.born_ms > known.born_ms:
                self._conclude(breaks, Evidence.RESTARTED)

    def expire(self) -> None:
        """Forgets what broke long ago."""
        oldest = self._clock.now() - _REMEMBERED_S
        for incarnation, breaks in list(self._breaks.items()):
            if breaks.at < oldest and not breaks.probing:
                del self._breaks[incarnation]

    async def _look(self, breaks: _Breaks) -> None:
        pause_s = _FIRST_PROBE_S
        for _ in range(_MOST_PROBES):
            await task.deferLater(self._reactor, pause_s, lambda: None)
            breaks.seen = await self._probe(breaks.server.address)
            self._counters.count(f"servers.probed.{breaks.seen.value}")
            refused = breaks.seen is probes.Probe.REFUSED
            if not refused or not self._goes_on(breaks):
                break
            pause_s = _NEXT_PROBE_S
        breaks.probing = False
        if refused and not self._goes_on(breaks):
            self._conclude(breaks, Evidence.REFUSED)
        elif breaks.evidence is None:
            self._log.info(
                "server_broke",
                server=breaks.server.server_id,
                born_ms=breaks.server.born_ms,
                probe=breaks.seen.value,
                requests=len(breaks.contents),
            )
        waiting, breaks.waiting = breaks.waiting, []
        for waiter in waiting:
            waiter.callback(None)

    def _goes_on(self, breaks: _Breaks) -> bool:
        """Returns whether a request that is older than the breaks runs on."""
        running = self._running.get(breaks.server.incarnation, {})
        return any(began < breaks.at for began in running.values())

    def _conclude(self, breaks: _Breaks, evidence: Evidence) -> None:
        leaving = self._catalogue.is_leaving(breaks.server)
        if leaving or breaks.evidence is not None:
            return
        breaks.evidence = evidence
        self._counters.count(f"servers.ended.{evidence.value}")
        self._log.warning(
            "server_ended",
            server=breaks.server.server_id,
            born_ms=breaks.server.born_ms,
            service=breaks.server.service,
            evidence=evidence.value,
            age_s=round(self._clock.now() - breaks.at, 3),
            requests=len(breaks.contents),
            contents=[
                content.hex()
                for content in list(breaks.contents)[:_LOGGED_CONTENTS]
            ],
        )
        self._tell(breaks, tuple(breaks.contents))

    def _tell(self, breaks: _Breaks, contents: tuple[bytes, ...]) -> None:
        self._told(Ending(breaks.server, breaks.at, contents))

    def _failed(self, failure: Any) -> None:
        self._log.error("probe_failed", reason=failure.getTraceback())
