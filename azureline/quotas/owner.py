"""Charges requests to the quotas of the workspaces that this node owns.

One node, the workspace's quota owner, decides for all nodes, so no part of a
quota lies unused at nodes without callers.  See `ownership` for its choice.
"""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from azureline.quotas import bucket
from azureline.relay import messages
from azureline.relay import workspaces

# A retransmitted request gets the same reply, and a grant can be returned, for
# this time.  Tokens returned later would add to another window of the bound.
MEMORY_S = 1.0
# Limit on remembered replies, so that a flood of requests takes bounded memory.
_MAX_REPLIES = 16384
# A credit is for at most this many further requests of the same amount, and at
# most this part of the tokens above half of the burst, so that credits that
# expire unused cost little of the quota.
_CREDIT_REQUESTS = 8
_CREDIT_PART = 1 / 16
_MAX_RETRY_AFTER_S = 3600.0


class RequestKey(NamedTuple):
    """Identifies a request, which can be retransmitted.

    Attributes:
      host: IP address of the node that sent it.
      port: UDP port of that node.
      number: number of the request at that node.
    """

    host: str
    port: int
    number: int


class _Reply(NamedTuple):
    reply: messages.QuotaReply
    workspace: str
    amount: int
    at: float


class _Account:
    """A workspace's bucket, and the configuration that it follows."""

    def __init__(self, quota: workspaces.Quota, version: int, now: float):
        # The previous owner may have granted a burst just now.
        self.bucket = bucket.TokenBucket(quota.rate_per_s, quota.burst, now)
        self.version = version

    def follow(self, quota: workspaces.Quota, version: int, now: float) -> None:
        """Applies a quota unless it is of an older configuration."""
        if version >= self.version:
            self.version = version
            self.bucket.set_quota(quota.rate_per_s, quota.burst, now)


class QuotaOwner:
    """Decides on requests of all nodes; runs without a network."""

    def __init__(self):
        """Creates an owner without workspaces."""
        self._accounts: dict[str, _Account] = {}
        self._replies: collections.OrderedDict[RequestKey, _Reply] = (
            collections.OrderedDict()
        )

    def set_owned(
        self, owned: Mapping[str, workspaces.Quota], version: int, now: float
    ) -> None:
        """Sets the workspaces that this node owns.

        Their buckets fill from now on, also before the first request.  Those of
        other workspaces are dropped, because another node grants their tokens.

        Args:
          owned: the quotas by the names of the workspaces.
          version: version of the configuration.
          now: monotonic time in seconds.
        """
        for name in self._accounts.keys() - owned.keys():
            del self._accounts[name]
        for name, quota in owned.items():
            self._account(name, quota, version, now)

    def decide(
        self,
        request: messages.QuotaRequest,
        key: RequestKey,
        with_credit: bool,
        now: float,
    ) -> messages.QuotaReply:
        """Returns the reply to a request.

        Args:
          request: the request.
          key: identity of the request; a retransmission has the same.
          with_credit: whether a grant may carry credit for further requests.
          now: monotonic time in seconds.
        """
        self._forget_replies(now)
        known = self._replies.get(key)
        if known is not None:
            return known.reply
        quota = workspaces.Quota(request.rate_per_s, request.burst)
        account = self._account(request.workspace, quota, request.version, now)
        amount = max(0, request.amount)
        if account.bucket.take(amount, now):
            credit = _take_credit(account.bucket, amount, now)
            if not with_credit:
                account.bucket.put_back(credit, now)
                credit = 0
            reply = messages.QuotaReply(request.number, True, 0, credit)
        else:
            wait_s = account.bucket.wait_s(amount, now)
            retry_after_ms = min(wait_s, _MAX_RETRY_AFTER_S) * 1000
            reply = messages.QuotaReply(
                request.number, False, int(retry_after_ms + 0.999), 0
            )
        self._replies[key] = _Reply(reply, request.workspace, amount, now)
        return reply

    def put_back(self, key: RequestKey, now: float) -> bool:
        """Returns the tokens of a request that did not run to its bucket.

        Args:
          key: identity of the request whose grant is returned.
          now: monotonic time in seconds.

        Returns:
          Whether the grant was known and had not been returned before.
        """
        self._forget_replies(now)
        known = self._replies.get(key)
        if known is None or not known.reply.granted:
            return False
        # A second return of the same grant finds a refusal.
        self._replies[key] = known._replace(
            reply=known.reply._replace(granted=False)
        )
        account = self._accounts.get(known.workspace)
        if account is not None:
            account.bucket.put_back(known.amount, now)
        return account is not None

    def _account(
        self, name: str, quota: workspaces.Quota, version: int, now: float
    ) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(quota, version, now)
        account.follow(quota, version, now)
        return account

    def _forget_replies(self, now: float) -> None:
        while self._replies:
            key, known = next(iter(self._replies.items()))
            if len(self._replies) <= _MAX_REPLIES and known.at > now - MEMORY_S:
                return
            del self._replies[key]


def _take_credit(tokens: bucket.TokenBucket, amount: int, now: float) -> int:
    """Takes tokens for further requests while the bucket is half full."""
    spare = tokens.level(now) - tokens.burst / 2
    credit = int(min(_CREDIT_REQUESTS * amount, max(0.0, spare) * _CREDIT_PART))
    return credit if credit >= amount and tokens.take(credit, now) else 0
