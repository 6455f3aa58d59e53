"""Collects demand per model from all nodes at the planner.

Each node sends what it saw in the last period to an aggregator in its own
failure domain, which passes on one sum; the planner hears only the
aggregators.  A small fleet reports to the planner directly.  Sums are soft
state: a reporter that falls silent is dropped after a few periods, and nobody
waits for anybody.
"""

import hashlib
import math
from typing import NamedTuple

PERIOD_S = 15.0
FAN_IN = 16
KEPT_PERIODS = 2.5
LOWEST_RATE = 0.5
STEP = 1.07
MAX_CODE = 255


class DemandReport(NamedTuple):
    """What one node, or all that report to it, saw in a period.

    Attributes:
      sender: name of the node.
      nodes: number of nodes whose demand is in it.
      config_version: the configuration whose sorted model names the indices
        refer to.
      rates: a byte for each model, in the order of the sorted names, that
        codes its tokens per second on a logarithmic scale; see `encode`.
    """

    sender: str
    nodes: int
    config_version: int
    rates: bytes


class Node(NamedTuple):
    """A live node, as far as collection is concerned.

    Attributes:
      name: name of the node.
      domain: its failure domain.
    """

    name: str
    domain: str


MESSAGES: dict[int, type] = {54: DemandReport}


def encode(rate: float) -> int:
    """Returns the code of a rate; it is off by at most 3.5%.

    Args:
      rate: tokens per second; below `LOWEST_RATE` it counts as none.
    """
    if rate < LOWEST_RATE:
        return 0
    code = 1 + round(math.log(rate / LOWEST_RATE, STEP))
    return min(code, MAX_CODE)


def decode(code: int) -> float:
    """Returns the tokens per second that a code stands for."""
    return LOWEST_RATE * STEP ** (code - 1) if code else 0.0


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
        self._counts: dict[int, float] = {}
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

    def count(self, model: int, tokens: float) -> None:
        """Counts work that was asked of the model with this index."""
        self._counts[model] = self._counts.get(model, 0.0) + tokens

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
        total = self.rates(now)
        models = max(total, default=-1) + 1
        rates = bytes(encode(total.get(m, 0.0)) for m in range(models))
        nodes = 1 + sum(r.nodes for _, r in self._heard.values())
        return DemandReport(self._name, nodes, self._config_version, rates)

    def rates(self, now: float) -> dict[int, float]:
        """Returns tokens per second by model index, own ones included."""
        self._drop_old(now)
        total = dict(self._own)
        for _, report in self._heard.values():
            for model, code in enumerate(report.rates):
                if code:
                    total[model] = total.get(model, 0.0) + decode(code)
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
