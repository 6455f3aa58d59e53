"""Exchange of crash suspects between nodes.

Nodes report crashes to each other immediately, and also query each other
periodically, so that a node that was restarted, frozen or partitioned receives
the reports that it missed.
"""

from collections.abc import Callable
import random
from typing import Any

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import crash_detection
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import request_identity
from azureline.routing import crash_history
from azureline.routing import signatures
from azureline.routing import suspects as suspects_lib
from azureline.util import events

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
# Maximum age of a crash that still marks the server as crashed; after a longer
# time the server may be running again.
_MAX_CRASH_AGE_MS = 1000
_MAX_MESSAGE_CONTENTS = 60
_MAX_REPLY_MESSAGES = 20
# Maximum delay of the news that a part was cleared: most nodes have a run with
# a popular part soon after a crash, and hear meanwhile that it is cleared.
_MAX_CLEAR_DELAY_S = 0.05
_MAX_LOGGED_SUSPECTS = 4


class SuspectReports:
    """Tells other nodes of crashes and suspects, and records their reports.

    Attributes:
      outlines: outlines of the suspected contents.
      parts: suspected parts of prompts.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        peers: peers_lib.Peers,
        table: suspects_lib.SuspectTable,
        record_server_crash: Callable[[tuple[str, int]], None],
        crash_reported: Callable[[tuple[str, int]], None],
        on_changed: Callable[[], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates an instance without suspects.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: chooses the node to query.
          peers: the other nodes.
          table: the suspects that this node knows.
          record_server_crash: called with the id and start of a server that has
            just crashed.
          crash_reported: called with the id and start of a crashed server for
            each report.
          on_changed: called when the suspects have changed.
          counters: counts reports.
          log: receives a line for each report that changes something.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._table = table
        self._record_server_crash = record_server_crash
        self._crash_reported = crash_reported
        self._on_changed = on_changed
        self._counters = counters
        self._log = log
        self.outlines: set[bytes] = set()
        self.parts: set[bytes] = set()
        # Parts cleared by this node of which others have not been told.
        self._cleared: dict[bytes, messages.SuspectCleared] = {}
        self._queries = 0
        self._expired_at = clock.now()
        self._timer: Any = None
        self._clear_timer: Any = None
        peers.on(messages.ServerCrashed, self._on_crash_report)
        peers.on(messages.SuspectCleared, self._on_cleared_report)
        peers.on(messages.SuspectsRequest, self._on_query)

    def start(self) -> None:
        """Starts to query other nodes."""
        self._timer = self._reactor.callLater(
            _INITIAL_QUERY_S, self._query_and_expire
        )

    def close(self) -> None:
        """Stops querying other nodes."""
        for timer in (self._timer, self._clear_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def server_crashed(self, crash: crash_detection.ServerCrash) -> None:
        """Reports a crash of a server that was running this node's requests."""
        server = crash.server
        age_ms = int((self._clock.now() - crash.at) * 1000)
        for start in range(0, len(crash.signatures), _MAX_MESSAGE_CONTENTS):
            part = crash.signatures[start : start + _MAX_MESSAGE_CONTENTS]
            self._peers.broadcast(
                messages.ServerCrashed(
                    server.server_id,
                    server.born_ms,
                    server.service,
                    age_ms,
                    part,
                )
            )

    def content_cleared(self, content: bytes, service: str) -> None:
        """Records that a suspected content completed, and reports it."""
        cleared = messages.SuspectCleared(content, service, 0)
        is_reported = bool(self._table.suspects_of([content]))
        self._record_cleared(cleared)
        if is_reported:
            self._peers.broadcast(cleared)

    def parts_cleared(self, parts: tuple[bytes, ...], service: str) -> None:
        """Records that an answer to a prompt with some parts has begun.

        Other nodes are told of those parts that a crash accuses.
        """
        accused = [part for part in parts if self._table.crash_count(part)]
        for part in accused:
            cleared = messages.SuspectCleared(part, service, 0)
            self._record_cleared(cleared)
            self._cleared[part] = cleared
        if self._cleared and self._clear_timer is None:
            self._clear_timer = self._reactor.callLater(
                self._rng.uniform(0.0, _MAX_CLEAR_DELAY_S), self._tell_cleared
            )

    def merge(self, entries: tuple[crash_history.SuspectEntry, ...]) -> None:
        """Records suspects that another node has written to the store."""
        self._table.merge(entries, self._clock.now())
        self._index([entry.content for entry in entries])

    def _tell_cleared(self) -> None:
        self._clear_timer = None
        cleared, self._cleared = self._cleared, {}
        for report in cleared.values():
            self._peers.broadcast(report)

    def _index(self, contents: list[bytes] | tuple[bytes, ...]) -> None:
        for content in contents:
            if signatures.is_part(content):
                self.parts.add(content)
            else:
                self.outlines.add(request_identity.outline_of(content))

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
            self._table.expire(now)
            self.outlines, self.parts = set(), set()
            self._index([entry.content for entry in self._table.entries()])

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
        by_crash: dict[tuple[crash_history.Crash, str], list[bytes]] = {}
        for suspect in self._table.accused_entries():
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
        self._crash_reported((report.server_id, report.born_ms))
        crash = crash_history.Crash(
            report.server_id,
            str(report.born_ms),
            self._clock.now() - report.age_ms / 1000,
        )
        known = {c: self._table.crash_count(c) for c in report.contents}
        self._table.merge(
            crash_history.SuspectEntry(content, report.service, (crash,), 0.0)
            for content in report.contents
        )
        self._index(report.contents)
        updated = [
            c
            for c, before in known.items()
            if self._table.crash_count(c) > before
        ]
        if not updated:
            return
        self._counters.count("suspects.heard", len(updated))
        suspected = self._table.suspects_of(updated)
        self._log.info(
            "suspects",
            server=report.server_id,
            born_ms=report.born_ms,
            service=report.service,
            age_ms=report.age_ms,
            told_by=host,
            requests=len(updated),
            crashes=max(map(self._table.crash_count, updated)),
            suspected=[s.hex() for s in suspected[:_MAX_LOGGED_SUSPECTS]],
        )
        self._on_changed()

    def _on_cleared_report(
        self, cleared: messages.SuspectCleared, host: str, port: int
    ) -> None:
        # The report of the crash may arrive later than this one.
        self._cleared.pop(cleared.content, None)
        self._record_cleared(cleared)

    def _record_cleared(self, cleared: messages.SuspectCleared) -> None:
        was_suspect = self._table.suspects_of([cleared.content])
        at = self._clock.now() - cleared.age_ms / 1000
        self._table.merge(
            [
                crash_history.SuspectEntry(
                    cleared.content, cleared.service, (), at
                )
            ]
        )
        if was_suspect:
            self._counters.count("suspects.cleared")
            self._on_changed()
