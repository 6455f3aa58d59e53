"""Failed connections enlarge the retry budget.

Each attempt that could not connect counts as a further first send, so that the
budget grows by up to four times while the servers of a service are down.
"""

import collections
import concurrent.futures
import itertools
import time
from typing import NamedTuple

from review.support2 import case
from review.support2 import site as sites
from tests import builders_site

NODES = builders_site.NODES
# The terms of the budget as in the sheets.
RATIO = 0.2
WINDOW_S = 10.0
SLACK = 56
SETTINGS = {
    "repeats": {"ratio": RATIO, "window_s": WINDOW_S, "allowance": SLACK}
}
# Three servers with six places each take 60 requests a second and turn the
# others away.
WORK_S = 0.3
SLOTS = 6
REQUESTS_PER_S = 100
DURATION_S = 16.0
THREADS = 120
# The servers are down in this part of the traffic.
DOWN_FROM_S = 4.0
DOWN_S = 4.0
HEARTBEAT_S = 1.2


class Sent(NamedTuple):
    """A request of a consumer and when it was sent."""

    request_id: str
    at: float


def check(record: case.Record, has_trouble: bool) -> list[str]:
    """Sends more than the servers take; returns breaks of the budget."""
    servers = tuple(_ledger(f"ledger-{n}") for n in (1, 2, 3))
    with (
        sites.running(servers, settings=SETTINGS) as site,
        concurrent.futures.ThreadPoolExecutor(THREADS) as threads,
    ):
        time.sleep(4.0)
        traffic = threads.submit(_send_all, site, threads)
        arrivals: dict[str, list[float]] = collections.defaultdict(list)
        if has_trouble:
            time.sleep(DOWN_FROM_S)
            _restart_all(record, site, servers, arrivals)
        sent, answers = traffic.result()
        for name in list(site.processes.urls):
            if name.startswith("ledger") and name not in site.killed:
                _read_arrivals(site, name, arrivals)
    statuses = collections.Counter(a.status for a in answers)
    record.add(f"answers by status: {dict(statuses)}")
    return _breaks(record, sent, arrivals)


def _ledger(name: str) -> sites.Server:
    return sites.ledger(name, work_s=WORK_S, slots=SLOTS, beat_s=HEARTBEAT_S)


def _send_all(site, threads):
    """Sends requests at a steady rate; returns them and the answers."""
    callers = itertools.cycle(site.caller(name) for name in NODES)
    began = time.monotonic()
    sent, waiting = [], []
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        due = began + number / REQUESTS_PER_S
        time.sleep(max(0.0, due - time.monotonic()))
        sent_at = time.monotonic()
        waiting.append(
            threads.submit(next(callers).send, f"/look/{number}", method="GET")
        )
        sent.append(sent_at)
    answers = [future.result() for future in waiting]
    found = [
        Sent(a.request_id, at) for a, at in zip(answers, sent, strict=True)
    ]
    return found, answers


def _restart_all(record, site, servers, arrivals) -> None:
    """Kills all servers; others start in their place after a while."""
    for server in servers:
        _read_arrivals(site, server.name, arrivals)
        site.kill(server.name)
    record.add(f"all {len(servers)} servers of the service have crashed")
    time.sleep(DOWN_S)
    for server in servers:
        renamed = server._replace(name=f"{server.name}b")
        sites.start_server(site.processes, renamed)
    record.add("they are back under new ids")


def _read_arrivals(site, name, arrivals) -> None:
    offset = time.monotonic() - time.time()
    for row in site.recorded(name)["arrivals"]:
        at = row["at"]
        # The stand-in may use the time of day.
        arrivals[row["request_id"]].append(at + offset if at > 1e9 else at)


def _breaks(record, sent, arrivals) -> list[str]:
    repeats = sorted(
        at for found in arrivals.values() for at in sorted(found)[1:]
    )
    sent_at = sorted(row.at for row in sent)
    began = sent_at[0]
    breaks, worst = [], (float("-inf"), "")
    for end in repeats:
        window = [at for at in repeats if end - WINDOW_S < at <= end]
        requests = max(
            sum(end - shift - WINDOW_S < at <= end - shift for at in sent_at)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        allowed = RATIO * requests + SLACK
        line = (
            f"the {WINDOW_S:g} s until {end - began:.1f} s: {len(window)} "
            f"repeats of {requests} requests, allowed {allowed:.0f}"
        )
        worst = max(worst, (len(window) - allowed, line))
    record.add(f"{len(sent)} requests, {len(repeats)} repeats")
    record.add(f"worst window: {worst[1]}")
    if worst[0] > 0:
        breaks.append(worst[1])
    return breaks


if __name__ == "__main__":
    case.run(__file__, check)
