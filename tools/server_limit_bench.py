"""Compares ways to keep a server's limit over all nodes.

Run `python -m tools.server_limit_bench`.  On a virtual clock and under the same
demand it drives the grants of `azureline.relay`, fixed shares of the limit,
shares lent by demand, and a window that nodes agree on by gossip, and writes
docs/results/server_limits.json.
"""

import collections
from collections.abc import Callable
import json
import pathlib
import random
import statistics
import time
from typing import NamedTuple

import typer

from azureline.core import rate_schedule
from azureline.relay import messages
from tests import builders_limits

RESULTS = pathlib.Path("docs/results/server_limits.json")
NODES = (8, 75, 195, 360)
LIMIT_PER_S = 4.0
# Requests a second for each call a second that the server takes.
OVERLOAD = 10.0
SECONDS = 30.0
WARM_UP_S = 5.0
STEP_S = 0.05
# One way between nodes.
DELAY_S = 0.005
WINDOW_S = 4.0
PATIENCE_S = 1.0
HEADER_BYTES = 28
LEND_INTERVAL_S = 1.0
GOSSIP_INTERVAL_S = 0.2


class Row(NamedTuple):
    """Results of one way at one size.

    Attributes:
      way: "fixed", "lent", "gossip" or "granted".
      nodes: number of nodes.
      callers: "one node" or "all nodes".
      used: calls that reached the server as a part of what its limit allows.
      most_in_window: most calls in 4 s; the rule allows 29.
      messages_per_s: messages of all nodes per second.
      bytes_per_s: bytes per second of the node that sends and receives most.
      wait_ms: mean time from a request's arrival until its call, in ms.
    """

    way: str
    nodes: int
    callers: str
    used: float
    most_in_window: int
    messages_per_s: float
    bytes_per_s: float
    wait_ms: float


class _Traffic:
    """Counts messages and their bytes by node."""

    def __init__(self) -> None:
        self.count = 0
        self.by_node: collections.Counter[int] = collections.Counter()

    def add(self, sender: int, receiver: int, size: int) -> None:
        if sender != receiver:
            self.count += 1
            self.by_node[sender] += size + HEADER_BYTES
            self.by_node[receiver] += size + HEADER_BYTES


class Fixed:
    """Gives each node the same part of the limit."""

    def __init__(self, nodes: int, traffic: _Traffic):
        self._shares = [
            rate_schedule.RateSchedule(LIMIT_PER_S / nodes, 1.0, 0.0)
            for _ in range(nodes)
        ]

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns the calls that each node sends in this step."""
        return [
            _book(share, now, count)
            for share, count in zip(self._shares, waiting, strict=True)
        ]


class Lent:
    """Divides the limit anew each second by the demand that nodes report."""

    def __init__(self, nodes: int, traffic: _Traffic):
        self._traffic = traffic
        self._shares: list[rate_schedule.RateSchedule | None] = [None] * nodes
        self._seen = [0] * nodes
        self._next_at = 0.0

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns the calls that each node sends in this step."""
        self._seen = [s + w for s, w in zip(self._seen, waiting, strict=True)]
        if now >= self._next_at:
            self._next_at = now + LEND_INTERVAL_S
            self._divide(now)
        return [
            _book(share, now, count) if share else 0
            for share, count in zip(self._shares, waiting, strict=True)
        ]

    def _divide(self, now: float) -> None:
        total = sum(self._seen)
        for node, seen in enumerate(self._seen):
            if not seen:
                self._shares[node] = None
                continue
            self._traffic.add(node, 0, 30)
            self._traffic.add(0, node, 30)
            rate = LIMIT_PER_S * seen / total
            share = self._shares[node]
            if share is None:
                share = rate_schedule.RateSchedule(rate, 1.0, now)
                share.charge(now)
                self._shares[node] = share
            share.set_rate(rate, now)
        self._seen = [0] * len(self._seen)


class Gossip:
    """Nodes tell random others the calls of the last window that they know."""

    def __init__(self, nodes: int, traffic: _Traffic):
        self._traffic = traffic
        self._rng = random.Random(nodes)
        self._known: list[dict[tuple[int, int], float]] = [
            {} for _ in range(nodes)
        ]
        self._numbers = [0] * nodes
        self._next_at = 0.0

    def step(self, now: float, waiting: list[int]) -> list[int]:
        """Returns the calls that each node sends in this step."""
        if now >= self._next_at:
            self._next_at = now + GOSSIP_INTERVAL_S
            self._tell(now)
        return [self._send(n, now, count) for n, count in enumerate(waiting)]

    def _tell(self, now: float) -> None:
        for node, known in enumerate(self._known):
            recent = {k: at for k, at in known.items() if at > now - WINDOW_S}
            self._known[node] = recent
            if not recent:
                continue
            other = self._rng.randrange(len(self._known))
            self._traffic.add(node, other, 10 + 12 * len(recent))
            self._known[other].update(recent)

    def _send(self, node: int, now: float, count: int) -> int:
        known = self._known[node]
        sent = 0
        for _ in range(count):
            window = sum(at > now - WINDOW_S for at in known.values())
            if window >= LIMIT_PER_S * WINDOW_S:
                break
            self._numbers[node] += 1
            known[(node, self._numbers[node])] = now
            sent += 1
        return sent


def _book(share: rate_schedule.RateSchedule, now: float, count: int) -> int:
    sent = 0
    while sent < count and share.book(now, 0.0) is not None:
        sent += 1
    return sent


def _arrivals(nodes: int, one_node: bool, rng: random.Random) -> list[int]:
    """Returns the requests that arrive at each node in a step."""
    counts = [0] * nodes
    expected = LIMIT_PER_S * OVERLOAD * STEP_S
    whole = int(expected) + (rng.random() < expected % 1.0)
    for _ in range(whole):
        counts[0 if one_node else rng.randrange(nodes)] += 1
    return counts


def _row(
    way: str,
    nodes: int,
    one_node: bool,
    calls: list[float],
    waits: list[float],
    traffic: _Traffic,
) -> Row:
    counted = sorted(at for at in calls if at >= WARM_UP_S)
    most = max(
        (sum(at <= o < at + WINDOW_S for o in counted) for at in counted),
        default=0,
    )
    busiest = max(traffic.by_node.values(), default=0)
    return Row(
        way,
        nodes,
        "one node" if one_node else "all nodes",
        round(len(counted) / (LIMIT_PER_S * (SECONDS - WARM_UP_S)), 2),
        most,
        round(traffic.count / SECONDS, 1),
        round(busiest / SECONDS, 1),
        round(1000 * statistics.mean(waits), 1) if waits else 0.0,
    )


def play(
    way: str,
    make: Callable[[int, _Traffic], Fixed | Lent | Gossip],
    nodes: int,
    one_node: bool,
) -> Row:
    """Plays a way that decides in steps."""
    rng, traffic = random.Random(1), _Traffic()
    sharing = make(nodes, traffic)
    queues = [collections.deque[float]() for _ in range(nodes)]
    calls, waits = [], []
    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        for queue, count in zip(
            queues, _arrivals(nodes, one_node, rng), strict=True
        ):
            queue.extend([now] * count)
            while queue and now - queue[0] > PATIENCE_S:
                queue.popleft()
        for node, count in enumerate(
            sharing.step(now, [len(q) for q in queues])
        ):
            for _ in range(count):
                waits.append(now - queues[node].popleft())
                calls.append(now)
    return _row(way, nodes, one_node, calls, waits, traffic)


def play_granted(nodes: int, one_node: bool) -> tuple[Row, float]:
    """Plays the grants of the relay; returns also processor time in ms/s."""
    rng, traffic = random.Random(1), _Traffic()
    fleet = builders_limits.Fleet(nodes)
    codec = messages.codec()
    fleet.on_message = lambda sender, receiver, message: traffic.add(
        sender, receiver, len(codec.pack(message))
    )
    fleet.name_limit("s0", LIMIT_PER_S)
    began, used = fleet.clock.now(), time.process_time()
    for _ in range(int(SECONDS / STEP_S)):
        for node, count in enumerate(_arrivals(nodes, one_node, rng)):
            if count:
                fleet.call(node, count)
        fleet.advance(STEP_S)
    used = time.process_time() - used
    calls = [a.at - began for a in fleet.arrivals["s0"]]
    return _row("granted", nodes, one_node, calls, fleet.waits, traffic), round(
        1000 * used / SECONDS, 1
    )


def main(output: pathlib.Path = RESULTS) -> None:
    """Plays all ways at all sizes and writes the results."""
    rows = []
    for nodes in NODES:
        for one_node in (True, False):
            for way, make in (
                ("fixed", Fixed),
                ("lent", Lent),
                ("gossip", Gossip),
            ):
                rows.append(play(way, make, nodes, one_node)._asdict())
                typer.echo(str(rows[-1]))
            row, cpu = play_granted(nodes, one_node)
            rows.append({**row._asdict(), "all_nodes_cpu_ms_per_s": cpu})
            typer.echo(str(rows[-1]))
    output.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
