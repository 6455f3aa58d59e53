"""Measures the overhead of a node between callers and an engine.

Puts the same load first directly on an engine stand-in and then on one node in
front of it, and writes the figures to docs/.
"""

import json
import os
import pathlib
import platform
import statistics
import sys
import time
from typing import Annotated
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
import typer

from tools import crowd as crowd_lib
from tools import demo
from tools import deployment

MODEL = demo.MODEL
TOKENS_PER_S = 40
RATE_STREAMS = 64
RATE_TARGET = 2500.0  # Tokens/s: one node's share of the fleet's peak load.
WARM_S = 1.5
MEASURE_S = 8.0
PAUSE_S = 0.5
TIME_LIMIT_S = 110.0
FIRST_TOKEN_RATIO_TARGET = 1.1
CORE_SHARE_TARGET = 0.4
_ROOT = pathlib.Path(__file__).resolve().parent.parent

BASE = """\
{
  "models": {
    "seam-advice": {
      "memory_bytes": "14 GiB",
      "tokens_per_s": 20000,
      "max_running": 512
    }
  },
  "callers": {"bench": {"key_sha256": "%s", "max_priority": "urgent"}}
}
"""
OVERLAY = """\
{
  "site": "bench",
  "engines": {
    "$add": {"engine-1": {"domain": "d1", "memory_bytes": "80 GiB"}}
  }
}
"""
_PAGE = """\
# What a node adds

`make bench` (`python -m tools.bench`) runs one engine stand-in at
{tokens_per_s} tokens/s per stream and 60 ms to the first token, and one node
before it.  The same callers, seeded alike, call the engine straight and then
the node, {measure_s:g} s each after {warm_s:g} s of warming up; each caller
keeps its connection and pauses for up to {think_ms:g} ms between calls.  A
core is one of the {cores} of the machine that ran this page's figures
({python}).

| streams | tokens | path | first token, median | p95 | gap, p95 | tokens/s |\
 refused | node, core | µs of node per token |
|---:|---:|---|---:|---:|---:|---:|---:|---:|---:|
{rows}

- First token at 32 streams, node to direct: {ratio:.3f} (target at most \
{ratio_target}): {ratio_verdict}.
- Core of the node at {rate:.0f} tokens/s: {share:.1%} (target under \
{share_target:.0%} at {rate_target:.0f} tokens/s): {share_verdict}.

The engine stand-in and the callers run on the same machine; their own shares
of a core are in [results/bench.json](results/bench.json), and a figure beside
a share near 100% is bounded by that process.
"""


class Block(NamedTuple):
    """Results of one load on one path.

    Attributes:
      path: "direct" or "node".
      streams: concurrent callers.
      max_tokens: tokens per answer.
      first_token_ms_median: median time from sending to the first token.
      first_token_ms_p95: 95th percentile of that time.
      gap_ms_p95: 95th percentile of an answer's mean token gap.
      tokens_per_s: tokens per second that all callers received.
      answers: number of complete answers.
      refused: number of answers with a status other than 200 and of
        incomplete answers.
      refusals: number of answers with a status other than 200, by kind.
      node_core: fraction of a core that the node used.
      engine_core: fraction of a core that the engine stand-in used.
      caller_core: fraction of a core that the callers used.
      node_us_per_token: processor time of the node per token in µs.
    """

    path: str
    streams: int
    max_tokens: int
    first_token_ms_median: float
    first_token_ms_p95: float
    gap_ms_p95: float
    tokens_per_s: float
    answers: int
    refused: int
    refusals: dict[str, int]
    node_core: float
    engine_core: float
    caller_core: float
    node_us_per_token: float


def processor_s(pid: int) -> float:
    """Returns the processor time used by a process, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def run_block(
    fleet: deployment.Deployment, path: str, load: crowd_lib.Load
) -> Block:
    """Puts a load on one path and measures it after the warm-up."""
    target = {"direct": "engine-1", "node": "node-1"}[path]
    pids = [fleet.pid("node-1"), fleet.pid("engine-1"), os.getpid()]
    tally = crowd_lib.Tally()
    crowd = crowd_lib.Crowd(
        fleet.urls[target],
        load,
        tally,
        f"{path}-{load.streams}-{load.max_tokens}",
    )
    await crowd.start()
    await task.deferLater(reactor, WARM_S)
    before, started_at = [processor_s(p) for p in pids], time.perf_counter()
    tally.measuring = True
    await task.deferLater(reactor, MEASURE_S)
    tally.measuring = False
    elapsed_s = time.perf_counter() - started_at
    processor_used_s = [
        processor_s(p) - b for p, b in zip(pids, before, strict=True)
    ]
    crowd.stop()
    await task.deferLater(reactor, PAUSE_S)
    return _block(path, load, tally, processor_used_s, elapsed_s)


def _block(
    path: str,
    load: crowd_lib.Load,
    tally: crowd_lib.Tally,
    processor_used_s: list[float],
    elapsed_s: float,
) -> Block:
    tokens = max(1, tally.counts["tokens"])
    node_s = processor_used_s[0] if path == "node" else 0.0
    return Block(
        path=path,
        streams=load.streams,
        max_tokens=load.max_tokens,
        first_token_ms_median=_percentile(tally.first_s, 50) * 1000,
        first_token_ms_p95=_percentile(tally.first_s, 95) * 1000,
        gap_ms_p95=_percentile(tally.gap_s, 95) * 1000,
        tokens_per_s=tally.counts["tokens"] / elapsed_s,
        answers=tally.counts["answers"],
        refused=tally.counts["refused"] + tally.counts["broken"],
        refusals={
            name.removeprefix("refused."): count
            for name, count in tally.counts.items()
            if name.startswith("refused.")
        },
        node_core=processor_used_s[0] / elapsed_s,
        engine_core=processor_used_s[1] / elapsed_s,
        caller_core=processor_used_s[2] / elapsed_s,
        node_us_per_token=node_s / tokens * 1e6,
    )


def _percentile(values: list[float], percent: int) -> float:
    if len(values) < 2:
        return sum(values)
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


def start(fleet: deployment.Deployment) -> None:
    """Starts the platform, one engine and one node that serves its model.

    Raises:
      StartError: if the node does not serve the model in time.
    """
    fleet.start_standin("platform", "platform", store_rate=4.0)
    fleet.start_standin(
        "engine",
        "engine-1",
        domain="d1",
        memory_bytes=80 << 30,
        max_running=512,
        tokens_per_s=TOKENS_PER_S,
        cache_bytes_per_token=1000,
        resident=[f"{MODEL}@1={14 << 30}"],
    )
    fleet.start_node("node-1", "d1")
    checks = demo.Checks()
    demo.apply_config(fleet, checks, BASE % demo.key_digest(), OVERLAY)
    demo.wait_until_served(fleet, checks, ["node-1"])
    if checks.failed:
        raise deployment.StartError(fleet.log_tail("node-1"))


async def run(fleet: deployment.Deployment) -> list[Block]:
    """Runs each load on both paths, prints and returns the results."""
    loads = [
        crowd_lib.Load(1, 8),
        crowd_lib.Load(32, 32),
        crowd_lib.Load(256, 32),
        crowd_lib.Load(RATE_STREAMS, 128),
    ]
    blocks = []
    for load in loads:
        for path in ("direct", "node"):
            blocks.append(await run_block(fleet, path, load))
            print(_row(blocks[-1]), blocks[-1].refusals or "", flush=True)
    return blocks


def write(blocks: list[Block]) -> str:
    """Writes the JSON results and the page; returns the page."""
    by_load = {(b.path, b.streams): b for b in blocks}
    ratio = (
        by_load["node", 32].first_token_ms_median
        / by_load["direct", 32].first_token_ms_median
    )
    at_rate = by_load["node", RATE_STREAMS]
    results = _ROOT / "docs" / "results"
    results.mkdir(parents=True, exist_ok=True)
    figures = {
        "command": "python -m tools.bench",
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "seed": crowd_lib.SEED,
        "measure_s": MEASURE_S,
        "first_token_ratio_at_32": ratio,
        "blocks": [block._asdict() for block in blocks],
    }
    (results / "bench.json").write_text(json.dumps(figures, indent=2) + "\n")
    page = _PAGE.format(
        tokens_per_s=TOKENS_PER_S,
        measure_s=MEASURE_S,
        warm_s=WARM_S,
        think_ms=crowd_lib.THINK_S * 1000,
        cores=os.cpu_count(),
        python="Python " + platform.python_version(),
        rows="\n".join(_row(block) for block in blocks),
        ratio=ratio,
        ratio_target=FIRST_TOKEN_RATIO_TARGET,
        ratio_verdict=_verdict(ratio <= FIRST_TOKEN_RATIO_TARGET),
        rate=at_rate.tokens_per_s,
        share=at_rate.node_core,
        share_target=CORE_SHARE_TARGET,
        share_verdict=_share_verdict(at_rate),
        rate_target=RATE_TARGET,
    )
    (_ROOT / "docs" / "bench.md").write_text(page)
    return page


def _verdict(met: bool) -> str:
    return "met" if met else "missed"


def _share_verdict(at_rate: Block) -> str:
    if at_rate.tokens_per_s < 0.95 * RATE_TARGET:
        return "not shown, as the node let too little through"
    return _verdict(at_rate.node_core < CORE_SHARE_TARGET)


def _row(block: Block) -> str:
    return (
        f"| {block.streams} | {block.max_tokens} | {block.path} "
        f"| {block.first_token_ms_median:.1f} ms "
        f"| {block.first_token_ms_p95:.1f} ms "
        f"| {block.gap_ms_p95:.1f} ms | {block.tokens_per_s:.0f} "
        f"| {block.refused} | {block.node_core:.1%} "
        f"| {block.node_us_per_token:.1f} |"
    )


def _run_reactor(fleet: deployment.Deployment) -> list[Block]:
    blocks: list[Block] = []

    def start_run() -> None:
        result = defer.ensureDeferred(run(fleet))
        result.addTimeout(TIME_LIMIT_S, reactor)
        result.addCallback(blocks.extend)
        result.addErrback(lambda failure: failure.printTraceback())
        result.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start_run)
    reactor.run()
    return blocks


def main(
    program: Annotated[
        str, typer.Option(help="The built azureline to run.")
    ] = "",
) -> None:
    """Runs the bench; exits with 1 if the deployment does not come up."""
    with deployment.Deployment([program] if program else None) as fleet:
        try:
            start(fleet)
        except deployment.StartError as e:
            print(f"error: {e}", file=sys.stderr)
            sys.exit(1)
        blocks = _run_reactor(fleet)
    if not blocks:
        sys.exit(1)
    print(write(blocks))


if __name__ == "__main__":
    typer.run(main)
