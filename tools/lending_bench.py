"""Compares ways to share the cap on adapter loads between nodes.

Run `python -m tools.lending_bench`.  On a virtual clock and under the same
bursts it drives the lending code of `azureline.fleet.limits`, a static division
and a token ring, and writes docs/results/policy_limits.json.
"""

import collections
import json
import pathlib
import random
import statistics
from typing import NamedTuple

import typer

from azureline.fleet import limits

STEP_S = 0.01
"""Length of a step in seconds: one adapter load or one message delivery."""

DURATION_S = 60.0
CAP = 40
LOAD = 0.6
"""Mean adapter loads in transit as a fraction of the cap."""

BUSY_PART = 0.2
BURST_S = 2.0
IN_TIME_S = 0.1
WAYS = ("static", "tokens", "lending")
RESULTS = pathlib.Path("docs/results/policy_limits.json")


class Row(NamedTuple):
    """Results of one way to share the cap at one number of nodes.

    Attributes:
      way: "static", "tokens" or "lending".
      nodes: number of nodes that load adapters.
      in_time: fraction of the loads that started within 100 ms, mean over the
        seeds.
      in_time_min: the lowest of these fractions.
      in_time_max: the highest of these fractions.
      messages_per_s: messages per second of all nodes together.
      most_in_transit: largest number of concurrent loads.
    """

    way: str
    nodes: int
    in_time: float
    in_time_min: float
    in_time_max: float
    messages_per_s: float
    most_in_transit: int


class Bursts:
    """Arrivals of adapter loads at nodes that are busy and idle in turn."""

    def __init__(self, nodes: int, rng: random.Random):
        self._rng = rng
        self._mean = LOAD * CAP / (nodes * BUSY_PART)
        self._busy = [rng.random() < BUSY_PART for _ in range(nodes)]

    def arrivals(self, node: int) -> int:
        """Returns the number of loads that arrive at a node in this step."""
        idle_s = BURST_S * (1 - BUSY_PART) / BUSY_PART
        mean_state_s = BURST_S if self._busy[node] else idle_s
        if self._rng.random() < STEP_S / mean_state_s:
            self._busy[node] = not self._busy[node]
        if not self._busy[node]:
            return 0
        count, arrival_at = 0, self._rng.expovariate(self._mean)
        while arrival_at < 1.0:
            count += 1
            arrival_at += self._rng.expovariate(self._mean)
        return count


class Static:
    """Divides the cap once; shares differ by at most one load."""

    def __init__(self, nodes: int):
        self._shares_of_nodes = [
            CAP // nodes + (node < CAP % nodes) for node in range(nodes)
        ]
        self.messages = 0

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns how many loads each node may start."""
        return [
            min(w, p)
            for w, p in zip(waiting, self._shares_of_nodes, strict=True)
        ]


class Tokens:
    """Passes tokens round a ring; a node passes on those it does not use."""

    def __init__(self, nodes: int):
        self._held = [0] * nodes
        self._held[0] = CAP
        self.messages = 0

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns how many loads each node may start."""
        used = [min(w, h) for w, h in zip(waiting, self._held, strict=True)]
        surplus = [h - u for h, u in zip(self._held, used, strict=True)]
        self.messages += sum(1 for s in surplus if s)
        self._held = [u + surplus[node - 1] for node, u in enumerate(used)]
        return used


class Lending:
    """Lends shares of the cap on demand; a message takes one step."""

    def __init__(self, nodes: int):
        self._lender = limits.Lender(CAP)
        self._nodes = [limits.Borrower(str(n)) for n in range(nodes)]
        self._started = [0] * nodes
        self._requests: list[limits.ShareRequest] = []
        self._shares: list[limits.Share] = []
        self.messages = 0

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns how many loads each node may start."""
        for share in self._shares:
            self._nodes[int(share.borrower)].share_received(now, share)
        self._shares = [self._lender.handle(now, r) for r in self._requests]
        self._requests = []
        for node, borrower in enumerate(self._nodes):
            for _ in range(self._started[node]):
                borrower.ended()
            self._started[node] = 0
            while self._started[node] < waiting[node]:
                if not borrower.start(now):
                    break
                self._started[node] += 1
            still_waiting = waiting[node] - self._started[node]
            request = borrower.next_request(now, still_waiting)
            if request is not None:
                self._requests.append(request)
        self.messages += len(self._shares) + len(self._requests)
        return list(self._started)


def run(way: str, nodes: int, seed: int) -> tuple[float, float, int]:
    """Returns the fraction in time, messages per second and most in transit."""
    bursts = Bursts(nodes, random.Random(seed))
    sharing = {"static": Static, "tokens": Tokens, "lending": Lending}[way](
        nodes
    )
    queues = [collections.deque[float]() for _ in range(nodes)]
    total, in_time, most_in_transit = 0, 0, 0
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for node, queue in enumerate(queues):
            arrived = bursts.arrivals(node)
            total += arrived
            queue.extend([now] * arrived)
            while queue and now - queue[0] > IN_TIME_S:
                queue.popleft()
        started = sharing.step(now, [len(queue) for queue in queues])
        most_in_transit = max(most_in_transit, sum(started))
        for node, count in enumerate(started):
            in_time += count
            for _ in range(count):
                queues[node].popleft()
    return in_time / total, sharing.messages / DURATION_S, most_in_transit


def main(seeds: int = 3, output: pathlib.Path = RESULTS) -> None:
    """Runs all ways with 8 and 64 nodes and writes the results."""
    rows = []
    for nodes in (8, 64):
        for way in WAYS:
            results = [run(way, nodes, seed) for seed in range(1, seeds + 1)]
            in_time_shares = [result[0] for result in results]
            rows.append(
                Row(
                    way,
                    nodes,
                    round(statistics.mean(in_time_shares), 3),
                    round(min(in_time_shares), 3),
                    round(max(in_time_shares), 3),
                    round(statistics.mean(r[1] for r in results), 1),
                    max(result[2] for result in results),
                )
            )
            typer.echo(str(rows[-1]))
    output.write_text(json.dumps([r._asdict() for r in rows], indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
