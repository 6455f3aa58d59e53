"""Measures how many streams without an end a node bears.

One node relays streams of engines whose answers have no end, each in parts of
a few bytes, beside lookups at a sound server.  A row is the number of such
streams at once and how late the lookups are.
"""

import concurrent.futures
import json
import sys
import threading
import time
from typing import Any
from typing import NamedTuple

import typer

from tests import builders_site

PLAY_S = 6.0
LOOKUPS = 4
LOOKUP_PAUSE_S = 0.05
# Timeout of the lookups' route.
ROUTE_TIMEOUT_S = 1.5
STREAM_WAIT_MS = 5000


class Row(NamedTuple):
    """Result of one number of streams.

    Attributes:
      streams: streams without an end at once.
      lookups: lookups that ended.
      unserved: lookups without a complete answer.
      late: lookups that took longer than their route's timeout.
      median_s: median seconds of a lookup.
      longest_s: seconds of the longest one.
    """

    streams: int
    lookups: int
    unserved: int
    late: int
    median_s: float
    longest_s: float


def _stream(site: builders_site.Site, stopping: threading.Event) -> None:
    while not stopping.is_set():
        answer = site.caller().send(
            "/ask/x", "m0", tokens=20, wait_limit_ms=STREAM_WAIT_MS
        )
        if answer.status != 200:
            stopping.wait(0.1)


def _look_up(site: builders_site.Site, ends_at: float) -> list[Any]:
    seen = []
    while time.monotonic() < ends_at:
        began = time.monotonic()
        answer = site.caller().send("/look/x", method="GET")
        is_served = answer.status == 200 and answer.complete
        seen.append((time.monotonic() - began, is_served))
        time.sleep(LOOKUP_PAUSE_S)
    return seen


def play(site: builders_site.Site, streams: int) -> Row:
    """Plays lookups beside a number of streams without an end."""
    stopping = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(LOOKUPS + streams) as threads:
        for _ in range(streams):
            threads.submit(_stream, site, stopping)
        time.sleep(1.0)
        ends_at = time.monotonic() + PLAY_S
        calls = [
            threads.submit(_look_up, site, ends_at) for _ in range(LOOKUPS)
        ]
        seen = [one for call in calls for one in call.result()]
        stopping.set()
    taken = sorted(took_s for took_s, _ in seen)
    return Row(
        streams,
        len(seen),
        sum(not is_served for _, is_served in seen),
        sum(took_s > ROUTE_TIMEOUT_S for took_s in taken),
        round(taken[len(taken) // 2], 3),
        round(taken[-1], 3),
    )


def main(place: str = "event", most: int = 240) -> None:
    """Prints a JSON row for each number of streams, up to `most`."""
    numbers = [n for n in (0, 15, 30, 60, 120, 180, 240, 480) if n <= most]
    engines = 6
    with builders_site.running(
        nodes=("relay-1",), engines=(("m0",),) * engines
    ) as site:
        for number in range(1, engines + 1):
            site.inject_fault(f"engine-{number}", endless={"place": place})
        for streams in numbers:
            print(json.dumps(play(site, streams)._asdict()), flush=True)


if __name__ == "__main__":
    sys.exit(typer.run(main))
