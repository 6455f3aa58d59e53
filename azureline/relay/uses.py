"""References to the adapters of one engine from requests in flight.

The engine's controller keeps them, so that it does not evict an adapter in use.
"""

import collections
from typing import NamedTuple

# A reference expires after this time, in case the release message was lost or
# the requesting node crashed.  No route allows a request more than 15 s.
_MAX_REFERENCE_AGE_S = 15.0


class User(NamedTuple):
    """Identifies a request by its reservation request.

    Attributes:
      host: IP address of the node that sent the reservation request.
      port: UDP port of that node.
      ask: number of the reservation request.
    """

    host: str
    port: int
    ask: int


class Uses:
    """Adapter references of requests that have not ended."""

    def __init__(self):
        # By time of the last grant, oldest first.
        self._references: collections.OrderedDict[
            User, tuple[str, str, float]
        ] = collections.OrderedDict()

    def begin(self, user: User, model: str, adapter: str, now: float) -> None:
        """Adds or renews a request's reference to an adapter.

        A request has one reference, even if it is granted repeatedly.
        """
        self._references[user] = (model, adapter, now)
        self._references.move_to_end(user)

    def end(self, user: User) -> None:
        """Removes the reference of a request that ended or was never sent.

        Does nothing if there is none.
        """
        self._references.pop(user, None)

    def adapters(self, now: float) -> set[tuple[str, str]]:
        """Returns the (model, adapter) pairs that are in use."""
        while self._references:
            user, (_, _, since) = next(iter(self._references.items()))
            if since + _MAX_REFERENCE_AGE_S > now:
                break
            del self._references[user]
        return {(model, name) for model, name, _ in self._references.values()}
