"""When a node may give orders, and who claims what nobody holds.

A holder's key goes away with the lease of its node.  A holder stops giving
orders before its lease can end, by a clock that counts suspensions, and its
successor waits until the last of its predecessor's orders is old enough for
engines that do not compare fencing tokens.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from azureline.relay import keys
from azureline.relay import placement

# Claims of the first node in order are waited for this long by the next.
_STEP_S = 1.0


class Terms(NamedTuple):
    """Times of leases, in seconds.

    Attributes:
      ttl_s: after which a lease ends that is not renewed.
      renew_s: between two renewals.
      valid_s: after a renewal was sent, during which orders may be sent.
      turn_s: that must lie between orders of two holders.
      margin_s: added to waits, for clocks and for orders on their way.
    """

    ttl_s: float
    renew_s: float
    valid_s: float
    turn_s: float
    margin_s: float

    @property
    def wait_s(self) -> float:
        """Seconds from a claim to the first order, after another holder.

        The key may be taken away while the holder still believes in its
        lease, so its whole validity is waited for.
        """
        return self.valid_s + self.turn_s + self.margin_s

    def wait_after(self, last: keys.TurnRecord | None, node: str) -> float:
        """Returns the seconds from a claim to the first order.

        Args:
          last: the turn before; None if there was none or it is unreadable.
          node: name of the VM that claims.
        """
        if last is None:
            return self.wait_s
        if last.node == node:
            # Orders of an earlier process of this VM are its own.
            return 0.0
        if last.idle_ms < 0:
            return self.wait_s
        # It gave the turn up itself and sends nothing more.
        left_s = self.turn_s + self.margin_s - last.idle_ms / 1000
        return max(0.0, left_s)


class Tenure:
    """Whether this node's lease covers an order now."""

    def __init__(self, terms: Terms):
        """Creates a tenure without a lease."""
        self._terms = terms
        self._renewed_at = float("-inf")

    def renewed(self, sent_at: float) -> None:
        """Learns that a renewal succeeded that was sent at a time."""
        self._renewed_at = max(self._renewed_at, sent_at)

    def ended(self) -> None:
        """Learns that the lease has ended."""
        self._renewed_at = float("-inf")

    def covers(self, now: float) -> bool:
        """Returns whether an order may be sent now."""
        return now < self._renewed_at + self._terms.valid_s


class Turn(NamedTuple):
    """This node's right to give orders to one engine.

    Attributes:
      token: fencing token; higher than that of every earlier turn.
      from_s: monotonic time of the first order at the earliest.
    """

    token: int
    from_s: float


class Vacancies:
    """Decides when this node claims what nobody holds."""

    def __init__(self, node: str):
        """Creates the decisions of a node."""
        self._node = node
        self._vacant_since: dict[str, float] = {}

    def due(
        self,
        wanted: Iterable[str],
        held: Mapping[str, str],
        last: Mapping[str, str],
        nodes: Iterable[str],
        now: float,
    ) -> list[str]:
        """Returns what this node shall claim now.

        Args:
          wanted: everything that needs a holder.
          held: name of the holder's VM of what has one.
          last: name of the VM whose turn was the last, where known.
          nodes: the nodes that are up, this one among them.
          now: monotonic time in seconds.
        """
        vacant = set(wanted) - set(held)
        # Claims of one moment are spread as well: what is vacant counts for the
        # node that comes first for it.
        loads = collections.Counter(held.values())
        for name in set(self._vacant_since) - vacant:
            del self._vacant_since[name]
        names = sorted(set(nodes) | {self._node})
        found = []
        for name in sorted(vacant):
            since = self._vacant_since.setdefault(name, now)
            order = _order(name, names, loads, last.get(name, ""))
            loads[order[0]] += 1
            place = order.index(self._node)
            if since + _STEP_S * place <= now:
                found.append(name)
        return found


def _order(
    name: str, nodes: list[str], loads: Mapping[str, int], last: str
) -> list[str]:
    """Returns the nodes in the order in which they may claim.

    The VM whose turn was the last needs not wait for its own orders.  After it
    come nodes that hold little: one that is lost takes all that it holds with
    it.
    """
    return sorted(
        nodes,
        key=lambda n: (n != last, loads.get(n, 0), -placement.rank(name, n)),
    )
