"""Distinguishes crashed backend servers from merely broken connections.

A connection can break for many reasons.  A server counts as crashed if its port
refuses connections and none of this node's older requests still runs there, or
if a later start of the server appears.  A server that cannot be reached may
still be running.
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

# Delay of the first probe: the connections of a process that ends do not all
# break at the same moment.
_FIRST_PROBE_DELAY_S = 0.02
_PROBE_INTERVAL_S = 0.15
_MAX_PROBES = 3
# Time after a broken connection in which a later start of the server proves a
# crash.
_RETENTION_S = 15.0
# Maximum number of signatures in one log line.
_MAX_LOGGED_CONTENTS = 8


class Evidence(enum.Enum):
    """Evidence of a server crash."""

    REFUSED = "refused"  # The port refuses connections.
    RESTARTED = "restarted"  # A later start of the server appeared.


class ServerCrash(NamedTuple):
    """A server crash while requests ran on the server.

    Attributes:
      server: the last known entry of the server.
      at: monotonic time in seconds at which the first connection broke.
      signatures: of the requests without a complete answer.
    """

    server: servers.BackendServer
    at: float
    signatures: tuple[bytes, ...]


class _BrokenConnections:
    """Requests whose connections to one start of a server broke.

    Attributes:
      server: the server.
      at: monotonic time in seconds of the first break of the current series.
      signatures: of the requests, in order.
      requests: number of the requests.
      evidence: evidence of a crash, or None.
      probing: whether the server is being probed.
      seen: result of the last probe.
      waiting: fired when the probes are complete.
    """

    def __init__(self, server: servers.BackendServer, at: float):
        self.server = server
        self.at = at
        self.signatures: dict[bytes, None] = {}
        self.requests = 0
        self.evidence: Evidence | None = None
        self.probing = False
        self.seen = probes.ProbeResult.SILENT
        self.waiting: list[defer.Deferred[None]] = []


class CrashDetector:
    """Detects crashes of servers whose connections broke."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        probe: Callable[[http1.Address], Awaitable[probes.ProbeResult]],
        on_crash: Callable[[ServerCrash], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a detector without broken connections.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          catalogue: knows the servers that are leaving; their end was
            announced and is no crash.
          probe: opens a connection to check whether anything listens.
          on_crash: called for each crash, and again for each further request
            that turns out to have been running on the server.
          counters: counts probes and crashes.
          log: receives a line for each verdict.
        """
        self._reactor = reactor
        self._clock = clock
        self._catalogue = catalogue
        self._probe = probe
        self._on_crash = on_crash
        self._counters = counters
        self._log = log
        self._broken: dict[tuple[str, int], _BrokenConnections] = {}
        # Start times of the requests in flight, by server.
        self._in_flight: dict[tuple[str, int], dict[object, float]] = {}

    def request_started(
        self, server: servers.BackendServer, request: object
    ) -> None:
        """Records that a request is sent to a server."""
        in_flight = self._in_flight.setdefault(server.incarnation, {})
        in_flight[request] = self._clock.now()

    def request_ended(
        self, server: servers.BackendServer, request: object
    ) -> None:
        """Records that a request no longer runs on a server."""
        in_flight = self._in_flight.get(server.incarnation, {})
        in_flight.pop(request, None)
        if not in_flight:
            self._in_flight.pop(server.incarnation, None)

    def connection_broke(
        self, server: servers.BackendServer, *signatures: bytes
    ) -> None:
        """Records that a connection broke before the answer was complete.

        Args:
          server: the server to which the request was sent.
          *signatures: what a crash of the server accuses: the content of the
            request, and the parts of its prompt if its answer had not begun.
        """
        now = self._clock.now()
        if self._catalogue.is_leaving(server):
            return
        breaks = self._broken.get(server.incarnation)
        if breaks is None:
            breaks = _BrokenConnections(server, now)
            self._broken[server.incarnation] = breaks
        if breaks.evidence is not None:
            self._report(breaks, signatures)
            return
        if not breaks.probing:
            breaks.at = now
            if breaks.seen is probes.ProbeResult.ACCEPTED:
                # The server survived the earlier breaks.
                breaks.signatures = {}
                breaks.requests = 0
            breaks.probing = True
            defer.ensureDeferred(self._run_probes(breaks)).addErrback(
                self._log_probe_failure
            )
        breaks.signatures.update(dict.fromkeys(signatures))
        breaks.requests += 1

    def probes_done(
        self, server: servers.BackendServer
    ) -> defer.Deferred[None]:
        """Returns a deferred that fires when a server's probes are complete."""
        breaks = self._broken.get(server.incarnation)
        if breaks is None or not breaks.probing:
            return defer.succeed(None)
        waiter: defer.Deferred[None] = defer.Deferred()
        breaks.waiting.append(waiter)
        return waiter

    def server_started(self, server: servers.BackendServer) -> None:
        """Records a start of a server, which proves the end of earlier ones."""
        for breaks in self._broken.values():
            known = breaks.server
            is_same = (
                known.server_id == server.server_id
                or known.address == server.address
            )
            if is_same and server.born_ms > known.born_ms:
                self._record_crash(breaks, Evidence.RESTARTED)

    def expire(self) -> None:
        """Discards connections that broke long ago."""
        keep_since = self._clock.now() - _RETENTION_S
        for incarnation, breaks in list(self._broken.items()):
            if breaks.at < keep_since and not breaks.probing:
                del self._broken[incarnation]

    async def _run_probes(self, breaks: _BrokenConnections) -> None:
        pause_s = _FIRST_PROBE_DELAY_S
        for _ in range(_MAX_PROBES):
            await task.deferLater(self._reactor, pause_s, lambda: None)
            breaks.seen = await self._probe(breaks.server.address)
            self._counters.count(f"servers.probed.{breaks.seen.value}")
            refused = breaks.seen is probes.ProbeResult.REFUSED
            if not refused or not self._older_request_runs(breaks):
                break
            pause_s = _PROBE_INTERVAL_S
        breaks.probing = False
        if refused and not self._older_request_runs(breaks):
            self._record_crash(breaks, Evidence.REFUSED)
        elif breaks.evidence is None:
            self._log.info(
                "server_broke",
                server=breaks.server.server_id,
                born_ms=breaks.server.born_ms,
                probe=breaks.seen.value,
                requests=breaks.requests,
            )
        waiting, breaks.waiting = breaks.waiting, []
        for waiter in waiting:
            waiter.callback(None)

    def _older_request_runs(self, breaks: _BrokenConnections) -> bool:
        """Returns whether a request older than the breaks still runs."""
        in_flight = self._in_flight.get(breaks.server.incarnation, {})
        return any(began < breaks.at for began in in_flight.values())

    def _record_crash(
        self, breaks: _BrokenConnections, evidence: Evidence
    ) -> None:
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
            requests=breaks.requests,
            contents=[
                signature.hex()
                for signature in list(breaks.signatures)[:_MAX_LOGGED_CONTENTS]
            ],
        )
        self._report(breaks, tuple(breaks.signatures))

    def _report(
        self, breaks: _BrokenConnections, signatures: tuple[bytes, ...]
    ) -> None:
        self._on_crash(ServerCrash(breaks.server, breaks.at, signatures))

    def _log_probe_failure(self, failure: Any) -> None:
        self._log.error("probe_failed", reason=failure.getTraceback())
