"""Charges this node's requests to the quotas of their workspaces."""

import itertools
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.quotas import local_state
from azureline.quotas import ownership as ownerships
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import routes
from azureline.relay import workspaces
from azureline.util import events

# Datagrams may be lost, so an unanswered request is sent again at this
# interval; the request is idempotent.
_RETRANSMIT_S = 0.08
_TIMEOUT_S = 0.2
# Refused callers are spread over this time, or over this part of their wait.
_SPREAD_S = 0.25
_SPREAD_RATIO = 0.5


class _Pending(NamedTuple):
    answer: defer.Deferred[messages.QuotaReply | None]
    request: messages.QuotaRequest
    sent_at: float


class QuotaClient:
    """Requests grants of the quota owners and keeps their credit."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        peers: peers_lib.Peers,
        ownership: ownerships.Ownership,
        table: routes.RouteTable,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a client without credit.

        Args:
          reactor: the Twisted reactor.
          clock: monotonic clock that also advances while the VM is suspended.
          rng: spreads the times at which refused callers return.
          peers: the other nodes.
          ownership: the quota owners.
          table: the configuration in force.
          counters: counts decisions by outcome.
          log: event log; receives a line when an owner does not answer.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._ownership = ownership
        self._table = table
        self._counters = counters
        self._log = log
        # A number of an earlier process must not be used again.
        self._numbers = itertools.count(int(clock.wall() * 1000))
        self._pending: dict[int, _Pending] = {}
        self._states: dict[str, local_state.LocalState] = {}
        peers.on(messages.QuotaReply, self._reply_received)

    def quota_of(self, workspace: str | None) -> workspaces.Quota | None:
        """Returns the quota of a workspace, or None if none applies."""
        if not workspace:
            return None
        return self._table.workspaces.quota_of(workspace)

    async def acquire(
        self, workspace: str, quota: workspaces.Quota, amount: int
    ) -> local_state.Grant | local_state.OverQuota:
        """Charges a request, after one round trip to the owner at most.

        Args:
          workspace: name of the workspace.
          quota: its quota.
          amount: what the request counts as.

        Returns:
          The grant, or the time until there can be room.
        """
        now = self._clock.now()
        state = self._state(workspace)
        decision = state.take_credit(amount, now)
        if decision is None:
            decision = state.known_refusal(amount, now)
        if decision is None:
            decision = await self._ask(state, workspace, quota, amount)
        outcome = "granted" if decision else "refused"
        self._counters.count(f"quotas.{outcome}.{decision.source.value}")
        return decision

    def spread_wait_s(self, refused: local_state.OverQuota) -> float:
        """Returns the wait of a refusal in seconds with random jitter."""
        spread_s = max(_SPREAD_S, _SPREAD_RATIO * refused.wait_s)
        return refused.wait_s + self._rng.uniform(0.0, spread_s)

    def give_back(self, grant: local_state.Grant) -> None:
        """Returns a grant whose request did not run."""
        self._counters.count("quotas.returned")
        if grant.source is not local_state.Source.OWNER:
            state = self._states.get(grant.workspace)
            if state is None or not state.put_back(grant, self._clock.now()):
                self._counters.count("quotas.return_too_late")
            return
        message = messages.QuotaReturn(
            grant.number, grant.workspace, grant.amount
        )
        owner = self._ownership.owner_of(grant.workspace)
        self._peers.send(owner, message)

    def expire(self) -> None:
        """Removes the states of workspaces that have no quota any more."""
        with_quota = self._table.workspaces.with_quota()
        for name in self._states.keys() - with_quota.keys():
            del self._states[name]

    def _state(self, workspace: str) -> local_state.LocalState:
        state = self._states.get(workspace)
        if state is None:
            state = local_state.LocalState(workspace)
            self._states[workspace] = state
        return state

    async def _ask(
        self,
        state: local_state.LocalState,
        workspace: str,
        quota: workspaces.Quota,
        amount: int,
    ) -> local_state.Grant | local_state.OverQuota:
        """Asks the owner; decides alone if it has been silent."""
        now = self._clock.now()
        owner = self._ownership.owner_of(workspace)
        is_lone_owner = self._ownership.is_owner(
            workspace
        ) and not self._ownership.may_grant(now)
        if is_lone_owner or state.is_alone(owner.name, now):
            return self._decide_alone(state, quota, amount)
        number = next(self._numbers)
        reply = await self._request(
            messages.QuotaRequest(
                number,
                workspace,
                amount,
                quota.rate_per_s,
                quota.burst,
                self._table.version,
            )
        )
        if reply is None:
            self._owner_silent(state, workspace)
            return self._decide_alone(state, quota, amount)
        state.owner_replied()
        replied_at = self._clock.now()
        if reply.granted:
            state.add_credit(reply.credit, now)
            return local_state.Grant(
                workspace, amount, local_state.Source.OWNER, now, number
            )
        wait_s = max(0, reply.retry_after_ms) / 1000
        nodes = self._ownership.node_count
        state.refused(amount, wait_s, quota, nodes, replied_at)
        # Replies to requests sent at the same time may have brought credit.
        credit = state.take_credit(amount, replied_at)
        if credit is not None:
            return credit
        return local_state.OverQuota(wait_s, local_state.Source.OWNER)

    def _decide_alone(
        self,
        state: local_state.LocalState,
        quota: workspaces.Quota,
        amount: int,
    ) -> local_state.Grant | local_state.OverQuota:
        now = self._clock.now()
        if not self._ownership.is_known:
            # Its part of the rate would be that of a fleet of one node.
            return local_state.OverQuota(
                local_state.ALONE_S, local_state.Source.ALONE
            )
        return state.decide_alone(
            amount,
            quota,
            self._ownership.node_count,
            self._ownership.view_is_valid(now),
            now,
        )

    def _owner_silent(
        self, state: local_state.LocalState, workspace: str
    ) -> None:
        owner = self._ownership.owner_of(workspace)
        if not state.owner_silent(owner.name, self._clock.now()):
            return
        self._counters.count("quotas.unanswered")
        self._log.warning(
            "quota_owner_silent",
            workspace=workspace,
            owner=owner.name,
            nodes=self._ownership.node_count,
            waited_s=_TIMEOUT_S,
        )

    def _request(
        self, request: messages.QuotaRequest
    ) -> defer.Deferred[messages.QuotaReply | None]:
        # A request that is cancelled stays pending: a grant that arrives for
        # it is returned.
        answer: defer.Deferred[messages.QuotaReply | None] = defer.Deferred()
        self._pending[request.number] = _Pending(
            answer, request, self._clock.now()
        )
        self._send(request.number)
        return answer

    def _send(self, number: int) -> None:
        pending = self._pending.get(number)
        if pending is None:
            return
        left_s = pending.sent_at + _TIMEOUT_S - self._clock.now()
        if left_s <= 0:
            del self._pending[number]
            if not pending.answer.called:
                pending.answer.callback(None)
            return
        # The timer is set before sending, because this node may itself be the
        # owner and reply synchronously.
        self._reactor.callLater(min(_RETRANSMIT_S, left_s), self._send, number)
        owner = self._ownership.owner_of(pending.request.workspace)
        self._peers.send(owner, pending.request)

    def _reply_received(
        self, reply: messages.QuotaReply, host: str, port: int
    ) -> None:
        pending = self._pending.pop(reply.number, None)
        if pending is None:
            return
        is_late = self._clock.now() > pending.sent_at + _TIMEOUT_S
        if not pending.answer.called and not is_late:
            pending.answer.callback(reply)
            return
        if reply.granted:
            self._counters.count("quotas.returned")
            request = pending.request
            self._peers.reply(
                host,
                port,
                messages.QuotaReturn(
                    reply.number, request.workspace, request.amount
                ),
            )
        if not pending.answer.called:
            pending.answer.callback(None)
