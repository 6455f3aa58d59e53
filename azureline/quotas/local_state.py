"""What one node knows of a workspace's quota between requests to its owner."""

import collections
import enum
from typing import NamedTuple

from azureline.quotas import bucket
from azureline.relay import workspaces

# A credit is used within this time, or is lost.
CREDIT_S = 1.0
# A node decides alone for this time before it asks a silent owner again.
ALONE_S = 1.0
# Part of the rate that all nodes together use while each decides alone.  While
# 35% of the nodes are partitioned, the sum is at most 1.09 of the rate.
_PARTITIONED_RATIO = 0.25
# The same at a node that the store still reaches.  Such an owner may have lost
# all other nodes but not its callers and use the whole rate: together they
# stay below 1.125 of it, and so below the bound for a burst in a window of 8 s.
_CONNECTED_RATIO = 0.125
# Time for which the bucket of a node that decides alone collects tokens, so
# that all nodes together add less than the rate of one second in a burst.
_ALONE_BURST_S = 4.0
# After a refusal the owner is not asked for as much again for 4 ms per node, so
# that all nodes together send about 250 requests per second in vain.
_REFUSAL_S_PER_NODE = 0.004
# The pause is at most this part of the time in which the burst refills, so that
# no tokens are lost meanwhile, and at most this long, since tokens may be
# returned.
_REFUSAL_BURST_PART = 0.5
_MAX_REFUSAL_S = 0.5


class Source(enum.Enum):
    """What a decision is based on."""

    OWNER = "owner"
    CREDIT = "credit"
    REFUSED_BEFORE = "refused_before"
    ALONE = "alone"


class Grant(NamedTuple):
    """Permission for a request to run.

    Attributes:
      workspace: name of the workspace.
      amount: what was charged.
      source: what charged it.
      at: monotonic time in seconds at which it was charged.
      number: number of the request to the owner; 0 for other sources.
    """

    workspace: str
    amount: int
    source: Source
    at: float
    number: int = 0


class OverQuota(NamedTuple):
    """Falsy sentinel: the quota leaves no room for the request.

    Attributes:
      wait_s: seconds until there can be room.
      source: what the decision is based on.
    """

    wait_s: float
    source: Source

    def __bool__(self) -> bool:
        return False


class LocalState:
    """Credit, refusals and lone decisions of one workspace at one node."""

    def __init__(self, workspace: str):
        """Creates a state without credit.

        Args:
          workspace: name of the workspace.
        """
        self._workspace = workspace
        # Credits with the times at which they were charged, oldest first.
        self._credits: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._refused_amount = 0
        self._refused_until = float("-inf")
        self._room_at = float("-inf")
        self._silent_owner = ""
        self._alone_until = float("-inf")
        self._alone: bucket.TokenBucket | None = None

    def is_alone(self, owner: str, now: float) -> bool:
        """Returns whether this node decides without asking the owner.

        Args:
          owner: name of the owner; a new one is asked at once.
          now: monotonic time in seconds.
        """
        return now < self._alone_until and owner == self._silent_owner

    def owner_silent(self, owner: str, now: float) -> bool:
        """Records that the owner did not reply; returns whether it is news."""
        is_news = not self.is_alone(owner, now)
        if is_news:
            self._silent_owner = owner
            self._alone_until = now + ALONE_S
        return is_news

    def owner_replied(self) -> None:
        """Ends the lone decisions."""
        self._alone_until = float("-inf")
        self._alone = None

    def add_credit(self, amount: int, at: float) -> None:
        """Adds credit of the owner, charged at a monotonic time in seconds."""
        if amount:
            self._credits.append((at, amount))

    def take_credit(self, amount: int, now: float) -> Grant | None:
        """Returns a grant from credit, or None if there is too little."""
        while self._credits and self._credits[0][0] < now - CREDIT_S:
            self._credits.popleft()
        if not self._credits or sum(c for _, c in self._credits) < amount:
            return None
        charged_at, left = self._credits[0][0], amount
        while left:
            at, credit = self._credits.popleft()
            used = min(credit, left)
            left -= used
            if credit > used:
                self._credits.appendleft((at, credit - used))
        return Grant(self._workspace, amount, Source.CREDIT, charged_at)

    def refused(
        self,
        amount: int,
        wait_s: float,
        quota: workspaces.Quota,
        nodes: int,
        now: float,
    ) -> None:
        """Records a refusal of the owner.

        Args:
          amount: the amount that it refused.
          wait_s: seconds until it has room for the amount.
          quota: the quota.
          nodes: number of nodes.
          now: monotonic time in seconds.
        """
        refill_s = quota.burst / quota.rate_per_s
        pause_s = max(
            wait_s,
            min(_REFUSAL_S_PER_NODE * nodes, _REFUSAL_BURST_PART * refill_s),
        )
        self._refused_amount = amount
        self._refused_until = now + min(pause_s, _MAX_REFUSAL_S)
        self._room_at = now + wait_s

    def known_refusal(self, amount: int, now: float) -> OverQuota | None:
        """Returns the refusal of an amount that the owner refused just now."""
        if now >= self._refused_until or amount < self._refused_amount:
            return None
        room_at = max(self._room_at, self._refused_until)
        return OverQuota(room_at - now, Source.REFUSED_BEFORE)

    def decide_alone(
        self,
        amount: int,
        quota: workspaces.Quota,
        nodes: int,
        is_connected: bool,
        now: float,
    ) -> Grant | OverQuota:
        """Decides without the owner.

        Args:
          amount: what the request counts as.
          quota: the quota.
          nodes: number of nodes.
          is_connected: whether the store still reaches this node.
          now: monotonic time in seconds.
        """
        ratio = _CONNECTED_RATIO if is_connected else _PARTITIONED_RATIO
        rate_per_s = ratio * quota.rate_per_s / nodes
        burst = rate_per_s * _ALONE_BURST_S
        if self._alone is None:
            self._alone = bucket.TokenBucket(rate_per_s, burst, now)
        self._alone.set_quota(rate_per_s, burst, now)
        # The bucket would grant an amount above its burst into debt.
        if amount <= burst and self._alone.take(amount, now):
            return Grant(self._workspace, amount, Source.ALONE, now)
        wait_s = max(ALONE_S, self._alone.wait_s(amount, now))
        return OverQuota(wait_s, Source.ALONE)

    def put_back(self, grant: Grant, now: float) -> bool:
        """Takes back an unused grant that did not come from the owner.

        Returns:
          Whether another request can use it.
        """
        match grant.source:
            case Source.CREDIT if now <= grant.at + CREDIT_S:
                self._credits.appendleft((grant.at, grant.amount))
                return True
            case Source.ALONE if self._alone is not None:
                self._alone.put_back(grant.amount, now)
                return True
        return False
