"""References to the adapters of one engine from requests in flight.

The engine's controller keeps them, so that it does not evict an adapter in use.
"""

import collections
from typing import NamedTuple

# A reference expires after this time, in case the release message was lost or
# the requesting node crashed.  No route allows a request more than 15 s.
_MAX_REFERENCE_AGE_S = 15.0


class ReferenceKey(NamedTuple):
    """Identifies a request by its reservation request.

    Attributes:
      host: IP address of the node that sent the reservation request.
      port: UDP port of that node.
      reservation_id: number of the reservation request.
    """

    host: str
    port: int
    reservation_id: int


class AdapterReferences:
    """Adapter references of requests that have not ended."""

    def __init__(self):
        # By time of the last grant, oldest first.
        self._references: collections.OrderedDict[
            ReferenceKey, tuple[str, str, float]
        ] = collections.OrderedDict()

    def add(
        self, key: ReferenceKey, model: str, adapter: str, now: float
    ) -> None:
        """Adds or renews a request's reference to an adapter.

        A request has one reference, even if it is granted repeatedly.
        """
        self._references[key] = (model, adapter, now)
        self._references.move_to_end(key)

    def remove(self, key: ReferenceKey) -> None:
        """Removes the reference of a request that ended or was never sent.

        Does nothing if there is none.
        """
        self._references.pop(key, None)

    def in_use(self, now: float) -> set[tuple[str, str]]:
        """Returns the (model, adapter) pairs that are in use."""
        while self._references:
            key, (_, _, since) = next(iter(self._references.items()))
            if since + _MAX_REFERENCE_AGE_S > now:
                break
            del self._references[key]
        return {(model, name) for model, name, _ in self._references.values()}
