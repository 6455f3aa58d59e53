"""Planned stops of a node while requests keep arriving."""

import concurrent.futures
import signal
import time

import pytest

from azureline.relay import planned_stop
from azureline.relay import routes
from tests import builders_relay
from tests import builders_site as builders

pytestmark = pytest.mark.processes

# A grace period that is not much longer than a request.
GRACE_S = 2.4
NOTICE_S = 1.9
WORK_S = 0.8
CALLERS = 8


@pytest.fixture
def site():
    stop = {"grace_s": GRACE_S, "notice_s": NOTICE_S}
    with builders.running(work_s=WORK_S, settings={"stop": stop}) as running:
        yield running


def _call(site, number, ends_at):
    caller, answers = site.caller(), []
    while time.monotonic() < ends_at:
        path = "/post/x" if number % 2 else "/look/x"
        answers.append(
            caller.send(path, method="POST" if number % 2 else "GET", keep=True)
        )
        if answers[-1].status == 0:
            break
        time.sleep(0.03)
    return answers


def test_a_planned_stop_cuts_off_no_request_that_was_taken(site):
    ends_at = time.monotonic() + GRACE_S + 2.0
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
        calls = [
            threads.submit(_call, site, number, ends_at)
            for number in range(CALLERS)
        ]
        time.sleep(1.0)
        site.signal("relay-1", signal.SIGTERM)
        answers = [one for call in calls for one in call.result()]
    ran = [a for a in answers if site.runs_of(a.request_id)]
    cut = [a for a in ran if a.status != 200 or not a.complete]
    assert len(ran) > CALLERS
    assert cut == []
    refused = [a for a in answers if a.status == 503]
    assert all(site.runs_of(a.request_id) == 0 for a in refused)


@pytest.mark.parametrize(
    ("kind", "patience_s", "average_s", "left_s", "taken"),
    [
        (routes.Kind.NON_IDEMPOTENT, 3.0, 0.1, 3.4, True),
        (routes.Kind.NON_IDEMPOTENT, 3.0, 0.1, 3.0, False),
        (routes.Kind.NON_IDEMPOTENT, None, 0.1, 5.4, True),
        (routes.Kind.IDEMPOTENT, 3.0, 0.1, 1.0, True),
        (routes.Kind.IDEMPOTENT, 3.0, 1.0, 1.0, False),
        (routes.Kind.IDEMPOTENT, 3.0, None, 1.0, False),
    ],
)
def test_only_requests_that_end_in_time_are_taken(
    kind, patience_s, average_s, left_s, taken
):
    route = builders_relay.route(kind=kind)
    found = planned_stop.ends_in_time(route, patience_s, average_s, left_s)
    assert found is taken
