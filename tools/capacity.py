"""Measures the cost of each role and rewrites the tables of docs/CAPACITY.md.

Run as `python -m tools.capacity`; `--page-only` only rewrites the page from the
results of an earlier run.
"""

from collections.abc import Callable
from concurrent import futures
import json
import multiprocessing
import pathlib
import time
from typing import Any

import typer

from tools import capacity_day
from tools import capacity_entry
from tools import capacity_fit
from tools import capacity_owner
from tools import capacity_page
from tools import capacity_plot
from tools import capacity_process

DOCS = pathlib.Path("docs")
PAGE = DOCS / "CAPACITY.md"
RESULTS = DOCS / "results" / "capacity.json"
WORKERS = 4

# Measurements that take longest and so start first.
LONG = (capacity_owner.PARTS[0], *capacity_entry.PARTS[:3])

Job = tuple[str, Callable[..., Any], tuple[Any, ...]]
PLOTS = {
    "membership": "membership, quiet, sent",
    "views": "engine views, sent",
    "lookups": "look-ups of replicas (each view that is heard)",
    "ownership": "ownership of slots, writes of 360 nodes",
    "plans": "one plan in 5 s, hot demand",
}


def jobs() -> list[Job]:
    """Returns the measurements, starting with the longest."""
    partition_jobs: list[Job] = [
        ("apart", capacity_day.regions_apart, (size,))
        for size in reversed(capacity_day.APART_SIZES)
    ]
    parts = [*capacity_entry.PARTS, *capacity_owner.PARTS]
    parts.sort(key=lambda part: part not in LONG)
    series: list[Job] = [("series", part, ()) for part in parts]
    event_jobs: list[Job] = [
        (name, measure, (size,))
        for name, measure, sizes in (
            ("loss", capacity_day.lost_domain, capacity_day.SLOT_SIZES),
            ("join", capacity_day.join, capacity_day.JOIN_ENGINES),
            ("burst", capacity_day.burst, capacity_day.BURST_SIZES),
        )
        for size in sizes
    ]
    processes: Job = ("processes", capacity_process.measure, ())
    return [processes, *series[:4], *partition_jobs, *series[4:], *event_jobs]


def run() -> dict[str, list[Any]]:
    """Runs all measurements; returns rows by table."""
    rows_by_table: dict[str, list[Any]] = {}
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        submitted = [
            (name, pool.submit(measure, *sizes))
            for name, measure, sizes in jobs()
        ]
        for name, future in submitted:
            rows = future.result()
            rows_by_table.setdefault(name, []).extend(
                rows if isinstance(rows, list) else [rows]
            )
    rows_by_table["series"].sort(key=lambda row: (row["role"], row["name"]))
    rows_by_table["apart"].sort(key=lambda row: row["nodes"])
    return rows_by_table


def write_page(results: dict[str, list[Any]]) -> None:
    """Writes the tables and plots of earlier results."""
    page = PAGE.read_text()
    page = capacity_page.replace(
        page, "slopes", capacity_page.slopes(results["series"])
    )
    for name in ("processes", "join", "burst", "loss", "apart"):
        page = capacity_page.replace(
            page, name, capacity_page.table(results[name])
        )
    PAGE.write_text(page)
    by_name: dict[str, capacity_fit.Series] = {
        row["name"]: row for row in results["series"]
    }
    for name, title in PLOTS.items():
        path = DOCS / f"capacity-{name}.svg"
        path.write_text(capacity_plot.svg(by_name[title]))


def main(page_only: bool = False) -> None:
    """Measures and writes the results and the page."""
    started_at = time.monotonic()
    if not page_only:
        RESULTS.write_text(json.dumps(run(), indent=1) + "\n")
    write_page(json.loads(RESULTS.read_text()))
    typer.echo(f"done in {time.monotonic() - started_at:.0f} s; see {PAGE}")


if __name__ == "__main__":
    typer.run(main)
