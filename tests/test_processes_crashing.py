"""Requests that end the servers that run them, with real processes."""

import concurrent.futures
import itertools
import threading
import time

import pytest

from tests import builders_site as builders
from tools import soak_checks

pytestmark = pytest.mark.processes

LEDGERS = tuple(f"ledger-{number}" for number in range(1, 7))
PLAY_S = 10.0
EVERY_S = 0.4
OTHERS = 6


@pytest.fixture
def site():
    with builders.running(ledgers=len(LEDGERS)) as running:
        yield running


def _call_on(site, over, number):
    """Sends requests of another caller; returns their answers."""
    answers, counts = [], itertools.count()
    while not over.is_set():
        count = next(counts)
        node = builders.NODES[(count + number) % len(builders.NODES)]
        path, method = (("/look/", "GET"), ("/post/", "POST"))[count % 2]
        answers.append(
            site.caller(node).send(
                f"{path}{number}/{count}", method=method, patience_ms=3000
            )
        )
        time.sleep(0.05)
    return answers


def _send_again_and_again(site, path, method):
    """Sends one request at the nodes in turn; returns its answers."""
    answers = []
    ends_at = time.monotonic() + PLAY_S
    with concurrent.futures.ThreadPoolExecutor(16) as threads:
        for node in itertools.cycle(builders.NODES):
            if time.monotonic() >= ends_at:
                break
            caller = site.caller(node)
            answers.append(
                threads.submit(
                    caller.send, path, method=method, patience_ms=3000
                )
            )
            time.sleep(EVERY_S)
        return [answer.result() for answer in answers]


@pytest.mark.parametrize(
    ("path", "method"), [("/look", "GET"), ("/post", "POST")]
)
def test_a_request_that_ended_three_servers_is_not_sent_on_by_any_node(
    site, path, method
):
    for name in LEDGERS:
        site.fault(name, deadly={"mark": "deadly"})
    over = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(OTHERS) as threads:
        others = [
            threads.submit(_call_on, site, over, number)
            for number in range(OTHERS)
        ]
        answers = _send_again_and_again(site, f"{path}/deadly", method)
        over.set()
        beside = [a for other in others for a in other.result()]
    site.until("servers are back", lambda: _all_back(site))
    sent = [soak_checks.Sent("deadly", 0, answer) for answer in answers]
    seen = {name: site.seen(name) for name in LEDGERS}
    assert sum(len(server["ends"]) for server in seen.values()) >= 3
    assert soak_checks.deadly_runs(sent, seen) == []
    served = sum(a.status == 200 and a.whole for a in beside)
    assert served >= 0.9 * len(beside), (served, len(beside))


def _all_back(site):
    try:
        return all(site.seen(name) for name in LEDGERS)
    except OSError:
        return False
