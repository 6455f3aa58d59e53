"""Processes server notices: headers in which servers report their state.

A node that hears of a limit first tells all nodes.  What later answers say of
the limit goes to the lease holder of the server alone, which tells all nodes
when the limit has ended.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import requests as wire
from azureline.relay import eligibility as eligibilities
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1

# A limit that has not changed is told to the lease holder at this interval, so
# that it outweighs answers that do not name the limit.
_TELL_INTERVAL_S = 0.5
# Other nodes that are asked for limits after a start; one may have failed.
_QUERIES = 3
# Part of an unreadable limit that is logged.
_MAX_LOGGED_BYTES = 40

_NO_NOTICE = wire.ServerNotice()


class _Heard(NamedTuple):
    """The last notice of a server.

    Attributes:
      server: the entry by which the call was sent.
      notice: the notice.
      sent_at: monotonic time in seconds at which the call was sent.
      pause_ends_at: monotonic time in seconds at which its pause ends, or 0.
    """

    server: servers.BackendServer
    notice: wire.ServerNotice
    sent_at: float
    pause_ends_at: float


class ServerNotices:
    """Applies server notices and informs other nodes of servers that leave."""

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        catalogue: servers.Catalogue,
        eligibility: eligibilities.Eligibility,
        peers: peers_lib.Peers,
        changed: Callable[[], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Subscribes to the messages of other nodes.

        Args:
          clock: source of time.
          rng: chooses the nodes that are asked for limits.
          catalogue: records which servers leave.
          eligibility: records which servers are paused or limited.
          peers: the other nodes.
          changed: called when a server leaves or its limit ends.
          counters: counts notices.
          log: event log; each notice that changes the state writes one line.
        """
        self._clock = clock
        self._rng = rng
        self._catalogue = catalogue
        self._eligibility = eligibility
        self._peers = peers
        self._changed = changed
        self._limits = eligibility.limits
        self._queries = 0
        self._told_at: dict[server_limits.Incarnation, float] = {}
        self._last_heard: dict[str, _Heard] = {}
        self._counters = counters
        self._log = log
        peers.on(messages.ServerLeaving, self._on_server_leaving)
        peers.on(messages.LimitState, self._on_limit_state)
        peers.on(messages.LimitsRequest, self._on_limits_request)

    def heard(
        self, server: servers.BackendServer, head: http1.Head, sent_at: float
    ) -> None:
        """Processes the head of a server's answer.

        Args:
          server: the server.
          head: status and headers.
          sent_at: monotonic time in seconds at which the call was sent.
        """
        notice = wire.parse_server_notice(head)
        if notice.invalid_retry_after:
            self._counters.count("pauses.unreadable")
            self._log.warning(
                "pause_unreadable",
                server=server.server_id,
                value=notice.invalid_retry_after.decode("latin-1"),
            )
        now, pause_s = self._clock.now(), notice.pause_s
        if notice.resume_at is not None:
            pause_s = notice.resume_at - self._clock.wall()
        pause_ends_at = 0.0 if pause_s is None else now + pause_s
        if notice != _NO_NOTICE:
            self._last_heard[server.server_id] = _Heard(
                server, notice, sent_at, pause_ends_at
            )
        self._apply(server, notice, sent_at, pause_ends_at)

    def server_started(self, server: servers.BackendServer) -> None:
        """Applies a notice of a start that had no entry when it was heard."""
        heard = self._last_heard.get(server.server_id)
        if heard is None or heard.server.born_ms >= server.born_ms:
            return
        del self._last_heard[server.server_id]
        if heard.sent_at >= servers.started_at(server, self._clock):
            self._apply(
                server, heard.notice, heard.sent_at, heard.pause_ends_at
            )

    def _apply(
        self,
        server: servers.BackendServer,
        notice: wire.ServerNotice,
        sent_at: float,
        pause_ends_at: float,
    ) -> None:
        if notice.leaving and self._set_leaving(
            server.incarnation, "its answer"
        ):
            self._peers.broadcast(
                messages.ServerLeaving(server.server_id, server.born_ms)
            )
        self._note_limit(server.incarnation, notice, sent_at)
        pause_s = pause_ends_at - self._clock.now()
        if pause_s > 0:
            self._pause(server, pause_s)

    def request_limits(self) -> None:
        """Asks another node for the limits that it knows, after a start."""
        others = [
            r for r in self._peers.nodes.values() if not self._peers.is_self(r)
        ]
        if others and self._queries < _QUERIES:
            self._queries += 1
            self._peers.send(self._rng.choice(others), messages.LimitsRequest())

    def limit_ended(self, incarnation: server_limits.Incarnation) -> None:
        """Applies a lease holder's word that a limit has ended."""
        if self._limits.ended(incarnation, self._clock.now()):
            self._limit_changed(incarnation, "its lease holder")
            self._changed()

    def _note_limit(
        self,
        incarnation: server_limits.Incarnation,
        notice: wire.ServerNotice,
        sent_at: float,
    ) -> None:
        if notice.invalid_limit:
            self._counters.count("limits.unreadable")
            self._log.warning(
                "limit_unreadable",
                server=incarnation[0],
                value=notice.invalid_limit[:_MAX_LOGGED_BYTES].decode(
                    "latin-1"
                ),
            )
            return
        now, known = self._clock.now(), self._limits.get(incarnation)
        if notice.limit_per_s is None:
            if known is not None:
                age_ms = int((now - sent_at) * 1000)
                self._tell_holder(incarnation, -1.0, age_ms)
            return
        per_s = notice.limit_per_s
        changed = self._limits.named(incarnation, per_s, now)
        if changed:
            self._limit_changed(incarnation, "its answer")
        if known is None:
            self._peers.broadcast(messages.LimitState(*incarnation, per_s, 0))
        told_at = self._told_at.get(incarnation, float("-inf"))
        if changed or now >= told_at + _TELL_INTERVAL_S:
            self._told_at[incarnation] = now
            self._tell_holder(incarnation, per_s, 0)

    def _tell_holder(
        self, incarnation: server_limits.Incarnation, per_s: float, age_ms: int
    ) -> None:
        holder = self._peers.holder_of(incarnation[0])
        if holder is not None:
            self._peers.send(
                holder, messages.LimitHeard(*incarnation, per_s, age_ms)
            )

    def _limit_changed(
        self, incarnation: server_limits.Incarnation, told_by: str
    ) -> None:
        limit = self._limits.get(incarnation)
        per_s = limit.per_s if limit else None
        self._counters.count("limits.changed" if limit else "limits.ended")
        self._log.info(
            "server_limit",
            server=incarnation[0],
            born_ms=incarnation[1],
            limit_per_s=per_s,
            told_by=told_by,
        )

    def _on_limit_state(
        self, message: messages.LimitState, host: str, port: int
    ) -> None:
        incarnation = (message.server_id, message.born_ms)
        at = self._clock.now() - message.age_ms / 1000
        if message.per_s < 0:
            if self._limits.ended(incarnation, at):
                self._limit_changed(incarnation, host)
                self._changed()
        elif self._limits.named(incarnation, message.per_s, at):
            self._limit_changed(incarnation, host)

    def _on_limits_request(
        self, message: messages.LimitsRequest, host: str, port: int
    ) -> None:
        now = self._clock.now()
        for incarnation, limit in self._limits:
            age_ms = int((now - limit.named_at) * 1000)
            self._peers.reply(
                host,
                port,
                messages.LimitState(*incarnation, limit.per_s, age_ms),
            )

    def _pause(self, server: servers.BackendServer, pause_s: float) -> None:
        now = self._clock.now()
        paused_until = self._eligibility.paused_until(server, now)
        ends_at = self._eligibility.pause(server, pause_s, now)
        is_bounded = pause_s > eligibilities.MAX_PAUSE_S
        self._counters.count("pauses.bounded" if is_bounded else "pauses.asked")
        if paused_until is None or ends_at > paused_until:
            self._log.info(
                "server_pauses",
                server=server.server_id,
                born_ms=server.born_ms,
                asked_s=pause_s,
                left_s=round(ends_at - now, 3),
                bounded=is_bounded,
            )

    def _set_leaving(self, incarnation: tuple[str, int], told_by: str) -> bool:
        if not self._catalogue.set_leaving(incarnation):
            return False
        self._counters.count("servers.leaving")
        server_id, born_ms = incarnation
        self._log.info(
            "server_leaves", server=server_id, born_ms=born_ms, told_by=told_by
        )
        self._changed()
        return True

    def _on_server_leaving(
        self, message: messages.ServerLeaving, host: str, port: int
    ) -> None:
        self._set_leaving((message.server_id, message.born_ms), host)
