"""How many sends beyond the first of each request a node may make.

All nodes share one budget per service: a part of the requests for it within
a sliding window, and a fixed allowance.  Each node keeps to the part that its
own requests bring and to an equal share of the allowance, so that no message
is needed.
"""

import collections
from typing import NamedTuple

# Share of the fleet's budget that nodes plan with: requests are counted by
# the backend servers, a little later than here.
_USED = 0.8


class Terms(NamedTuple):
    """The budget of the whole fleet.

    Attributes:
      ratio: sends beyond the first, per request.
      window_s: seconds of the sliding window.
      allowance: sends beyond the first that are always allowed.
    """

    ratio: float
    window_s: float
    allowance: float


class RepeatBudget:
    """Sends of one node, by service, within the window."""

    def __init__(self, terms: Terms):
        """Creates a budget that nothing was taken from."""
        self._terms = terms
        self._nodes = 1
        self._first: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def set_nodes(self, nodes: int) -> None:
        """Takes the number of nodes that share the allowance."""
        self._nodes = max(1, nodes)

    def sent_first(self, service: str, now: float) -> None:
        """Counts the first send of a request."""
        self._recent(self._first, service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Takes one more send from the budget; False if there is none."""
        repeats = self._recent(self._repeats, service, now)
        if len(repeats) + 1 > self._allowed(service, now):
            return False
        repeats.append(now)
        return True

    def _allowed(self, service: str, now: float) -> float:
        first = len(self._recent(self._first, service, now))
        share = self._terms.allowance / self._nodes
        return _USED * (self._terms.ratio * first + share)

    def _recent(
        self,
        sends: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = sends.setdefault(service, collections.deque())
        while times and times[0] <= now - self._terms.window_s:
            times.popleft()
        return times
