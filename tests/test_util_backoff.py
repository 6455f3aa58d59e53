"""Tests of backoff and of its users during long outages."""

import random

import pytest

from azureline.at_most_once import cas_write
from azureline.at_most_once import page
from azureline.fleet import ownership
from azureline.platform import interface
from azureline.routing import breaker
from azureline.util import backoff

# Attempts during an outage of hours, with some seconds between two.
ATTEMPTS = 3000
EMPTY_PAGE = page.Page(0, True, page.WriteId(0, "", 0), 0, ())


@pytest.mark.parametrize(
    "failures, expected",
    [(0, 0.2), (1, 0.4), (3, 1.6), (9, 5.0), (ATTEMPTS, 5.0)],
)
def test_the_pause_doubles_up_to_its_limit(failures, expected):
    assert backoff.pause_s(0.2, 5.0, failures) == pytest.approx(expected)


def test_ownership_is_polled_through_an_outage_of_hours():
    now = 0.0
    slots = ownership.Ownership(
        "n1", "id", "127.0.0.1:1", ("s",), now, random.Random(1)
    )
    slots.set_live_nodes(now, ["n1"])
    reads = 0
    for _ in range(ATTEMPTS):
        now = max(now, slots.wake_at())
        for effect in slots.tick(now):
            assert isinstance(effect, ownership.Read)
            reads += 1
            slots.read_result(now, "s", interface.Unavailable("timeout"))
    assert reads == ATTEMPTS


def test_a_write_is_retried_through_an_outage_of_hours():
    written = cas_write.CasWrite(random.Random(1))
    written.start(0.0, "once/0/page/0", EMPTY_PAGE, 0)
    for _ in range(ATTEMPTS):
        assert not written.handle_result(0.0, interface.Unavailable("timeout"))


def test_a_server_may_fail_for_hours():
    breakers = breaker.Breakers(random.Random(1))
    now = 0.0
    for _ in range(ATTEMPTS):
        breakers.failed(now, "e1")
        now += 100.0
    assert not breakers.is_permitted(now - 100.0, "e1")
