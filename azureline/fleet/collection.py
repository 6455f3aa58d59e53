"""Collects demand per model from all nodes at the planner.

Each node sends what it saw in the last period to an aggregator in its own
failure domain, which passes on one sum; the planner hears only the
aggregators.  A small fleet reports to the planner directly.  Sums are soft
state: a reporter that falls silent is dropped after a few periods, and nobody
waits for anybody.
"""

import hashlib
from typing import NamedTuple

PERIOD_S = 15.0
FAN_IN = 16
KEPT_PERIODS = 2.5
RATE_UNIT = 0.01


class DemandReport(NamedTuple):
    """What one node, or all that report to it, saw in a period.

    Attributes:
      sender: name of the node.
      nodes: number of nodes whose demand is in it.
      config_version: the configuration whose sorted model names the indices
        refer to.
      rates: pairs of a model's index and its requests per second, the latter
        as a whole number of `RATE_UNIT`.
    """

    sender: str
    nodes: int
    config_version: int
    rates: tuple[tuple[int, int], ...]


class Node(NamedTuple):
    """A live node, as far as collection is concerned.

    Attributes:
      name: name of the node.
      domain: its failure domain.
    """

    name: str
    domain: str


MESSAGES: dict[int, type] = {54: DemandReport}


def parent(name: str, nodes: list[Node], planner: str) -> str:
    """Returns the node that a node sends its report to.

    Nodes whose views of the fleet differ for a moment may choose different
    aggregators; the planner then counts a node twice, or not at all, until
    the older report is dropped.

    Args:
      name: the sending node.
      nodes: the live nodes, the sender included.
      planner: name of the node that plans.
    """
    if len(nodes) <= 2 * FAN_IN:
        return planner
    domain = next((n.domain for n in nodes if n.name == name), None)
    peers = sorted(
        (n.name for n in nodes if n.domain == domain and n.name != planner),
        key=_weight,
    )
    if name not in peers:
        return planner
    aggregators = peers[: -(-len(peers) // FAN_IN)]
    if name in aggregators:
        return planner
    return aggregators[peers.index(name) % len(aggregators)]


class Collector:
    """Counts a node's own demand and sums what is reported to it."""

    def __init__(self, name: str):
        """Creates a collector without any demand.

        Args:
          name: name of this node.
        """
        self._name = name
        self._counts: dict[int, int] = {}
        self._since = 0.0
        self._own: dict[int, float] = {}
        self._heard: dict[str, tuple[float, DemandReport]] = {}
        self._config_version = 0

    def configure(self, now: float, config_version: int) -> None:
        """Starts anew under another configuration's model indices."""
        self._config_version = config_version
        self._counts.clear()
        self._own.clear()
        self._heard.clear()
        self._since = now

    def count(self, model: int) -> None:
        """Counts a request for the model with this index."""
        self._counts[model] = self._counts.get(model, 0) + 1

    def heard(self, now: float, report: DemandReport) -> bool:
        """Takes another node's report.

        Returns:
          False if it refers to another configuration and is dropped.
        """
        if report.config_version != self._config_version:
            return False
        self._heard[report.sender] = (now, report)
        return True

    def report(self, now: float) -> DemandReport:
        """Ends a period and returns the sum of what this node knows."""
        elapsed = max(1e-3, now - self._since)
        self._own = {m: n / elapsed for m, n in self._counts.items()}
        self._counts.clear()
        self._since = now
        rates = tuple(
            (model, round(rate / RATE_UNIT))
            for model, rate in sorted(self.rates(now).items())
            if rate >= RATE_UNIT / 2
        )
        nodes = 1 + sum(r.nodes for _, r in self._heard.values())
        return DemandReport(self._name, nodes, self._config_version, rates)

    def rates(self, now: float) -> dict[int, float]:
        """Returns requests per second by model index, own ones included."""
        self._drop_old(now)
        total = dict(self._own)
        for _, report in self._heard.values():
            for model, rate in report.rates:
                total[model] = total.get(model, 0.0) + rate * RATE_UNIT
        return total

    def _drop_old(self, now: float) -> None:
        kept_s = KEPT_PERIODS * PERIOD_S
        self._heard = {
            sender: (at, report)
            for sender, (at, report) in self._heard.items()
            if now - at <= kept_s
        }


def _weight(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
