"""Chooses the quota owner of each workspace and decides whether it may grant.

The owner is the first node for the workspace's name by rendezvous hashing, so
nodes with the same view of the store agree without a lease.  A node with an old
view may take itself for the owner after another node has replaced it; it grants
nothing then.
"""

from collections.abc import Callable
from collections.abc import Mapping

from azureline.relay import keys
from azureline.routing import rendezvous

# A request shows for this time that its sender takes this node for the owner; a
# node whose owner was silent asks again every 1.2 s.
_HEARD_S = 2.5
# Part of each quota that a node grants while it waits until no other node can
# have been the owner.  The previous owner may still grant all of the quota for
# 2 s: together with what nodes grant alone this adds less than the 0.9 of the
# rate of one second that the bound allows beyond a burst.
_WAITING_PART = 0.3


class Ownership:
    """The quota owners, as this node sees them."""

    def __init__(
        self,
        own: keys.NodeRecord,
        nodes: Mapping[str, keys.NodeRecord],
        is_listed: Callable[[], bool],
        confirmed_at: Callable[[], float],
        valid_s: float,
    ):
        """Creates an instance that has heard of no request.

        Args:
          own: this node's record.
          nodes: all nodes by name, including this one; kept up to date.
          is_listed: returns whether the store has this node's record; without
            it, other nodes choose other owners.
          confirmed_at: returns the monotonic time in seconds at which the store
            last confirmed `nodes`.
          valid_s: seconds after a confirmation during which no other node can
            have replaced this one as the owner.
        """
        self._own = own
        self._nodes = nodes
        self._is_listed = is_listed
        self._confirmed_at = confirmed_at
        self._valid_s = valid_s
        self._names: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}
        self._heard_at: dict[tuple[str, int], float] = {}
        self._checked_at = float("-inf")
        # Monotonic time in seconds from which this node grants; None if it is
        # not sure to be the owner.
        self._grants_from: float | None = None

    @property
    def node_count(self) -> int:
        """Number of nodes in the store."""
        return len(self._nodes)

    @property
    def is_known(self) -> bool:
        """Whether the store has ever listed the nodes."""
        return self._confirmed_at() > float("-inf")

    def owner_of(self, workspace: str) -> keys.NodeRecord:
        """Returns the record of a workspace's quota owner."""
        names = tuple(self._nodes)
        if not self._is_listed() and len(names) > 1:
            names = tuple(n for n in names if n != self._own.name)
        if names != self._names:
            self._names = names
            self._owners.clear()
        owner = self._owners.get(workspace)
        if owner is None:
            owner = rendezvous.first_server(workspace.encode(), names)
            self._owners[workspace] = owner
        return self._nodes[owner]

    def is_owner(self, workspace: str) -> bool:
        """Returns whether this node is a workspace's quota owner."""
        return self.owner_of(workspace).name == self._own.name

    def heard(self, host: str, port: int, now: float) -> None:
        """Records that a node takes this one for an owner."""
        self._heard_at[(host, port)] = now

    def view_is_valid(self, now: float) -> bool:
        """Returns whether the store has confirmed the nodes recently."""
        return now <= self._confirmed_at() + self._valid_s

    def granted_part(self, now: float) -> float:
        """Returns the part of each quota that this node may grant, 0 to 1.

        Less than 1 means that it is not sure to be the owner; see `may_grant`.
        """
        if self.may_grant(now):
            return 1.0
        return 0.0 if self._grants_from is None else _WAITING_PART

    def may_grant(self, now: float) -> bool:
        """Returns whether this node is surely the owner it takes itself for.

        Must be called at least once per `valid_s`; after a longer pause the
        process was frozen, and another node may have been the owner.

        A node that is not sure, because it has just started or was cut off,
        waits for `valid_s` once it is: until then the previous owner may still
        grant, since it has not heard of this node and its view is still valid.
        """
        was_frozen = now > self._checked_at + self._valid_s
        self._checked_at = now
        is_owner = self._is_listed() and self._is_sure(now)
        if was_frozen or not is_owner:
            self._grants_from = None
            return False
        if self._grants_from is None:
            self._grants_from = now + self._valid_s
        return now >= self._grants_from

    def _is_sure(self, now: float) -> bool:
        """Returns whether no other node can have replaced this one.

        While the store is unavailable nobody can be replaced.  An owner cannot
        tell this from a partition that separates it from the store, unless more
        than half of all nodes still ask it.
        """
        if self.view_is_valid(now):
            return True
        if not self.is_known:
            return False
        for sender, at in list(self._heard_at.items()):
            if at < now - _HEARD_S:
                del self._heard_at[sender]
        others = self._heard_at.keys() - {(self._own.host, self._own.port)}
        return 2 * (1 + len(others)) > len(self._nodes)
