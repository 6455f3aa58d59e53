"""Rules for lease holders: when to send orders and when to claim a resource.

A holder key in the store is bound to its node's lease and is deleted with it.
A lease holder stops sending orders before its lease can end, by a clock that
also advances while the VM is suspended.  The next holder waits until the last
order of the previous one is old enough, because some engines do not compare
fencing tokens.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from azureline.platform import eras
from azureline.relay import keys
from azureline.relay import ranking

# Delay per position in the claim order, in which the nodes before can claim.
_CLAIM_STEP_S = 1.0


class LeaseTimes(NamedTuple):
    """Times of leases, in seconds.

    Attributes:
      ttl_s: time after which a lease ends unless it is renewed.
      renew_s: time between two renewals.
      valid_s: time after sending a renewal during which orders may be sent.
      turn_s: least time between orders of two lease holders.
      margin_s: margin added to waits for clock errors and orders in transit.
    """

    ttl_s: float
    renew_s: float
    valid_s: float
    turn_s: float
    margin_s: float

    @property
    def wait_s(self) -> float:
        """Seconds from a claim to the first order, after another holder.

        The holder key may be deleted while the previous holder's lease is still
        valid by its own clock, so the wait includes the whole validity.
        """
        return self.valid_s + self.turn_s + self.margin_s

    @property
    def overlap_s(self) -> float:
        """Seconds after a claim in which an earlier lease may look valid."""
        return self.valid_s + self.margin_s

    def wait_after(self, last: keys.TermRecord | None, node: str) -> float:
        """Returns the seconds from a claim to the first order.

        Args:
          last: record of the previous term; None if there was none or it is
            unreadable.
          node: name of the VM that claims.
        """
        if last is None:
            return self.wait_s
        if last.node == node:
            # Orders of an earlier process of the same VM need no wait, but
            # those of the holder before it may, if it has sent none.
            return min(self.wait_s, max(0.0, last.wait_ms / 1000))
        if last.idle_ms < 0:
            return self.wait_s
        # The previous holder released its term and sends no more orders.
        left_s = self.turn_s + self.margin_s - last.idle_ms / 1000
        return max(0.0, left_s)


class Start(NamedTuple):
    """When a lease holder may act, counted from its claim.

    Attributes:
      wait_s: seconds until its first order.
      overlap_s: seconds until no earlier lease holder takes its own lease for
        valid; negative infinity if there was none.
      continues: whether a term that this process held before the store's
        return goes on, since no other node can have acted meanwhile.
    """

    wait_s: float = 0.0
    overlap_s: float = float("-inf")
    continues: bool = False


class LostTerm(NamedTuple):
    """A term of this process that ended with an era of the store.

    Attributes:
      term: the term.
      era: the era that ended.
      until_s: monotonic time in seconds until which no other node can have
        sent an order, even if one has claimed the resource in that era.
    """

    term: "Term"
    era: int
    until_s: float


class EraHistory:
    """What this process knows of terms that the store has forgotten.

    After the store's return from an older copy, the record of a resource's last
    term may lack terms that were claimed since the copy.
    """

    def __init__(self, times: LeaseTimes, now: float):
        """Creates a history.

        Args:
          times: times of leases.
          now: monotonic time in seconds, at which the process starts.
        """
        self._times = times
        self._era_known_at = now
        self._lost: dict[str, LostTerm] = {}

    def era_began(
        self,
        era: int,
        held: Mapping[str, "Term"],
        renewed_at: float,
        now: float,
    ) -> None:
        """Records the begin of an era and the terms that ended with the last.

        Args:
          era: the era that begins.
          held: the terms of this process.
          renewed_at: monotonic time in seconds of the last renewal.
          now: monotonic time in seconds.
        """
        self._era_known_at = now
        # Another node can claim once the lease has ended in the store, and then
        # waits; it stops within its own validity after the return.
        until_s = renewed_at + self._times.ttl_s + self._times.turn_s
        self._lost = {
            name: LostTerm(term, era - 1, until_s)
            for name, term in held.items()
        }

    def is_complete(self, last: keys.TermRecord | None, era: int) -> bool:
        """Returns whether the record of the last term is the newest.

        Args:
          last: the record in the store, if there is one that can be read.
          era: the store's era.
        """
        if era == eras.FIRST_ERA:
            return True
        return last is not None and last.era == era

    def start_after_return(self, name: str, era: int, now: float) -> Start:
        """Returns the start of a term whose predecessor may be forgotten.

        Args:
          name: name of the resource.
          era: the store's era.
          now: monotonic time in seconds.
        """
        lost = self._lost.get(name)
        if lost is not None and lost.era + 1 == era and now < lost.until_s:
            return Start(
                max(0.0, lost.term.from_s - now),
                lost.term.alone_from_s - now,
                continues=True,
            )
        known_for_s = now - self._era_known_at
        return Start(
            max(0.0, self._times.wait_s - known_for_s),
            self._times.overlap_s - known_for_s,
        )


class LeaseValidity:
    """Validity of this node's lease for sending orders."""

    def __init__(self, terms: LeaseTimes):
        """Creates a validity that has not begun."""
        self._terms = terms
        self._renewed_at = float("-inf")

    @property
    def renewed_at(self) -> float:
        """Monotonic time in seconds of the last renewal."""
        return self._renewed_at

    def extend(self, sent_at: float) -> None:
        """Extends the validity after a successful renewal.

        Args:
          sent_at: monotonic time in seconds at which the renewal was sent.
        """
        self._renewed_at = max(self._renewed_at, sent_at)

    def end(self) -> None:
        """Ends the validity, because the lease has ended."""
        self._renewed_at = float("-inf")

    def covers(self, now: float) -> bool:
        """Returns whether an order may be sent now."""
        return now < self._renewed_at + self._terms.valid_s


class Term(NamedTuple):
    """A term of this node as lease holder of a resource.

    Attributes:
      token: fencing token; higher than that of every earlier term.
      from_s: earliest monotonic time, in seconds, of the first order.
      alone_from_s: monotonic time in seconds from which no earlier lease holder
        takes its own lease for valid.
      revision: position of the holder's record, if the term has been claimed
        again since its token was given out; else 0.
    """

    token: int
    from_s: float
    alone_from_s: float = 0.0
    revision: int = 0

    @property
    def record_revision(self) -> int:
        """Position of the holder's record in the store."""
        return self.revision or self.token


class ClaimSchedule:
    """Decides when this node claims resources without a lease holder."""

    def __init__(self, node: str):
        """Creates the decisions of a node.

        Args:
          node: name of this node's VM.
        """
        self._node = node
        self._vacant_since: dict[str, float] = {}

    def resources_to_claim(
        self,
        wanted: Iterable[str],
        held: Mapping[str, str],
        last: Mapping[str, str],
        nodes: Iterable[str],
        now: float,
    ) -> list[str]:
        """Returns the resources that this node should claim now.

        Args:
          wanted: all resources that need a lease holder.
          held: name of the holder's VM, for resources that have one.
          last: name of the last holder's VM, for resources where it is known.
          nodes: names of the live nodes, including this one.
          now: monotonic time in seconds.
        """
        vacant = set(wanted) - set(held)
        # A vacant resource counts as held by the first node of its claim order,
        # so that claims made at the same time are spread over the nodes.
        held_counts = collections.Counter(held.values())
        for name in set(self._vacant_since) - vacant:
            del self._vacant_since[name]
        node_names = sorted(set(nodes) | {self._node})
        to_claim = []
        for name in sorted(vacant):
            since = self._vacant_since.setdefault(name, now)
            claim_order = _claim_order(
                name, node_names, held_counts, last.get(name, "")
            )
            held_counts[claim_order[0]] += 1
            position = claim_order.index(self._node)
            if since + _CLAIM_STEP_S * position <= now:
                to_claim.append(name)
        return to_claim


def _claim_order(
    name: str, nodes: list[str], held_counts: Mapping[str, int], last: str
) -> list[str]:
    """Returns the nodes in the order in which they may claim a resource.

    The last holder's VM comes first, since it need not wait for its own orders
    to expire.  Nodes with fewer resources come next, to limit how many
    resources lose their holder when one node fails.
    """
    return sorted(
        nodes,
        key=lambda n: (
            n != last,
            held_counts.get(n, 0),
            -ranking.rendezvous_hash(name, n),
        ),
    )
