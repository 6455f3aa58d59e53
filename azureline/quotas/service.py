"""Answers the requests of other nodes for workspaces that this node owns."""

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.quotas import owner as owners
from azureline.quotas import ownership as ownerships
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import routes
from azureline.relay import workspaces


class QuotaService:
    """Receives messages for the quota owner and keeps its workspaces."""

    def __init__(
        self,
        clock: clocks.Clock,
        peers: peers_lib.Peers,
        ownership: ownerships.Ownership,
        table: routes.RouteTable,
        counters: metrics.Counters,
    ):
        """Subscribes to the messages of other nodes.

        Args:
          clock: monotonic clock that also advances while the VM is suspended.
          peers: the other nodes.
          ownership: the quota owners.
          table: the configuration in force.
          counters: counts messages for which this node is not the owner.
        """
        self._clock = clock
        self._peers = peers
        self._ownership = ownership
        self._table = table
        self._counters = counters
        self._owner = owners.QuotaOwner()
        peers.on(messages.QuotaRequest, self._request_received)
        peers.on(messages.QuotaReturn, self._return_received)

    def update(self) -> None:
        """Adopts workspaces that this node owns now and drops others.

        Must be called at least once per second.
        """
        now = self._clock.now()
        part = self._granted_part(now)
        if not part:
            return
        owned = {
            name: _scaled(quota, part)
            for name, quota in self._table.workspaces.with_quota().items()
            if self._ownership.is_owner(name)
        }
        self._owner.set_owned(owned, self._table.version, now)

    def _granted_part(self, now: float) -> float:
        """Returns the part of quotas to grant; at 0 the buckets are lost."""
        part = self._ownership.granted_part(now)
        if not part:
            self._owner.set_owned({}, self._table.version, now)
        return part

    def _request_received(
        self, request: messages.QuotaRequest, host: str, port: int
    ) -> None:
        now = self._clock.now()
        self._ownership.heard(host, port, now)
        if not self._ownership.is_owner(request.workspace):
            # The sender asks the owner in its newer view again in 80 ms.
            self._counters.count("quotas.not_owner")
            return
        part = self._granted_part(now)
        if not part:
            self._counters.count("quotas.uncertain_owner")
            return
        request = request._replace(
            rate_per_s=request.rate_per_s * part, burst=request.burst * part
        )
        own = self._peers.own
        key = owners.RequestKey(host, port, request.number)
        is_own = (host, port) == (own.host, own.port)
        with_credit = not is_own and part == 1.0
        reply = self._owner.decide(request, key, with_credit, now)
        self._peers.reply(host, port, reply)

    def _return_received(
        self, message: messages.QuotaReturn, host: str, port: int
    ) -> None:
        key = owners.RequestKey(host, port, message.number)
        if not self._owner.put_back(key, self._clock.now()):
            self._counters.count("quotas.return_unknown")


def _scaled(quota: workspaces.Quota, part: float) -> workspaces.Quota:
    return quota._replace(
        rate_per_s=quota.rate_per_s * part, burst=quota.burst * part
    )
