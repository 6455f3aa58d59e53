"""Processes server notices: headers in which servers report their state."""

from collections.abc import Callable

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import requests as wire
from azureline.relay import eligibility as eligibilities
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import send_counts
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1


class ServerNotices:
    """Applies server notices and informs other nodes of servers that leave."""

    def __init__(
        self,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        eligibility: eligibilities.Eligibility,
        peers: peers_lib.Peers,
        changed: Callable[[], None],
        sends: send_counts.SendCounts,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Subscribes to the messages of other nodes.

        Args:
          clock: source of time.
          catalogue: records which servers leave.
          eligibility: records which servers are paused.
          peers: the other nodes.
          changed: called when a server leaves.
          sends: counts the calls to servers that name a limit.
          counters: counts notices.
          log: event log; each notice that changes the state writes one line.
        """
        self._clock = clock
        self._catalogue = catalogue
        self._eligibility = eligibility
        self._peers = peers
        self._changed = changed
        self._sends = sends
        self._limits: dict[tuple[str, int], float] = {}
        self._counters = counters
        self._log = log
        peers.on(messages.ServerLeaving, self._on_server_leaving)

    def heard(self, server: servers.BackendServer, head: http1.Head) -> None:
        """Processes the head of a server's answer."""
        notice = wire.parse_server_notice(head)
        if notice.leaving and self._set_leaving(
            server.incarnation, "its answer"
        ):
            self._peers.broadcast(
                messages.ServerLeaving(server.server_id, server.born_ms)
            )
        self._note_limit(server.incarnation, notice)
        if notice.invalid_retry_after:
            self._counters.count("pauses.unreadable")
            self._log.warning(
                "pause_unreadable",
                server=server.server_id,
                value=notice.invalid_retry_after.decode("latin-1"),
            )
        pause_s = notice.pause_s
        if notice.resume_at is not None:
            pause_s = notice.resume_at - self._clock.wall()
        if pause_s is not None and pause_s > 0:
            self._pause(server, pause_s)

    def _note_limit(
        self, incarnation: tuple[str, int], notice: wire.ServerNotice
    ) -> None:
        server_id, born_ms = incarnation
        if notice.invalid_limit:
            self._counters.count("limits.unreadable")
            self._log.warning(
                "limit_unreadable",
                server=server_id,
                value=notice.invalid_limit[:40].decode("latin-1"),
            )
            return
        if self._limits.get(incarnation) == notice.limit_per_s:
            return
        if notice.limit_per_s is None:
            self._limits.pop(incarnation, None)
        else:
            self._limits[incarnation] = notice.limit_per_s
        self._sends.set_limit(incarnation, notice.limit_per_s)
        self._counters.count("limits.changed")
        self._log.info(
            "server_limit",
            server=server_id,
            born_ms=born_ms,
            limit_per_s=notice.limit_per_s,
            told_by="its answer",
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
