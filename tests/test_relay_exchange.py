"""Tests of the handling of one request, without a network."""

import pytest
from twisted.internet import defer

from azureline.core import errors
from azureline.relay import routes
from azureline.relay import workspaces
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


def _quota_scene(**fields) -> builders_exchange.Scene:
    """Returns a node whose callers have a quota, before the request."""
    route = builders_relay.route(attempts=1, timeout_s=_TIMEOUT_S, **fields)
    scene = builders_exchange.Scene(
        route, key="k1", prompt_tokens=700, output_tokens=50
    )
    quota = workspaces.Quota(1000.0, 1000.0, True, 200)
    workspace = workspaces.Workspace(
        "w1", frozenset([workspaces.digest("k1")]), None, quota
    )
    config = builders_relay.config(2, route)._replace(workspaces=(workspace,))
    scene.context.route_table.put_in_force(config)
    scene.quotas.quota = quota
    return scene


def test_a_request_over_its_quota_is_refused_before_it_is_scheduled():
    scene = _quota_scene()
    scene.quotas.is_over = True
    scene.exchange.start()
    refusal = scene.received.refusal
    assert refusal.kind is errors.ErrorKind.OVER_QUOTA
    assert refusal.answer.status == 429 and refusal.answer.retry_after_s == 0.4
    assert refusal.answer.ran is errors.Ran.NO and not scene.client.calls


def test_a_request_that_ran_keeps_its_grant():
    scene = _quota_scene()
    scene.exchange.start()
    assert scene.quotas.granted[0].amount == 750
    scene.received.disconnect()
    assert scene.client.calls and not scene.quotas.returned


def test_a_request_that_was_not_sent_returns_its_grant():
    scene = _quota_scene()
    scene.exchange.start()
    for _ in range(4):
        scene.break_connection(sent=False)
    assert scene.received.refusal.kind is errors.ErrorKind.DID_NOT_RUN
    assert scene.quotas.returned == scene.quotas.granted[:1]


def test_an_unknown_key_is_refused_before_the_quota_is_asked():
    scene = _quota_scene()
    scene.request = scene.exchange._request = scene.request._replace(key="k2")
    scene.exchange.start()
    assert scene.received.refusal.kind is errors.ErrorKind.UNAUTHENTICATED
    assert not scene.quotas.granted


def test_a_request_of_a_public_route_has_no_quota():
    scene = _quota_scene(public=True)
    scene.exchange.start()
    assert scene.client.calls and not scene.quotas.granted


def test_a_request_that_waited_long_is_charged_again_before_it_is_sent():
    # Requests that are held and sent together would break the bound.
    scene = _quota_scene()
    assigned: defer.Deferred[None] = defer.Deferred()
    assign = scene.context.scheduler.assign

    async def assign_late(*unused):
        await assigned
        return await assign()

    scene.context.scheduler.assign = assign_late
    scene.exchange.start()
    scene.clock.advance(2.1)
    assigned.callback(None)
    assert len(scene.quotas.granted) == 2 and scene.client.calls
    assert not scene.quotas.returned
