"""Shared knowledge of requests that are suspected of crashing servers.

`routing/suspects.py` makes the decisions.  This module passes on the crashes
that this and other nodes have seen, and delays suspects until they may be sent.
Nodes report crashes to each other immediately, and also query each other
periodically, so that a node that was restarted, frozen or partitioned receives
the reports that it missed.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import assignment as assignments
from azureline.relay import crash_detection
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import request_identity
from azureline.relay import requests
from azureline.relay import wait_policy
from azureline.routing import suspects as suspects_lib
from azureline.util import events

# Most server crashes have other causes than a request, and the affected
# requests are urgent, so a single crash delays nothing (tolerated_crashes).
_SETTINGS = suspects_lib.Settings(
    settle_s=0.5,
    quarantine_s=2.0,
    refusal_crashes=3,
    certain_refusal_crashes=4,
    tolerated_crashes=1,
    hold_new_contents=False,
)
# A process that has just started knows no suspects, so it queries some nodes
# immediately.
_INITIAL_QUERIES = 3
_INITIAL_QUERY_S = 0.1
# Interval of queries. It is shorter than the time within which a node is
# required to know what other nodes know.
_QUERY_INTERVAL_S = 2.0
# Every so many queries, the node is chosen from all failure domains instead of
# this one.
_QUERIES_PER_FAR_QUERY = 4
_EXPIRE_INTERVAL_S = 10.0
# Interval at which a copy of a suspect checks whether the first copy has ended.
_COPY_POLL_S = 0.1
# Maximum age of a crash that still marks the server as crashed; after a longer
# time the server may be running again.
_MAX_CRASH_AGE_MS = 1000
_MAX_MESSAGE_CONTENTS = 60
_MAX_REPLY_MESSAGES = 20


class SuspectCall(NamedTuple):
    """A request as passed to `SuspectTable.check`; see `suspects.Call`."""

    content: bytes
    model: str


class SendPermit(NamedTuple):
    """Permission to send a request.

    Attributes:
      content: digest of the request if it is a suspect, or b"".
      server_id: the only server to which it may be sent, or "" for any.
    """

    content: bytes = b""
    server_id: str = ""


class CrashSuspects:
    """Crash suspects known to this node, and their exchange with others."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        peers: peers_lib.Peers,
        record_server_crash: Callable[[tuple[str, int]], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates an instance without suspects.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: chooses the node to query.
          peers: the other nodes.
          record_server_crash: called with the id and start of a crashed server.
          counters: counts suspects.
          log: receives a line for each decision.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._record_server_crash = record_server_crash
        self._counters = counters
        self._log = log
        self._suspects = suspects_lib.SuspectTable(_SETTINGS)
        self._outlines: set[bytes] = set()
        # Suspects that this node is running on their only permitted server.
        self._running_suspects: set[bytes] = set()
        self._queries = 0
        self._expired_at = clock.now()
        self._timer: Any = None
        peers.on(messages.ServerCrashed, self._on_crash_report)
        peers.on(messages.SuspectCleared, self._on_served_report)
        peers.on(messages.SuspectsRequest, self._on_query)

    def start(self) -> None:
        """Starts to query other nodes."""
        self._timer = self._reactor.callLater(
            _INITIAL_QUERY_S, self._query_and_expire
        )

    def close(self) -> None:
        """Stops querying other nodes."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    async def acquire_permit(
        self,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], assignments.UsableServers],
        deadline: float,
    ) -> SendPermit | errors.Refusal:
        """Waits until a request may be sent, if it is a suspect.

        Args:
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          deadline: monotonic time in seconds at which its caller leaves.

        Returns:
          The permission to send it, or a refusal.
        """
        while True:
            content = self._suspect_content(request)
            verdict = self._check(content, service, usable)
            match verdict:
                case suspects_lib.Allowed():
                    return SendPermit(content)
                case suspects_lib.Quarantine(server=server_id):
                    self._log_decision(
                        "suspect_apart", request, content, server_id
                    )
                    return SendPermit(content, server_id)
                case errors.Refusal():
                    self._log_decision("suspect_refused", request, content, "")
                    return verdict
                case suspects_lib.Wait(until=until) if until < deadline:
                    self._counters.count("suspects.held")
                    self._log_decision("suspect_held", request, content, "")
                    await self._sleep(until - self._clock.now())
                case suspects_lib.Wait(until=until):
                    return self._late_refusal(until, deadline)

    def permits(
        self,
        permit: SendPermit,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], assignments.UsableServers],
        server_id: str,
    ) -> bool:
        """Returns whether a request may still be sent to a server.

        Reports received while it waited for its assignment are considered.

        Args:
          permit: the permit from before its assignment.
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          server_id: the server that it is assigned to.
        """
        content = permit.content or self._suspect_content(request)
        match self._check(content, service, usable):
            case suspects_lib.Allowed():
                return True
            case suspects_lib.Quarantine(server=only):
                return only == server_id
        return False

    def send_started(self, permit: SendPermit) -> None:
        """Records that a request is being sent."""
        if permit.server_id:
            self._running_suspects.add(permit.content)

    def send_ended(self, permit: SendPermit) -> None:
        """Records that a request no longer runs on its server."""
        if permit.server_id:
            self._running_suspects.discard(permit.content)

    def request_completed(
        self, request: requests.CallerRequest, service: str
    ) -> None:
        """Records that a server completed a request, and reports it."""
        content = self._suspect_content(request)
        crashes = self._suspects.crash_count(content)
        if not crashes:
            return
        served = messages.SuspectCleared(content, service, 0)
        self._record_served(served)
        if crashes > _SETTINGS.tolerated_crashes:
            self._counters.count("suspects.cleared")
            self._log.info(
                "suspect_served",
                request=request.request_id,
                content=content.hex(),
                crashes=crashes,
            )
            self._peers.broadcast(served)

    def server_crashed(self, crash: crash_detection.ServerCrash) -> None:
        """Reports a crash of a server that was running this node's requests."""
        server = crash.server
        age_ms = int((self._clock.now() - crash.at) * 1000)
        for start in range(0, len(crash.contents), _MAX_MESSAGE_CONTENTS):
            part = crash.contents[start : start + _MAX_MESSAGE_CONTENTS]
            self._peers.broadcast(
                messages.ServerCrashed(
                    server.server_id,
                    server.born_ms,
                    server.service,
                    age_ms,
                    part,
                )
            )

    def _suspect_content(self, request: requests.CallerRequest) -> bytes:
        """Returns the digest of a possible suspect, or b"" for other requests.

        The outline is compared first, so that most requests need no digest of
        their body.
        """
        if not self._outlines:
            return b""
        if request_identity.outline_digest(request) not in self._outlines:
            return b""
        return request_identity.content_digest(request)

    def _check(
        self,
        content: bytes,
        service: str,
        usable: Callable[[], assignments.UsableServers],
    ) -> Any:
        if not content:
            return suspects_lib.Allowed()
        now, found = self._clock.now(), usable()
        # A suspect does not run if at most half of the service's servers are
        # left.
        too_few_servers = found.running * 2 <= found.total
        ids = () if too_few_servers else found.ids
        verdict = self._suspects.check(
            now, SuspectCall(content, service), ids, ids
        )
        match verdict:
            case errors.Refusal(detail=detail, retry_after=retry_after):
                return errors.Refusal(
                    errors.ErrorKind.ENDED_SERVERS,
                    f"{detail}.",
                    retry_after=retry_after,
                )
            case suspects_lib.Wait() if not found.ids:
                # It waits for a server like any request that is no suspect.
                return suspects_lib.Allowed()
            case suspects_lib.Quarantine() if content in self._running_suspects:
                return suspects_lib.Wait(now + _COPY_POLL_S)
        return verdict

    def _late_refusal(self, until: float, deadline: float) -> errors.Refusal:
        now = self._clock.now()
        return errors.Refusal(
            errors.ErrorKind.DID_NOT_RUN,
            "Servers ended under this request; its turn comes too late.",
            retry_after=wait_policy.return_after(now, deadline, until - now),
            ran=errors.Ran.NO,
        )

    def _query_and_expire(self) -> None:
        self._query()
        is_initial = self._queries < _INITIAL_QUERIES
        self._timer = self._reactor.callLater(
            _INITIAL_QUERY_S if is_initial else _QUERY_INTERVAL_S,
            self._query_and_expire,
        )
        now = self._clock.now()
        if now - self._expired_at >= _EXPIRE_INTERVAL_S:
            self._expired_at = now
            self._suspects.expire(now)
            self._outlines = {
                request_identity.outline_of(suspect.content)
                for suspect in self._suspects.entries()
            }

    def _query(self) -> None:
        others = [
            record
            for record in self._peers.nodes.values()
            if not self._peers.is_self(record)
        ]
        same_domain = [r for r in others if r.domain == self._peers.domain]
        candidates = (
            others
            if self._queries % _QUERIES_PER_FAR_QUERY == 0
            else same_domain or others
        )
        if candidates:
            self._queries += 1
            self._peers.send(
                self._rng.choice(candidates), messages.SuspectsRequest()
            )

    def _on_query(
        self, request: messages.SuspectsRequest, host: str, port: int
    ) -> None:
        """Replies with the suspects that are isolated or refused."""
        now = self._clock.now()
        by_crash: dict[tuple[suspects_lib.Crash, str], list[bytes]] = {}
        for suspect in self._suspects.entries():
            if (
                self._suspects.crash_count(suspect.content)
                <= _SETTINGS.tolerated_crashes
            ):
                continue
            for crash in suspect.crashes:
                key = (crash, suspect.model)
                by_crash.setdefault(key, []).append(suspect.content)
        for (crash, service), contents in list(by_crash.items())[
            :_MAX_REPLY_MESSAGES
        ]:
            report = messages.ServerCrashed(
                crash.server,
                int(crash.incarnation),
                service,
                max(0, int((now - crash.at) * 1000)),
                tuple(contents[:_MAX_MESSAGE_CONTENTS]),
            )
            self._peers.reply(host, port, report)

    def _on_crash_report(
        self, report: messages.ServerCrashed, host: str, port: int
    ) -> None:
        if report.age_ms < _MAX_CRASH_AGE_MS:
            self._record_server_crash((report.server_id, report.born_ms))
        crash = suspects_lib.Crash(
            report.server_id,
            str(report.born_ms),
            self._clock.now() - report.age_ms / 1000,
        )
        known = {c: self._suspects.crash_count(c) for c in report.contents}
        self._suspects.merge(
            suspects_lib.SuspectEntry(content, report.service, (crash,), 0.0)
            for content in report.contents
        )
        self._outlines.update(map(request_identity.outline_of, report.contents))
        updated = [
            c
            for c, before in known.items()
            if self._suspects.crash_count(c) > before
        ]
        if not updated:
            return
        self._counters.count("suspects.heard", len(updated))
        self._log.info(
            "suspects",
            server=report.server_id,
            born_ms=report.born_ms,
            service=report.service,
            age_ms=report.age_ms,
            told_by=host,
            requests=len(updated),
            crashes=max(map(self._suspects.crash_count, updated)),
        )

    def _on_served_report(
        self, served: messages.SuspectCleared, host: str, port: int
    ) -> None:
        if self._suspects.crash_count(served.content):
            self._record_served(served)

    def _record_served(self, served: messages.SuspectCleared) -> None:
        at = self._clock.now() - served.age_ms / 1000
        self._suspects.merge(
            [suspects_lib.SuspectEntry(served.content, served.service, (), at)]
        )

    def _log_decision(
        self,
        event: str,
        request: requests.CallerRequest,
        content: bytes,
        server_id: str,
    ) -> None:
        self._log.info(
            event,
            request=request.request_id,
            content=content.hex(),
            crashes=self._suspects.crash_count(content),
            server=server_id,
        )

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, max(0.0, seconds), lambda: None)
