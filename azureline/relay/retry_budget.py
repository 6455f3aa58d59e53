"""Retry budget: how many sends beyond each request's first a node may make.

All nodes share one budget per service: a ratio of the service's requests within
a sliding window, plus a fixed allowance.  Each node uses the ratio of its own
requests and an equal share of the allowance, so nodes need not exchange
messages about it.
"""

import collections
from typing import NamedTuple

# Part of the budget that nodes use, because the backend servers count requests
# a little later than the nodes.
_USED_RATIO = 0.8


class BudgetTerms(NamedTuple):
    """The budget of all nodes together.

    Attributes:
      ratio: retries per request.
      window_s: length of the sliding window in seconds.
      allowance: retries per window that are allowed without requests.
    """

    ratio: float
    window_s: float
    allowance: float


class RetryBudget:
    """Retry budget of one node: its sends per service within the window."""

    def __init__(self, terms: BudgetTerms):
        """Creates an unused budget."""
        self._terms = terms
        self._nodes = 1
        self._first_sends: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_nodes(self, nodes: int) -> None:
        """Sets the number of nodes that share the allowance."""
        self._nodes = max(1, nodes)

    def record_first_send(self, service: str, now: float) -> None:
        """Counts the first send of a request."""
        self._recent(self._first_sends, service, now).append(now)

    def spend(self, service: str, now: float) -> bool:
        """Takes a retry from the budget; returns False if it is used up."""
        retries = self._recent(self._retries, service, now)
        if len(retries) + 1 > self._max_retries(service, now):
            return False
        retries.append(now)
        return True

    def _max_retries(self, service: str, now: float) -> float:
        requests = len(self._recent(self._first_sends, service, now))
        share = self._terms.allowance / self._nodes
        return _USED_RATIO * (self._terms.ratio * requests + share)

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
