"""Grants calls to servers that name a limit, at the servers' lease holder.

A limit binds all nodes together, so one node, the server's lease holder, books
each call that any node sends to the server.  A node asks it for one call at a
time, so no share of the limit lies unused at nodes without callers.
"""

import collections
from collections.abc import Callable
import enum
from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.core import rate_schedule
from azureline.metrics import counters as metrics
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import server_limits
from azureline.util import events

# Calls are booked at most this far ahead, or one call at a lower rate, so that
# few bookings outlive a change of the limit or of the lease holder.
HORIZON_S = 1.0
# A request of rank r may book this part less of the horizon for each rank, so
# that urgent requests find room when there are too many.
_HORIZON_PER_RANK = 0.05
_LOWEST_RANK = 9
# Calls that may be sent at once after a pause.
_BURST = 2.0
# A lease holder whose lease may have ended, or whose predecessor may still
# grant calls, uses this part of the limit.  Servers accept half again of their
# limit, which leaves room for one such holder beside the right one.
_UNCERTAIN_RATIO = 0.3
# Refused callers are told times to ask again that are spread over this period.
_TURNS_S = 4.0
# A retransmitted request gets the same answer for this time.
_REPLY_MEMORY_S = 1.0


class Standing(enum.Enum):
    """This node's standing as the lease holder of a server."""

    NONE = "none"
    UNCERTAIN = "uncertain"  # Another node may be granting calls too.
    CERTAIN = "certain"


class RequestKey(NamedTuple):
    """Identifies a request, which can be retransmitted.

    Attributes:
      host: IP address of the node that sent it.
      port: UDP port of that node.
      request_id: number of the request at that node.
    """

    host: str
    port: int
    request_id: int


class _Account:
    """Calls to one start of a server."""

    def __init__(self, per_s: float, now: float):
        self.schedule = rate_schedule.RateSchedule(per_s, _BURST, now)
        # When each granted call is to be sent, by request.
        self.booked_at: collections.OrderedDict[RequestKey, float] = (
            collections.OrderedDict()
        )
        self.next_turn = 0
        self.last_denied_at = float("-inf")

    def forget_replies(self, now: float) -> None:
        """Removes bookings that are too old for a retransmission."""
        while self.booked_at:
            key, at = next(iter(self.booked_at.items()))
            if at > now - _REPLY_MEMORY_S:
                return
            del self.booked_at[key]

    def turn_s(self, now: float) -> float:
        """Returns the seconds until a denied caller should ask again.

        Callers that are denied one after the other get turns one call apart.
        """
        per_s = self.schedule.per_s
        if now > self.last_denied_at + _TURNS_S:
            self.next_turn = 0
        self.last_denied_at = now
        turn = self.next_turn
        self.next_turn = (turn + 1) % max(1, int(_TURNS_S * per_s))
        return self.schedule.wait_s(now) + turn / per_s


class Granter:
    """Books calls to limited servers; decides without a network."""

    def __init__(self, limits: server_limits.ServerLimits):
        """Creates a granter without bookings.

        Args:
          limits: the limits in force.
        """
        self._limits = limits
        self._accounts: dict[server_limits.Incarnation, _Account] = {}

    def decide(
        self,
        request: messages.GrantRequest,
        key: RequestKey,
        standing: Standing,
        now: float,
    ) -> messages.GrantReply:
        """Returns the reply to a request.

        Args:
          request: the request.
          key: identity of the request; a retransmission has the same.
          standing: this node's standing as lease holder of the server.
          now: monotonic time in seconds.
        """
        incarnation = (request.server_id, request.born_ms)
        limit = self._limits.get(incarnation)
        if limit is None:
            return _reply(request, True, 0.0, 0.0, -1.0)
        account = self._account(incarnation, limit, standing, now)
        account.forget_replies(now)
        booked_at = account.booked_at.get(key)
        if booked_at is None:
            rank = min(max(0, request.rank), _LOWEST_RANK)
            horizon_s = max(HORIZON_S, 1.0 / account.schedule.per_s)
            horizon_s *= 1.0 - _HORIZON_PER_RANK * rank
            wait_s = account.schedule.book(
                now, min(request.max_wait_ms / 1000, horizon_s)
            )
            free_s = account.schedule.wait_s(now)
            if wait_s is None:
                turn_s = account.turn_s(now)
                return _reply(request, False, turn_s, free_s, limit.per_s)
            account.booked_at[key] = booked_at = now + wait_s
        return _reply(
            request,
            True,
            max(0.0, booked_at - now),
            account.schedule.wait_s(now),
            limit.per_s,
        )

    def charge(
        self,
        incarnation: server_limits.Incarnation,
        standing: Standing,
        now: float,
    ) -> None:
        """Counts a call that this node sends without a grant.

        Args:
          incarnation: the server's start.
          standing: this node's standing as lease holder of the server.
          now: monotonic time in seconds.
        """
        limit = self._limits.get(incarnation)
        if limit is not None:
            account = self._account(incarnation, limit, standing, now)
            account.schedule.charge(now)

    def expire(self) -> None:
        """Removes the bookings of limits that have ended."""
        for incarnation in list(self._accounts):
            if self._limits.get(incarnation) is None:
                del self._accounts[incarnation]

    def _account(
        self,
        incarnation: server_limits.Incarnation,
        limit: server_limits.Limit,
        standing: Standing,
        now: float,
    ) -> _Account:
        per_s = max(server_limits.MIN_PER_S, limit.per_s)
        if standing is not Standing.CERTAIN:
            per_s *= _UNCERTAIN_RATIO
        account = self._accounts.get(incarnation)
        if account is None:
            account = self._accounts[incarnation] = _Account(per_s, now)
        if account.schedule.per_s != per_s:
            account.schedule.set_rate(per_s, now)
        return account


class GrantServer:
    """Answers requests for the servers whose lease this node holds."""

    def __init__(
        self,
        clock: clocks.Clock,
        granter: Granter,
        limits: server_limits.ServerLimits,
        peers: peers_lib.Peers,
        standing: Callable[[str], Standing],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Subscribes to the messages of other nodes.

        Args:
          clock: source of time.
          granter: decides on requests.
          limits: the limits in force.
          peers: the other nodes.
          standing: returns this node's standing as lease holder of a server.
          counters: counts requests by result.
          log: event log; receives a line when a limit changes or ends.
        """
        self._clock = clock
        self._granter = granter
        self._limits = limits
        self._peers = peers
        self._standing = standing
        self._counters = counters
        self._log = log
        peers.on(messages.GrantRequest, self._request_received)
        peers.on(messages.LimitHeard, self._heard)

    def charge(self, incarnation: server_limits.Incarnation) -> None:
        """Counts a report or an order that this node sends as lease holder."""
        standing = self._standing(incarnation[0])
        if standing is not Standing.NONE:
            self._granter.charge(incarnation, standing, self._clock.now())

    def _request_received(
        self, request: messages.GrantRequest, host: str, port: int
    ) -> None:
        standing = self._standing(request.server_id)
        if standing is Standing.NONE:
            return
        now = self._clock.now()
        incarnation = (request.server_id, request.born_ms)
        self._limits.named(
            incarnation, request.per_s, now - request.age_ms / 1000
        )
        key = RequestKey(host, port, request.request_id)
        reply = self._granter.decide(request, key, standing, now)
        self._counters.count(
            "grants.granted" if reply.granted else "grants.denied"
        )
        self._peers.reply(host, port, reply)

    def _heard(
        self, message: messages.LimitHeard, host: str, port: int
    ) -> None:
        if self._standing(message.server_id) is Standing.NONE:
            return
        now = self._clock.now()
        at = now - message.age_ms / 1000
        incarnation = (message.server_id, message.born_ms)
        if message.per_s >= 0:
            changed = self._limits.named(incarnation, message.per_s, at)
        else:
            changed = self._limits.missing(incarnation, at)
            if changed:
                # This node, which the broadcast reaches as well, logs the end.
                self._peers.broadcast(
                    messages.LimitState(*incarnation, -1.0, 0)
                )
                return
        if changed:
            self._log.info(
                "server_limit",
                server=message.server_id,
                born_ms=message.born_ms,
                limit_per_s=message.per_s,
                told_by=host,
            )


def _reply(
    request: messages.GrantRequest,
    granted: bool,
    wait_s: float,
    free_s: float,
    per_s: float,
) -> messages.GrantReply:
    return messages.GrantReply(
        request.request_id,
        request.server_id,
        request.born_ms,
        granted,
        int(wait_s * 1000 + 0.999),
        int(free_s * 1000 + 0.999),
        per_s,
    )
