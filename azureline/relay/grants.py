"""Requests grants for calls to servers that name a limit.

See `granter` for the lease holder's side.
"""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import granter
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.util import events

# Datagrams may be lost, so an unanswered request is sent again at this
# interval; the request is idempotent.
_RETRANSMIT_S = 0.08
_TIMEOUT_S = 0.4
# After a time-out no request for the server is sent during this time.
_UNRESPONSIVE_S = 0.6
# After a denial the lease holder is not asked for what it would deny as well,
# for this time at most, since the limit can rise.
_DENIAL_MEMORY_S = 0.5
# Callers that are denied without asking get turns within this time.
_TURNS_S = 4.0
# A grant that is used later than this adds to the calls of another window.
_USABLE_S = 0.5


class Grant(NamedTuple):
    """Permission to send one call to a server.

    Attributes:
      incarnation: the server's start.
      from_s: earliest monotonic time, in seconds, at which to send it.
      until_s: monotonic time in seconds at which the grant expires.
    """

    incarnation: server_limits.Incarnation
    from_s: float
    until_s: float


class Denied(NamedTuple):
    """Falsy sentinel: no call may be sent to the server now.

    Attributes:
      turn_at: monotonic time in seconds at which to ask again.
      free_at: monotonic time in seconds before which no call is possible.
      answered: whether the lease holder said so, because the limit is used up.
    """

    turn_at: float
    free_at: float
    answered: bool = True

    def __bool__(self) -> bool:
        return False


class _Denial(NamedTuple):
    """A lease holder's latest denial for a server.

    Attributes:
      denied: the denial; its turn is that of the latest request.
      until: monotonic time in seconds until which it is remembered.
      interval_s: seconds between two calls to the server.
    """

    denied: Denied
    until: float
    interval_s: float

    def next_turn(self, now: float) -> "_Denial":
        """Returns the denial of one more request, with a later turn."""
        turn_at = self.denied.turn_at + self.interval_s
        if turn_at > now + _TURNS_S:
            turn_at = self.denied.free_at + self.interval_s
        return self._replace(denied=self.denied._replace(turn_at=turn_at))


class _PendingRequest(NamedTuple):
    answer: defer.Deferred[Grant | Denied]
    request: messages.GrantRequest
    sent_at: float


class GrantClient:
    """Requests grants of this node and keeps those that are not used."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        peers: peers_lib.Peers,
        limits: server_limits.ServerLimits,
        limit_ended: Callable[[server_limits.Incarnation], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a client without grants.

        Args:
          reactor: the Twisted reactor.
          clock: monotonic clock that also advances while the VM is suspended.
          peers: the other nodes and the lease holders.
          limits: the limits in force.
          limit_ended: called when a lease holder says that a limit has ended.
          counters: counts requests without an answer and unused grants.
          log: event log; receives a line when a lease holder does not answer.
        """
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._limits = limits
        self._limit_ended = limit_ended
        self._counters = counters
        self._log = log
        # A number of an earlier process must not be used again.
        self._request_ids = itertools.count(int(clock.wall() * 1000))
        self._pending: dict[int, _PendingRequest] = {}
        self._unused: dict[server_limits.Incarnation, list[Grant]] = {}
        self._denials: dict[server_limits.Incarnation, _Denial] = {}
        self._unresponsive_until: dict[str, float] = {}
        peers.on(messages.GrantReply, self._reply_received)

    async def acquire(
        self, server: servers.BackendServer, rank: int, max_wait_s: float
    ) -> Grant | Denied:
        """Waits for a grant.

        Args:
          server: the server, which names a limit.
          rank: rank of the request; 0 is the most urgent.
          max_wait_s: longest time in seconds until the call.

        Returns:
          A grant that can be used now, or the reason why there is none.
        """
        grant: Grant | Denied | None = self._take_unused(server, max_wait_s)
        if grant is None:
            grant = self._known_denial(server, max_wait_s)
        if grant is None:
            grant = await self._request(server, rank, max_wait_s)
        if not isinstance(grant, Grant):
            return grant
        wait_s = max(0.0, grant.from_s - self._clock.now())
        try:
            await task.deferLater(self._reactor, wait_s, lambda: None)
        except defer.CancelledError:
            self.give_back(grant)
            raise
        return grant

    def is_usable(self, grant: Grant) -> bool:
        """Returns whether a call may still be sent with a grant."""
        return self._clock.now() < grant.until_s

    def give_back(self, grant: Grant) -> None:
        """Keeps a grant that was not used for another request."""
        if self.is_usable(grant):
            self._unused.setdefault(grant.incarnation, []).append(grant)
        else:
            self._counters.count("grants.expired")

    def _take_unused(
        self, server: servers.BackendServer, max_wait_s: float
    ) -> Grant | None:
        now = self._clock.now()
        kept = self._unused.pop(server.incarnation, [])
        usable = sorted(
            (g for g in kept if now < g.until_s), key=lambda g: g.from_s
        )
        self._counters.count("grants.expired", len(kept) - len(usable))
        taken = None
        if usable and usable[0].from_s <= now + max_wait_s:
            taken = usable.pop(0)
        if usable:
            self._unused[server.incarnation] = usable
        return taken

    def _known_denial(
        self, server: servers.BackendServer, max_wait_s: float
    ) -> Denied | None:
        """Returns a denial if the lease holder would deny a request now."""
        denial = self._denials.get(server.incarnation)
        if denial is None:
            return None
        now = self._clock.now()
        if now >= denial.until:
            del self._denials[server.incarnation]
            return None
        # Calls are booked one after the other, so none comes before `free_at`.
        bookable_at = denial.denied.free_at - min(
            max_wait_s, max(granter.HORIZON_S, denial.interval_s)
        )
        if now >= bookable_at:
            return None
        self._counters.count("grants.denied_again")
        denial = self._denials[server.incarnation] = denial.next_turn(now)
        return denial.denied

    def _request(
        self, server: servers.BackendServer, rank: int, max_wait_s: float
    ) -> defer.Deferred[Grant | Denied]:
        now = self._clock.now()
        limit = self._limits.get(server.incarnation)
        if limit is None:
            # The limit ended while the request asked for other servers.
            return defer.succeed(
                Grant(server.incarnation, now, now + _USABLE_S)
            )
        if self._peers.holder_of(server.server_id) is None:
            return defer.succeed(self._unanswered(now))
        if self._unresponsive_until.get(server.server_id, 0.0) > now:
            return defer.succeed(self._unanswered(now))
        request = messages.GrantRequest(
            next(self._request_ids),
            server.server_id,
            server.born_ms,
            rank,
            int(max_wait_s * 1000),
            limit.per_s,
            int((now - limit.named_at) * 1000),
        )
        # A request that is cancelled stays pending: a grant that arrives for
        # it is kept for another request.
        answer: defer.Deferred[Grant | Denied] = defer.Deferred()
        self._pending[request.request_id] = _PendingRequest(
            answer, request, now
        )
        self._send(request.request_id)
        return answer

    def _unanswered(self, now: float) -> Denied:
        self._counters.count("grants.unanswered")
        again_at = now + _UNRESPONSIVE_S
        return Denied(again_at, again_at, answered=False)

    def _send(self, request_id: int) -> None:
        pending = self._pending.get(request_id)
        if pending is None:
            return
        now = self._clock.now()
        server_id = pending.request.server_id
        if now - pending.sent_at > _TIMEOUT_S:
            del self._pending[request_id]
            self._unresponsive_until[server_id] = now + _UNRESPONSIVE_S
            self._log.warning(
                "grant_unanswered",
                server=server_id,
                holder=getattr(self._peers.holder_of(server_id), "name", ""),
            )
            if not pending.answer.called:
                pending.answer.callback(self._unanswered(now))
            return
        # The timer is set before sending, because this node may itself be the
        # lease holder and reply synchronously.
        self._reactor.callLater(_RETRANSMIT_S, self._send, request_id)
        holder = self._peers.holder_of(server_id)
        if holder is not None:
            self._peers.send(holder, pending.request)

    def _reply_received(
        self, reply: messages.GrantReply, host: str, port: int
    ) -> None:
        self._unresponsive_until.pop(reply.server_id, None)
        pending = self._pending.pop(reply.request_id, None)
        if pending is None:
            return
        incarnation = (reply.server_id, reply.born_ms)
        if reply.per_s < 0:
            self._limit_ended(incarnation)
        now, wait_s = self._clock.now(), reply.wait_ms / 1000
        if not reply.granted:
            result: Grant | Denied = Denied(
                now + wait_s, now + reply.free_ms / 1000
            )
            self._denials[incarnation] = _Denial(
                result,
                now + _DENIAL_MEMORY_S,
                1.0 / max(reply.per_s, server_limits.MIN_PER_S),
            )
        else:
            # The lease holder booked the call after the request was sent.
            until_s = pending.sent_at + wait_s + _USABLE_S
            result = Grant(incarnation, now + wait_s, until_s)
        if not pending.answer.called:
            pending.answer.callback(result)
        elif isinstance(result, Grant):
            self.give_back(result)
