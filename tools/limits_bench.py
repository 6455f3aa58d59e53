"""Measures the local concurrency limits of many nodes that share one engine.

Run as `python -m tools.limits_bench`.  Every node always has a call to send,
which is a heavier load than any real engine gets, and only the limits bound
the number of calls in flight.
"""

import itertools
import random
from typing import NamedTuple

from azureline import requests
from azureline.routing import limits
from azureline.routing import outcome
from tools import engine_model

NODES = (8, 24, 45, 100, 360)
WARM_UP_S = 100.0
MAX_RUNNING = 64
TOKEN_GAP_S = 0.079


class Figures(NamedTuple):
    """Results of one run after the warm-up.

    Attributes:
      tokens_s: tokens per second that the engine generated.
      in_bound: fraction of the answers with a mean token gap within its bound.
      most: largest number of concurrent calls.
    """

    tokens_s: float
    in_bound: float
    most: int


class Bench:
    """One engine without a batch limit and the limits of its nodes."""

    def __init__(self, nodes: int, seed: int):
        """Creates idle nodes.

        Args:
          nodes: number of nodes that share the engine.
          seed: seed of all randomness.
        """
        self.loop = engine_model.Loop()
        self.engine = engine_model.Engine(
            self.loop, engine_model.Spec("e", max_running=10**6)
        )
        self.rng = random.Random(seed)
        settings = limits.settings_for_fleet(MAX_RUNNING, nodes)
        self.limits = [
            limits.Limits(settings, random.Random(f"{seed}/{i}"))
            for i in range(nodes)
        ]
        self.running: list[dict[str, engine_model.Job]] = [
            {} for _ in range(nodes)
        ]
        self.gaps: list[float] = []
        self.most = 0
        self._request_numbers = itertools.count()

    def run(self, seconds: float) -> Figures:
        """Runs the warm-up and then measures for `seconds` of virtual time."""
        for node in range(len(self.limits)):
            self.loop.at(
                self.rng.random(), lambda n=node: self._report_progress(n)
            )
        self.loop.run(WARM_UP_S)
        tokens_before = self.engine.tokens_made
        self.gaps.clear()
        self.most = 0
        self.loop.run(WARM_UP_S + seconds)
        answers_in_bound = sum(1 for gap in self.gaps if gap <= TOKEN_GAP_S)
        made = self.engine.tokens_made - tokens_before
        return Figures(
            made / seconds, answers_in_bound / len(self.gaps), self.most
        )

    def _report_progress(self, node: int) -> None:
        """Reports the token gap of open streams to the limits each second."""
        gap_s = self.engine.spec.gap_s(self.engine.load.running)
        for _ in self.running[node]:
            self.limits[node].observed(self.loop.now, "e", None, gap_s)
        self._send_calls(node)
        self.loop.at(self.loop.now + 1.0, lambda: self._report_progress(node))

    def _send_calls(self, node: int) -> None:
        while self.limits[node].has_capacity(self.loop.now, "e"):
            name = f"r{next(self._request_numbers)}"
            call = requests.ModelCall(
                name, "c", "m", "", requests.Priority.NORMAL, 1e9, 200, 150,
                b"", name.encode(),
            )  # fmt: skip
            job = engine_model.Job(
                call,
                self.rng.randint(50, 150),
                lambda job: self._job_ended(node, job),
            )
            self.limits[node].started(self.loop.now, "e")
            self.running[node][name] = job
            self.engine.submit(job)
        self.most = max(self.most, self.engine.load.running)

    def _job_ended(self, node: int, job: engine_model.Job) -> None:
        now = self.loop.now
        del self.running[node][job.call.request_id]
        gap_s = (now - job.first_at) / job.tokens
        self.gaps.append(gap_s)
        sample = outcome.Sample(
            outcome.Outcome.WHOLE,
            now - job.sent_at,
            job.first_at - job.sent_at,
            gap_s,
            job.tokens,
        )
        self.limits[node].finished(now, "e", sample)
        self._send_calls(node)


def main() -> None:
    """Prints a Markdown table."""
    best_rate = engine_model.Spec("e").capacity(TOKEN_GAP_S)[1]
    print(f"| nodes | seed | tokens/s of {best_rate:.0f} | in bound | most |")
    print("|---|---|---|---|---|")
    for nodes in NODES:
        for seed in (1, 2):
            figures = Bench(nodes, seed).run(200.0)
            print(
                f"| {nodes} | {seed} | {figures.tokens_s:.0f}"
                f" | {figures.in_bound:.3f} | {figures.most} |"
            )


if __name__ == "__main__":
    main()
