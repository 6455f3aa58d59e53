"""Tests of requests that crash the servers that run them."""

import concurrent.futures
import itertools
import threading
import time

import pytest

from tests import builders_crash_plays as plays
from tests import builders_site as builders
from tools import soak_checks

pytestmark = pytest.mark.processes

LEDGERS = tuple(f"ledger-{number}" for number in range(1, 7))
DURATION_S = 10.0
INTERVAL_S = 0.4
OTHER_CALLERS = 6
MIN_SERVED = 0.97


@pytest.fixture
def site():
    with builders.running(ledgers=len(LEDGERS)) as running:
        yield running


def _run_caller(site, stopping, number):
    """Sends harmless requests until stopped; returns their answers."""
    answers, counts = [], itertools.count()
    while not stopping.is_set():
        count = next(counts)
        node = builders.NODES[(count + number) % len(builders.NODES)]
        path, method = (("/look/", "GET"), ("/post/", "POST"))[count % 2]
        answers.append(
            site.caller(node).send(
                f"{path}{number}/{count}", method=method, wait_limit_ms=3000
            )
        )
        time.sleep(0.05)
    return answers


def _send_repeatedly(site, path, method):
    """Sends one request to the nodes in turn; returns the answers."""
    answers = []
    ends_at = time.monotonic() + DURATION_S
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        for node in itertools.cycle(builders.NODES):
            if time.monotonic() >= ends_at:
                break
            caller = site.caller(node)
            answers.append(
                threads.submit(
                    caller.send, path, method=method, wait_limit_ms=3000
                )
            )
            time.sleep(INTERVAL_S)
        return [answer.result() for answer in answers]


@pytest.mark.parametrize(
    ("path", "method"), [("/look", "GET"), ("/post", "POST")]
)
def test_a_request_that_ended_three_servers_is_not_sent_on_by_any_node(
    site, path, method
):
    for name in LEDGERS:
        site.inject_fault(name, deadly={"mark": "deadly"})
    stopping = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(OTHER_CALLERS) as threads:
        callers = [
            threads.submit(_run_caller, site, stopping, number)
            for number in range(OTHER_CALLERS)
        ]
        answers = _send_repeatedly(site, f"{path}/deadly", method)
        stopping.set()
        other_answers = [a for other in callers for a in other.result()]
    site.until("all servers have restarted", lambda: _all_restarted(site))
    sent = [soak_checks.SentRequest("deadly", 0, answer) for answer in answers]
    seen = {name: site.recorded(name) for name in LEDGERS}
    assert sum(len(server["ends"]) for server in seen.values()) >= 3
    assert soak_checks.find_late_crashing_runs(sent, seen) == []
    served = sum(a.status == 200 and a.complete for a in other_answers)
    assert served >= 0.9 * len(other_answers), (served, len(other_answers))


def _all_restarted(site):
    try:
        return all(site.recorded(name) for name in LEDGERS)
    except OSError:
        return False


def test_a_request_that_comes_from_other_addresses_is_not_sent_on():
    # Its identity contained the caller's address, so that each repeat from
    # another address was a new request, and it ended a server.
    play = plays.Play("/post/deadly", "POST", moves=True)
    with plays.scene() as place:
        outcome = plays.run(place, play)
    assert outcome.ends >= soak_checks.MAX_CRASHES, outcome
    assert outcome.late <= soak_checks.MAX_LATE_RUNS, outcome
    assert outcome.served >= MIN_SERVED * outcome.others, outcome
