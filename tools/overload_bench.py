"""Measures admission, engine choice and retries under overload.

Run as `python -m tools.overload_bench [--write]`.  Eight nodes run the real
decision code on a virtual clock in front of six modelled engines.  In every
run one engine refuses connections for 10 s, so that the circuit breakers and
retries are exercised.
"""

import argparse
from concurrent import futures
import json
import pathlib
import random
import statistics
from typing import NamedTuple

from azureline import requests
from azureline.routing import admission
from azureline.routing import breaker
from azureline.routing import limits
from azureline.routing import outcome
from azureline.routing import picker
from azureline.routing import retry
from tools import engine_model

RESULTS = pathlib.Path("docs/results/overload.json")
NODES = 8
ENGINES = 6
RUN_S = 120.0
# Arrival window of the calls that are measured.
ARRIVALS_S = (30.0, 60.0)
# Window in which the tokens of answers in time are counted.
WORK_S = (30.0, 90.0)
# Window in which one engine refuses connections.
OUTAGE_S = (45.0, 55.0)
CONNECT_FAILURE_S = 0.01
# Bounds of the random pause before a baseline sends a refused call again.
RESEND_S = (0.5, 2.0)
# Queue length from which an engine of the retry baseline refuses calls.
ENGINE_QUEUE = 64
# Bounds on the first token and on the mean token gap of an answer.
FIRST_TOKEN_S = 1.1
TOKEN_GAP_S = 0.079
# Offered work relative to the capacity of the engines.
LOADS = (0.5, 0.75, 1.0, 1.5, 2.0, 3.0)
SEEDS = (1, 2, 3)
WORKERS = 4


class Kind(NamedTuple):
    """Properties of the calls of one priority class.

    Attributes:
      part: fraction of the offered calls.
      tokens: length of the shortest and of the longest answer.
      budget_s: seconds from arrival to deadline.
    """

    part: float
    tokens: tuple[int, int]
    budget_s: float


KINDS = {
    requests.Priority.URGENT: Kind(0.2, (40, 80), 10.0),
    requests.Priority.NORMAL: Kind(0.3, (50, 150), 20.0),
    requests.Priority.BATCH: Kind(0.5, (100, 200), 60.0),
}
MEAN_TOKENS = sum(k.part * sum(k.tokens) / 2 for k in KINDS.values())


class Figures(NamedTuple):
    """Results of one run.

    Attributes:
      attainment: fraction of the offered calls of each class that completed by
        their deadline with the mean token gap within its bound; for the
        highest class the first token must be within its bound too.
      useful_tokens_s: tokens per second in answers that met their deadline.
      refused: fraction of the offered calls that were never sent.
      sent: number of sends per offered call.
      resent: number of sends per call that was sent at least once.
    """

    attainment: tuple[float, ...]
    useful_tokens_s: float
    refused: float
    sent: float
    resent: float


class GradientLimits(limits.Limits):
    """Scales the limit by the ratio of the target gap to the observed gap."""

    def observed(self, now, engine, first_token_s=None, token_gap_s=None):
        """Moves the limit a tenth of the way to the scaled limit."""
        del first_token_s
        state = self._engine(engine)
        if not token_gap_s or now - state.cut_at < 1.0:
            return
        state.cut_at = now
        target = self._settings.headroom * self._settings.token_gap_s
        ratio = min(1.1, max(0.5, target / token_gap_s))
        state.limit = max(0.125, state.limit * (0.9 + 0.1 * ratio))

    def _cut(self, now, state):
        """Does nothing: `observed` lowers the limit."""

    def _grow(self, state):
        """Does nothing: `observed` raises the limit."""


class _Record:
    """The state and outcome of one offered call."""

    __slots__ = (
        "arrived",
        "call",
        "first_s",
        "gap_s",
        "good",
        "in_time",
        "sends",
        "tokens",
    )

    def __init__(self, call: requests.ModelCall, tokens: int, arrived: float):
        self.call = call
        self.tokens = tokens
        self.arrived = arrived
        self.sends = 0
        self.first_s = None
        self.gap_s = None
        self.in_time = False
        self.good = False


class Bench:
    """One run; subclasses choose the nodes and the limits."""

    limits_class = limits.Limits
    priorities = True

    def __init__(self, load: float, seed: int):
        """Creates the engines, the nodes and the arrivals.

        Args:
          load: offered work relative to the engines' capacity.
          seed: seed of all randomness.
        """
        self.loop = engine_model.Loop()
        self.rng = random.Random(seed)
        specs = [
            engine_model.Spec(f"e{i}", f"d{i % 3}") for i in range(ENGINES)
        ]
        self.engines = {
            s.name: engine_model.Engine(self.loop, s, self.priorities)
            for s in specs
        }
        self.candidates = [
            picker.Candidate(s.name, s.domain, frozenset(), s.max_running)
            for s in specs
        ]
        capacity = sum(s.capacity(TOKEN_GAP_S)[1] for s in specs)
        self.rate = load * capacity / MEAN_TOKENS
        self.records: dict[str, _Record] = {}
        self.useful_tokens = 0
        self.nodes = [self.new_node(i, seed) for i in range(NODES)]

    def run(self) -> Figures:
        """Runs the simulation and returns its results."""
        self._next_arrival()
        self.loop.run(RUN_S)
        return self._figures()

    def new_node(self, index: int, seed: int):
        """Returns a new node."""
        return Node(self, index, seed)

    def gap_s(self, job: engine_model.Job) -> float:
        """Returns the current token gap of a running job in seconds."""
        engine = self.engines[job.engine]
        return engine.spec.gap_s(engine.load.running)

    def down(self, engine: str) -> bool:
        """Returns whether an engine currently refuses connections."""
        start, end = OUTAGE_S
        return engine == "e0" and start <= self.loop.now < end

    def ended(self, record: _Record, job: engine_model.Job) -> None:
        """Records whether a completed answer met its deadline and bounds."""
        now = self.loop.now
        record.in_time = now <= record.call.deadline
        if record.in_time and WORK_S[0] <= now < WORK_S[1]:
            self.useful_tokens += job.tokens
        first_s = job.first_at - record.arrived
        gap_s = (now - job.first_at) / job.tokens
        record.first_s, record.gap_s = first_s, gap_s
        no_first_token_bound = (
            record.call.priority is not requests.Priority.URGENT
        )
        first_token_in_bound = no_first_token_bound or first_s <= FIRST_TOKEN_S
        record.good = (
            record.in_time and first_token_in_bound and gap_s <= TOKEN_GAP_S
        )

    def _next_arrival(self) -> None:
        call, tokens = self._new_call()
        record = _Record(call, tokens, self.loop.now)
        self.records[call.request_id] = record
        self.rng.choice(self.nodes).arrived(record)
        wait_s = self.rng.expovariate(self.rate)
        self.loop.at(self.loop.now + wait_s, self._next_arrival)

    def _new_call(self) -> tuple[requests.ModelCall, int]:
        weights = [k.part for k in KINDS.values()]
        priority = self.rng.choices(list(KINDS), weights)[0]
        kind = KINDS[priority]
        tokens = self.rng.randint(*kind.tokens)
        name = f"r{len(self.records)}"
        call = requests.ModelCall(
            request_id=name,
            caller=f"c{self.rng.randrange(20)}",
            model="seam",
            adapter="",
            priority=priority,
            deadline=self.loop.now + kind.budget_s,
            prompt_tokens=200,
            max_tokens=kind.tokens[1],
            prefix=b"",
            content=name.encode(),
        )
        return call, tokens

    def _figures(self) -> Figures:
        start, end = ARRIVALS_S
        measured = [
            r for r in self.records.values() if start <= r.arrived < end
        ]
        attainment = []
        for priority in KINDS:
            of_class = [r for r in measured if r.call.priority is priority]
            good = sum(1 for r in of_class if r.good)
            attainment.append(good / max(1, len(of_class)))
        sends = sum(r.sends for r in measured)
        sent_calls = sum(1 for r in measured if r.sends)
        return Figures(
            tuple(attainment),
            self.useful_tokens / (WORK_S[1] - WORK_S[0]),
            1.0 - sent_calls / len(measured),
            sends / len(measured),
            sends / max(1, sent_calls),
        )


class Node:
    """A node that runs the real decision code."""

    def __init__(self, bench: Bench, index: int, seed: int):
        """Creates a node.

        Args:
          bench: the run that the node belongs to.
          index: index of the node.
          seed: seed of the run; the node derives its own from it.
        """
        rng = random.Random(f"{seed}/{index}")
        self._bench = bench
        self._loop = bench.loop
        self._retries = retry.RetryPolicy(rng)
        chooser = picker.Picker(
            f"n{index}", f"d{index % 3}", rng, breaker.Breakers(rng)
        )
        self._admission = admission.Admission(
            chooser, bench.limits_class(limits.Settings()), rng
        )
        self._admission.set_candidates("seam", bench.candidates)
        self._records: dict[str, _Record] = {}
        self._jobs: dict[str, engine_model.Job] = {}
        self._wake_at = float("inf")
        self._loop.at(1.0, self._report_progress)

    def arrived(self, record: _Record, avoid: tuple[str, ...] = ()) -> None:
        """Handles a call from its caller or a retry of it."""
        self._records[record.call.request_id] = record
        result = self._admission.submit(self._loop.now, record.call, avoid)
        if isinstance(result, admission.Admitted):
            self._send(result)
        self._send_eligible()

    def _send_eligible(self) -> None:
        for result in self._admission.next(self._loop.now):
            if isinstance(result, admission.Admitted):
                self._send(result)
        wake = self._admission.wake_at(self._loop.now)
        if wake is not None and wake < self._wake_at:
            self._wake_at = wake
            self._loop.at(wake, self._wake)

    def _wake(self) -> None:
        self._wake_at = float("inf")
        self._send_eligible()

    def _send(self, admitted: admission.Admitted) -> None:
        record = self._records[admitted.call.request_id]
        if not record.sends:
            self._retries.add_first_send()
        record.sends += 1
        if self._bench.down(admitted.engine):
            when = self._loop.now + CONNECT_FAILURE_S
            self._loop.at(
                when, lambda: self._connect_failed(record, admitted.engine)
            )
            return
        job = engine_model.Job(
            record.call,
            record.tokens,
            lambda job: self._job_ended(record, admitted.engine, job),
        )
        self._jobs[record.call.request_id] = job
        engine = self._bench.engines[admitted.engine]
        engine.submit(job)
        self._loop.at(
            record.call.deadline,
            lambda: engine.cancel(record.call.request_id) if job.open else 0,
        )

    def _connect_failed(self, record: _Record, engine: str) -> None:
        now = self._loop.now
        sample = outcome.Sample(outcome.Outcome.FAILED, CONNECT_FAILURE_S)
        self._admission.finish(now, record.call.request_id, sample)
        retry_at = self._retries.decide(
            now,
            record.call.deadline,
            record.sends,
            retry.Reason.CONNECT_FAILED,
        )
        if retry_at:
            self._loop.at(retry_at.at, lambda: self.arrived(record, (engine,)))
        self._send_eligible()

    def _job_ended(
        self, record: _Record, engine: str, job: engine_model.Job
    ) -> None:
        now = self._loop.now
        del self._jobs[record.call.request_id]
        if job.whole:
            self._bench.ended(record, job)
            sample = outcome.Sample(
                outcome.Outcome.WHOLE,
                now - job.sent_at,
                job.first_at - job.sent_at,
                (now - job.first_at) / job.tokens,
                job.tokens,
            )
        else:
            sample = outcome.Sample(
                outcome.Outcome.CANCELLED, now - job.sent_at
            )
        hint = self._bench.engines[engine].load
        self._admission.finish(now, record.call.request_id, sample, hint)
        self._send_eligible()

    def _report_progress(self) -> None:
        """Reports the token gaps of open streams to admission each second."""
        now = self._loop.now
        for request_id, job in self._jobs.items():
            if job.first_at is None or job.first_at > now:
                continue
            gap_s = self._bench.gap_s(job)
            first_s = None
            if now - job.first_at < 1.0:
                first_s = job.first_at - job.sent_at
            self._admission.record_progress(now, request_id, first_s, gap_s)
        self._loop.at(now + 1.0, self._report_progress)


class _UnlimitedRetryNode:
    """Baseline without admission and limits; resends until the deadline.

    It is also the base class of the other baseline.
    """

    cancels = True

    def __init__(self, bench: Bench, index: int, seed: int):
        self._bench = bench
        self._loop = bench.loop
        self._rng = random.Random(f"{seed}/{index}")
        self._picker = picker.Picker(f"n{index}", f"d{index % 3}", self._rng)

    def arrived(self, record: _Record) -> None:
        """Sends a call at once, and again after a pause if it is refused."""
        now = self._loop.now
        if now >= record.call.deadline:
            return
        name = self._picker.choose(
            now, record.call, self._bench.candidates
        ).engine
        record.sends += 1
        engine = self._bench.engines[name]
        if self._bench.down(name) or self.refuses(engine):
            resend_at = now + self._rng.uniform(*RESEND_S)
            self._loop.at(resend_at, lambda: self.arrived(record))
            return
        self._picker.started(now, name, record.call)
        job = engine_model.Job(
            record.call,
            record.tokens,
            lambda job: self._job_ended(record, name, job),
        )
        engine.submit(job)
        if self.cancels:
            self._loop.at(
                record.call.deadline,
                lambda: engine.cancel(job.call.request_id) if job.open else 0,
            )

    def refuses(self, engine: engine_model.Engine) -> bool:
        """Returns whether an engine refuses a call."""
        return engine.load.queued >= ENGINE_QUEUE

    def _job_ended(
        self, record: _Record, name: str, job: engine_model.Job
    ) -> None:
        hint = self._bench.engines[name].load
        whole = outcome.Outcome.WHOLE
        self._picker.finished(self._loop.now, name, job.call, whole, hint)
        if job.whole:
            self._bench.ended(record, job)


class _UnboundedQueueNode(_UnlimitedRetryNode):
    """Baseline whose engines queue all calls and finish them past deadlines."""

    cancels = False

    def refuses(self, engine: engine_model.Engine) -> bool:
        """Returns False, since the engine's queue is unbounded."""
        del engine
        return False


class FcfsBench(Bench):
    """Engines with unbounded queues, served in order of arrival."""

    priorities = False

    def new_node(self, index, seed):
        """Returns a node that sends every call at once."""
        return _UnboundedQueueNode(self, index, seed)


class RetryBench(Bench):
    """Engines with bounded queues; nodes retry without a budget."""

    def new_node(self, index, seed):
        """Returns a node that retries until the deadline."""
        return _UnlimitedRetryNode(self, index, seed)


class GradientBench(Bench):
    """The real decision code with gradient limits."""

    limits_class = GradientLimits


POLICIES = {
    "azureline": (Bench, LOADS),
    "gradient limits": (GradientBench, (1.0, 3.0)),
    "first come, first served": (FcfsBench, (1.0, 3.0)),
    "unlimited retries": (RetryBench, (1.0, 3.0)),
}


class Row(NamedTuple):
    """Means and spreads over the seeds, for one policy and load."""

    policy: str
    load: float
    urgent: float
    urgent_min: float
    normal: float
    batch: float
    useful_tokens_s: float
    useful_spread: float
    refused: float
    sent: float
    resent_max: float


def run(policy: str, load: float, seed: int) -> Figures:
    """Runs one policy at one load with one seed."""
    bench, _ = POLICIES[policy]
    return bench(load, seed).run()


def summarize(policy: str, load: float, runs: list[Figures]) -> Row:
    """Returns the means and spreads over the seeds."""
    urgent = [r.attainment[0] for r in runs]
    useful = [r.useful_tokens_s for r in runs]
    return Row(
        policy,
        load,
        round(statistics.mean(urgent), 3),
        round(min(urgent), 3),
        round(statistics.mean(r.attainment[1] for r in runs), 3),
        round(statistics.mean(r.attainment[2] for r in runs), 3),
        round(statistics.mean(useful)),
        round(max(useful) - min(useful)),
        round(statistics.mean(r.refused for r in runs), 3),
        round(statistics.mean(r.sent for r in runs), 3),
        round(max(r.resent for r in runs), 3),
    )


def table(rows: list[Row]) -> str:
    """Returns the rows as a Markdown table."""
    lines = [
        "| policy | load | urgent (least) | normal | batch | useful tokens/s"
        " (spread) | not sent | sent/offered | sent/first sends (most) |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for r in rows:
        lines.append(
            f"| {r.policy} | {r.load:g} | {r.urgent:.3f} ({r.urgent_min:.3f})"
            f" | {r.normal:.3f} | {r.batch:.3f} | {r.useful_tokens_s}"
            f" ({r.useful_spread}) | {r.refused:.3f} | {r.sent:.3f}"
            f" | {r.resent_max:.3f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Runs all policies, prints the results and writes them with --write."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    arguments = parser.parse_args()
    cells = [
        (policy, load)
        for policy, (_, policy_loads) in POLICIES.items()
        for load in policy_loads
    ]
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        runs = {
            cell: [pool.submit(run, *cell, seed) for seed in SEEDS]
            for cell in cells
        }
        rows = [
            summarize(*cell, [f.result() for f in pending])
            for cell, pending in runs.items()
        ]
    print(table(rows))
    if arguments.write:
        RESULTS.parent.mkdir(parents=True, exist_ok=True)
        results = {"seeds": SEEDS, "rows": [r._asdict() for r in rows]}
        RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
