"""Which adapters of an engine running requests use, as its holder knows."""

import collections
from typing import NamedTuple

# A request whose end was not told has ended by now: its node may be gone, or
# the message was lost.  The longest time that routes give is 15 s.
_LONGEST_S = 15.0


class User(NamedTuple):
    """A request, by the question that its node asked for it.

    Attributes:
      host: the node's IP address.
      port: the node's UDP port.
      ask: the question's number.
    """

    host: str
    port: int
    ask: int


class Uses:
    """Requests that were granted an adapter and have not ended."""

    def __init__(self):
        # In the order in which they began.
        self._uses: collections.OrderedDict[User, tuple[str, str, float]] = (
            collections.OrderedDict()
        )

    def begin(self, user: User, model: str, adapter: str, now: float) -> None:
        """Counts a request in; once, however often it was granted."""
        self._uses[user] = (model, adapter, now)
        self._uses.move_to_end(user)

    def end(self, user: User) -> None:
        """Learns that a request has ended, or was never sent."""
        self._uses.pop(user, None)

    def adapters(self, now: float) -> set[tuple[str, str]]:
        """Returns (model, adapter) of those in use."""
        while self._uses:
            user, (_, _, since) = next(iter(self._uses.items()))
            if since + _LONGEST_S > now:
                break
            del self._uses[user]
        return {(model, name) for model, name, _ in self._uses.values()}
