"""Measures what each role costs and rewrites the tables of docs/CAPACITY.md.

Run as `python -m tools.capacity`; `--page-only` rewrites the page from the
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
    """Returns the measurements, the longest first."""
    longest: list[Job] = [
        ("apart", capacity_day.regions_apart, (size,))
        for size in reversed(capacity_day.APART_SIZES)
    ]
    parts = [*capacity_entry.PARTS, *capacity_owner.PARTS]
    parts.sort(key=lambda part: part not in LONG)
    series: list[Job] = [("series", part, ()) for part in parts]
    small: list[Job] = [
        (name, measure, (size,))
        for name, measure, sizes in (
            ("loss", capacity_day.lost_domain, capacity_day.SLOT_SIZES),
            ("join", capacity_day.join, capacity_day.JOIN_ENGINES),
            ("burst", capacity_day.burst, capacity_day.BURST_SIZES),
        )
        for size in sizes
    ]
    processes: Job = ("processes", capacity_process.measure, ())
    return [processes, *series[:4], *longest, *series[4:], *small]


def run() -> dict[str, list[Any]]:
    """Runs all measurements; returns rows by table."""
    found: dict[str, list[Any]] = {}
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        started = [
            (name, pool.submit(measure, *sizes))
            for name, measure, sizes in jobs()
        ]
        for name, future in started:
            rows = future.result()
            found.setdefault(name, []).extend(
                rows if isinstance(rows, list) else [rows]
            )
    found["series"].sort(key=lambda row: (row["role"], row["name"]))
    found["apart"].sort(key=lambda row: row["nodes"])
    return found


def write_page(found: dict[str, list[Any]]) -> None:
    """Writes tables and plots from results."""
    page = PAGE.read_text()
    page = capacity_page.replace(
        page, "slopes", capacity_page.slopes(found["series"])
    )
    for name in ("processes", "join", "burst", "loss", "apart"):
        page = capacity_page.replace(
            page, name, capacity_page.table(found[name])
        )
    PAGE.write_text(page)
    by_name: dict[str, capacity_fit.Series] = {
        row["name"]: row for row in found["series"]
    }
    for name, title in PLOTS.items():
        path = DOCS / f"capacity-{name}.svg"
        path.write_text(capacity_plot.svg(by_name[title]))


def main(page_only: bool = False) -> None:
    """Measures, writes the results and the page."""
    started = time.monotonic()
    if not page_only:
        RESULTS.write_text(json.dumps(run(), indent=1) + "\n")
    write_page(json.loads(RESULTS.read_text()))
    typer.echo(f"done in {time.monotonic() - started:.0f} s; see {PAGE}")


if __name__ == "__main__":
    typer.run(main)
