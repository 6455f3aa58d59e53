"""Requests that end the servers that run them, with real processes."""

import concurrent.futures
import itertools
import threading
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes

LEDGERS = tuple(f"ledger-{number}" for number in range(1, 7))
# The users' bounds: what a node learns is known everywhere within CONTACT_S,
# and after that three more sends may reach servers.
CONTACT_S = 3.0
ENDS = 3
RETRIES = 3
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


def _late_runs(site, answers):
    """Returns how often it ran long after three ends, and all ends' times."""
    seen = [site.seen(name) for name in LEDGERS]
    ends = sorted(at for server in seen for at in server["ends"])
    ids = {answer.request_id for answer in answers}
    runs = [
        run["at"]
        for server in seen
        for run in server["runs"]
        if run["request_id"] in ids
    ]
    if len(ends) < ENDS:
        return 0, ends
    return sum(at > ends[ENDS - 1] + CONTACT_S for at in runs), ends


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
    late, ends = _late_runs(site, answers)
    assert late <= RETRIES, (late, len(ends))
    served = sum(a.status == 200 and a.whole for a in beside)
    assert served >= 0.9 * len(beside), (served, len(beside))


def _all_back(site):
    try:
        return all(site.seen(name) for name in LEDGERS)
    except OSError:
        return False
