"""Aggregates the demand per model of all nodes at the planner.

Each node reports the demand of the last period to an aggregator in its own
failure domain, which forwards the sum; the planner receives reports from the
aggregators only.  In a small fleet all nodes report to the planner directly.
Sums are soft state: the report of a node that stops reporting is dropped after
`REPORT_TTL_PERIODS` periods, and no node waits for another.
"""

import hashlib
import math
from typing import NamedTuple

PERIOD_S = 15.0
FAN_IN = 16
REPORT_TTL_PERIODS = 2.5
LOWEST_RATE = 0.5
RATE_STEP = 1.07
MAX_CODE = 255


class DemandReport(NamedTuple):
    """The demand in one period at a node and at all that report to it.

    Attributes:
      sender: name of the reporting node.
      nodes: number of nodes whose demand is included.
      config_version: the configuration whose sorted model names the indices
        refer to.
      rates: one byte per model, in the order of the sorted names, that encodes
        its tokens per second on a logarithmic scale; see `encode`.
    """

    sender: str
    nodes: int
    config_version: int
    rates: bytes


class ReportingNode(NamedTuple):
    """A live node that takes part in the aggregation.

    Attributes:
      name: name of the node.
      domain: its failure domain.
    """

    name: str
    domain: str


MESSAGES: dict[int, type] = {54: DemandReport}


def encode(rate: float) -> int:
    """Returns the code of a rate, with a relative error of at most 3.5%.

    Rates above the rate of `MAX_CODE` are clipped to it.

    Args:
      rate: tokens per second; rates below `LOWEST_RATE` are encoded as 0.
    """
    if rate < LOWEST_RATE:
        return 0
    code = 1 + round(math.log(rate / LOWEST_RATE, RATE_STEP))
    return min(code, MAX_CODE)


def decode(code: int) -> float:
    """Returns the tokens per second that a code represents."""
    return LOWEST_RATE * RATE_STEP ** (code - 1) if code else 0.0


def report_target(name: str, nodes: list[ReportingNode], planner: str) -> str:
    """Returns the name of the node to which a node sends its report.

    Nodes with temporarily different membership views may choose different
    aggregators; the planner then counts a node twice, or not at all, until
    the older report is dropped.

    Args:
      name: the sending node.
      nodes: the live nodes, the sender included.
      planner: name of the node that runs the planner.
    """
    if len(nodes) <= 2 * FAN_IN:
        return planner
    domain = next((n.domain for n in nodes if n.name == name), None)
    peers = sorted(
        (n.name for n in nodes if n.domain == domain and n.name != planner),
        key=_name_hash,
    )
    if name not in peers:
        return planner
    aggregators = peers[: -(-len(peers) // FAN_IN)]
    if name in aggregators:
        return planner
    return aggregators[peers.index(name) % len(aggregators)]


class DemandAggregator:
    """Counts a node's own demand and adds the reports that it receives."""

    def __init__(self, name: str):
        """Creates an aggregator without any demand.

        Args:
          name: name of this node.
        """
        self._name = name
        self._counts: dict[int, float] = {}
        self._period_start = 0.0
        self._own_rates: dict[int, float] = {}
        self._reports: dict[str, tuple[float, DemandReport]] = {}
        self._config_version = 0

    def configure(self, now: float, config_version: int) -> None:
        """Drops all counts and adopts a new configuration's model indices."""
        self._config_version = config_version
        self._counts.clear()
        self._own_rates.clear()
        self._reports.clear()
        self._period_start = now

    def add_demand(self, model: int, tokens: float) -> None:
        """Counts tokens that were requested from the model with this index."""
        self._counts[model] = self._counts.get(model, 0.0) + tokens

    def add_report(self, now: float, report: DemandReport) -> bool:
        """Stores another node's report, replacing its previous one.

        Returns:
          False if it refers to another configuration and was dropped.
        """
        if report.config_version != self._config_version:
            return False
        self._reports[report.sender] = (now, report)
        return True

    def report(self, now: float) -> DemandReport:
        """Ends a period and returns the sum of own and received demand."""
        elapsed = max(1e-3, now - self._period_start)
        self._own_rates = {m: n / elapsed for m, n in self._counts.items()}
        self._counts.clear()
        self._period_start = now
        total = self.rates(now)
        models = max(total, default=-1) + 1
        rates = bytes(encode(total.get(m, 0.0)) for m in range(models))
        nodes = 1 + sum(r.nodes for _, r in self._reports.values())
        return DemandReport(self._name, nodes, self._config_version, rates)

    def rates(self, now: float) -> dict[int, float]:
        """Returns tokens per second by model index, including own demand."""
        self._drop_expired(now)
        total = dict(self._own_rates)
        for _, report in self._reports.values():
            for model, code in enumerate(report.rates):
                if code:
                    total[model] = total.get(model, 0.0) + decode(code)
        return total

    def _drop_expired(self, now: float) -> None:
        kept_s = REPORT_TTL_PERIODS * PERIOD_S
        self._reports = {
            sender: (at, report)
            for sender, (at, report) in self._reports.items()
            if now - at <= kept_s
        }


def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
