"""Tests of the handling of one request, without a network."""

import pytest

from azureline.core import errors
from azureline.relay import routes
from tests import builders_exchange
from tests import builders_relay

_TIMEOUT_S = 3.0


def _stream_scene() -> builders_exchange.Scene:
    """Returns a node that has sent a stream's request, 0.1 s before timeout."""
    route = builders_relay.route(
        kind=routes.Kind.STREAMING, timeout_s=_TIMEOUT_S, attempts=1
    )
    scene = builders_exchange.Scene(route, parts=builders_exchange.PARTS)
    scene.exchange.start()
    scene.clock.advance(_TIMEOUT_S - 0.1)
    return scene


def test_a_new_process_holds_requests_until_its_first_configuration():
    scene = builders_exchange.Scene()
    scene.exchange.start()
    scene.clock.advance(0.02)
    assert scene.received.refusal is None
    scene.context.route_table.put_in_force(builders_relay.config(1))
    scene.clock.advance(0.02)
    assert scene.received.refusal.kind is errors.ErrorKind.NOT_FOUND


def test_a_process_without_a_configuration_refuses_within_300_ms():
    scene = builders_exchange.Scene()
    scene.exchange.start()
    scene.clock.pump([0.02] * 14)
    assert scene.received.refusal.kind is errors.ErrorKind.NOT_READY
    assert scene.clock.seconds() < 0.3


def test_a_disconnect_before_the_first_configuration_ends_the_request():
    scene = builders_exchange.Scene()
    done = scene.exchange.start()
    scene.received.disconnect()
    assert done.called
    assert not scene.clock.getDelayedCalls()


@pytest.mark.parametrize("end", ["deadline", "planned stop"])
def test_a_request_that_ran_is_not_refused_as_not_run_while_a_probe_waits(end):
    # Its connection breaks, and it ends before the server is known to live.
    scene = _stream_scene()
    scene.break_connection()
    scene.clock.advance(0.05)
    assert scene.received.refusal is None
    if end == "deadline":
        scene.clock.advance(0.1)
    else:
        scene.exchange.expire()
    assert scene.received.refusal.answer.ran is not errors.Ran.NO
    assert scene.received.refusal.kind is errors.ErrorKind.DEADLINE_EXCEEDED


def test_a_request_that_was_never_sent_is_refused_as_not_run():
    scene = _stream_scene()
    for _ in range(4):
        scene.break_connection(sent=False)
    assert len(scene.client.calls) == 4
    assert scene.received.refusal.answer.ran is errors.Ran.NO


def test_answers_without_an_end_leave_room_for_the_bodies_of_requests():
    # Callers' sound requests were refused with 429.
    scene = builders_exchange.Scene(builders_relay.route(timeout_s=_TIMEOUT_S))
    scene.exchange.start()
    scene.answer(b"x" * 300_000)
    assert scene.context.body_budget.used_bytes == 0
    assert scene.context.answer_budget.used_bytes > 200_000
    scene.break_connection()
    assert scene.context.answer_budget.used_bytes == 0
