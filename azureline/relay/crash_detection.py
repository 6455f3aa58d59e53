"""Distinguishes crashed backend servers from merely broken connections.

A connection can break for many reasons, and a server can crash long after the
node has stopped waiting for its answer.  A server counts as crashed if its port
refuses connections and none of this node's older requests still runs there, if
a later start of the server appears, if its entry lapses while it cannot be
reached, or if another node reports the crash.  A server that only cannot be
reached may still be running.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import enum
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import server_requests
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from azureline.util import probes

# Delay of the first probe: the connections of a process that ends do not all
# break at the same moment.
_FIRST_PROBE_DELAY_S = 0.02
_PROBE_INTERVAL_S = 0.15
_MAX_PROBES = 3
# Time for which a server is watched after a suspect was abandoned there; it is
# extended while the server cannot be reached, up to the maximum.
_WATCH_S = 2.5
_MAX_WATCH_S = 6.0
_WATCH_INTERVAL_S = 0.3
# Maximum number of signatures in one log line.
_MAX_LOGGED_CONTENTS = 8


class Evidence(enum.Enum):
    """Evidence of a server crash."""

    REFUSED = "refused"  # The port refuses connections.
    RESTARTED = "restarted"  # A later start of the server appeared.
    LAPSED = "lapsed"  # Its entry was removed and it cannot be reached.
    REPORTED = "reported"  # Another node has evidence.


class ServerCrash(NamedTuple):
    """A server crash while requests ran on the server.

    Attributes:
      server: the last known entry of the server.
      at: monotonic time in seconds at which the first connection broke, or at
        which the crash was detected if none did.
      signatures: of the requests without a complete answer.
    """

    server: servers.BackendServer
    at: float
    signatures: tuple[bytes, ...]


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
        self._requests = server_requests.ServerRequestsIndex()

    def request_started(
        self,
        server: servers.BackendServer,
        request: object,
        signatures: Callable[[], tuple[bytes, ...]] = tuple,
        on_server_end: Callable[[], None] = lambda: None,
    ) -> None:
        """Records that a request is sent to a server.

        Args:
          server: the server.
          request: identifies the request until `request_ended`.
          signatures: returns what a crash of the server accuses.
          on_server_end: called if the server has crashed although the
            connection is open.
        """
        self._requests.of(server).running[request] = (
            server_requests.RunningRequest(
                self._clock.now(), signatures, on_server_end
            )
        )

    def request_ended(
        self, server: servers.BackendServer, request: object
    ) -> servers.BackendServer:
        """Records that a request no longer runs on a server.

        Returns:
          The start of the server that ran it: a later one than it was sent to,
          if the server had restarted under its id before its entry showed it.
        """
        running = self._requests.of(server).running.pop(request, None)
        known = self._catalogue.get(server.server_id)
        if running is None or known is None or known.born_ms <= server.born_ms:
            return server
        return (
            server
            if running.began < servers.started_at(known, self._clock)
            else known
        )

    def request_abandoned(
        self, server: servers.BackendServer, *signatures: bytes
    ) -> None:
        """Records that a node stopped waiting for an answer.

        The server may still run the request.

        Args:
          server: the server to which the request was sent.
          *signatures: what a crash of the server accuses.
        """
        if self._catalogue.is_leaving(server):
            return
        found = self._requests.of(server)
        found.abandon(signatures, self._clock.now())
        if found.evidence is not None:
            self._report(found, self._clock.now(), signatures)

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
        found = self._requests.of(server)
        if found.evidence is not None:
            self._report(found, found.broke_at or now, signatures)
            return
        if not found.probing:
            if found.seen is probes.ProbeResult.ACCEPTED:
                # The server survived the earlier breaks, but may still run the
                # requests.
                found.abandon_broken()
            found.broke_at = now
            found.probing = True
            defer.ensureDeferred(self._run_probes(found)).addErrback(
                self._log_probe_failure
            )
        found.broken.update(dict.fromkeys(signatures))
        found.breaks += 1

    def probes_done(
        self, server: servers.BackendServer
    ) -> defer.Deferred[None]:
        """Returns a deferred that fires when a server's probes are complete."""
        found = self._requests.get(server.incarnation)
        if found is None or not found.probing:
            return defer.succeed(None)
        waiter: defer.Deferred[None] = defer.Deferred()
        found.waiting.append(waiter)
        return waiter

    def server_started(self, server: servers.BackendServer) -> None:
        """Records an entry, whose start proves the end of earlier ones."""
        self._check_survived(server)
        started_at = servers.started_at(server, self._clock)
        for found in self._requests.earlier_starts(server):
            older = [
                one for one in found.running.values() if one.began < started_at
            ]
            self._record_crash(found, Evidence.RESTARTED, older)
            for running in older:
                running.on_server_end()

    def _check_survived(self, server: servers.BackendServer) -> None:
        """Drops evidence that an entry which is still renewed disproves."""
        found = self._requests.get(server.incarnation)
        if found is None or found.evidence is None:
            return
        age_s = self._clock.now() - found.evidence_at
        if age_s > servers.ENTRY_TTL_S and server.beat > found.server.beat:
            self._log.warning(
                "server_survived",
                server=server.server_id,
                born_ms=server.born_ms,
                evidence=found.evidence,
                age_s=round(age_s, 3),
            )
            found.evidence = None
            found.server = server

    def server_removed(self, server: servers.BackendServer) -> None:
        """Records that a server's entry was removed; checks why."""
        found = self._requests.get(server.incarnation)
        if found is not None and found.is_unfinished:
            checked = defer.ensureDeferred(self._check_removed(found))
            checked.addErrback(self._log_probe_failure)

    def crash_reported(self, incarnation: tuple[str, int]) -> None:
        """Records that another node has detected a crash."""
        found = self._requests.get(incarnation)
        if found is not None:
            self._record_crash(found, Evidence.REPORTED)

    async def watch(self, server: servers.BackendServer) -> None:
        """Probes a server until a crash is detected or no longer expected."""
        found = self._requests.of(server)
        began = self._clock.now()
        until = began + _WATCH_S
        while found.evidence is None and self._clock.now() < until:
            await self._sleep(_WATCH_INTERVAL_S)
            match await self._probe_server(found):
                case probes.ProbeResult.REFUSED:
                    if not self._older_request_runs(found, began):
                        self._record_crash(found, Evidence.REFUSED)
                case probes.ProbeResult.SILENT:
                    until = min(
                        self._clock.now() + _WATCH_S, began + _MAX_WATCH_S
                    )

    def expire(self) -> None:
        """Discards requests that ended long ago."""
        self._requests.expire(self._clock.now())

    async def _run_probes(self, found: server_requests.ServerRequests) -> None:
        pause_s = _FIRST_PROBE_DELAY_S
        for _ in range(_MAX_PROBES):
            await self._sleep(pause_s)
            found.seen = await self._probe_server(found)
            refused = found.seen is probes.ProbeResult.REFUSED
            if not refused or not self._older_request_runs(
                found, found.broke_at
            ):
                break
            pause_s = _PROBE_INTERVAL_S
        found.probing = False
        if refused and not self._older_request_runs(found, found.broke_at):
            self._record_crash(found, Evidence.REFUSED)
        elif found.evidence is None:
            self._log.info(
                "server_broke",
                server=found.server.server_id,
                born_ms=found.server.born_ms,
                probe=found.seen.value,
                requests=found.breaks,
            )
        waiting, found.waiting = found.waiting, []
        for waiter in waiting:
            waiter.callback(None)

    async def _check_removed(
        self, found: server_requests.ServerRequests
    ) -> None:
        """Distinguishes a crashed server from one that left unannounced."""
        removed_at = self._clock.now()
        seen = await self._probe_server(found)
        if seen is probes.ProbeResult.ACCEPTED:
            return
        refused = seen is probes.ProbeResult.REFUSED
        if not refused or not self._older_request_runs(found, removed_at):
            self._record_crash(found, Evidence.LAPSED)

    async def _probe_server(
        self, found: server_requests.ServerRequests
    ) -> probes.ProbeResult:
        seen = await self._probe(found.server.address)
        self._counters.count(f"servers.probed.{seen.value}")
        return seen

    def _older_request_runs(
        self, found: server_requests.ServerRequests, at: float
    ) -> bool:
        """Returns whether a request that was sent before a time still runs."""
        return any(one.began < at for one in found.running.values())

    def _record_crash(
        self,
        found: server_requests.ServerRequests,
        evidence: Evidence,
        lost: Iterable[server_requests.RunningRequest] = (),
    ) -> None:
        """Reports a crash once.

        Args:
          found: the requests that may have run on the server.
          evidence: how the crash is known.
          lost: the running requests that the crash has ended.
        """
        leaving = self._catalogue.is_leaving(found.server)
        if leaving or found.evidence is not None or not found.is_unfinished:
            return
        now = self._clock.now()
        found.evidence, found.evidence_at = evidence.value, now
        broken, abandoned = tuple(found.broken), tuple(found.abandoned)
        running = tuple(itertools.chain(*(one.signatures() for one in lost)))
        contents = dict.fromkeys((*broken, *abandoned, *running))
        self._counters.count(f"servers.ended.{evidence.value}")
        self._log.warning(
            "server_ended",
            server=found.server.server_id,
            born_ms=found.server.born_ms,
            service=found.server.service,
            evidence=evidence.value,
            age_s=round(now - (found.broke_at or now), 3),
            requests=found.breaks,
            abandoned=len(abandoned),
            running=len(found.running),
            contents=[
                signature.hex()
                for signature in list(contents)[:_MAX_LOGGED_CONTENTS]
            ],
        )
        self._report(found, found.broke_at or now, broken)
        self._report(found, now, (*abandoned, *running))

    def _report(
        self,
        found: server_requests.ServerRequests,
        at: float,
        signatures: tuple[bytes, ...],
    ) -> None:
        unreported = found.take_unreported(signatures)
        if unreported:
            self._on_crash(ServerCrash(found.server, at, unreported))

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)

    def _log_probe_failure(self, failure: Any) -> None:
        self._log.error("probe_failed", reason=failure.getTraceback())
