"""Tests of the engine controller, without a network."""

import json
import logging

import pytest
from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.relay import adapter_references
from azureline.relay import claims
from azureline.relay import eligibility
from azureline.relay import engine_controller
from azureline.relay import messages
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from tests import builders_relay
from tests import builders_serving

# Nodes treat a lease holder that does not reply within this time as failed.
REQUESTER_WAIT_S = 0.6
NETWORK_DELAY_S = 0.02
# Interval between two steps of a controller.
STEP_S = 0.2


class _UnresponsiveEngine:
    """Accepts HTTP requests and never answers them."""

    def fetch(self, address, request, timeout_s):
        return defer.Deferred()


class _ReportingEngine:
    """Answers each report request at once, with the same load."""

    def fetch(self, address, request, timeout_s):
        report = {
            "stage": "prefill_decode",
            "models": [{"name": "a", "version": 1, "adapters": []}],
            "born": 1,
            "busy": False,
            "sequence": 0,
            "queued_reqs": 0,
            "running_reqs": 3,
            "kv_used": 0,
            "kv_total": 1,
            "handles": 0,
        }
        head = http1.Head(200, b"OK", ())
        return defer.succeed(http1.Answer(head, json.dumps(report).encode()))


class _CountingEngine:
    """Counts HTTP requests and never answers them."""

    def __init__(self):
        self.calls = 0

    def fetch(self, address, request, timeout_s):
        self.calls += 1
        return defer.Deferred()


class _LossyEngine:
    """Accepts orders; the answer to the first one is lost."""

    def __init__(self):
        self.orders = 0
        self.sequence = 0
        self.adapters = []

    def fetch(self, address, request, timeout_s):
        if request.target == b"/report":
            return defer.succeed(self._answer(200, self._report()))
        self.orders += 1
        order = json.loads(request.body)
        status = 409
        if order["expected"] == self.sequence:
            self.sequence += 1
            if "adapter" in order:
                self.adapters.append(order["adapter"])
            status = 202
        answer = self._answer(status, {})
        if self.orders == 1:
            answer = http1.Failure("timeout", sent=True)
        return defer.succeed(answer)

    def _answer(self, status, document):
        head = http1.Head(status, b"", ())
        return http1.Answer(head, json.dumps(document).encode())

    def _report(self):
        model = {"name": "a", "version": 1, "adapters": self.adapters}
        return {
            "models": [model],
            "born": 1,
            "busy": False,
            "sequence": self.sequence,
            "queued_reqs": 0,
            "running_reqs": 0,
        }


def _controller(clock, engine=None, published=None, pauses=None, models=("a",)):
    dependencies = engine_controller.ControllerDependencies(
        reactor=clock,
        clock=clock,
        client=engine or _UnresponsiveEngine(),
        read_tokens_per_s=38100.0,
        node="n1",
        counters=metrics.Counters(),
        log=events.Log(logging.getLogger("holding"), None),
        publish=[].append if published is None else published.append,
        eligibility=pauses or eligibility.Eligibility(servers.Catalogue()),
        record_call=lambda server, kind: None,
        on_response_head=lambda server, head, sent_at: None,
    )
    return engine_controller.EngineController(
        dependencies,
        builders_relay.server("e1", "a"),
        builders_relay.kind(*models),
        claims.Term(7, 0.0),
        lambda: True,
    )


def test_reservation_without_free_slot_is_denied_before_requester_gives_up():
    """A pending reservation must be answered before its node stops waiting."""
    clock = builders_serving.Clock()
    controller = _controller(clock)
    answers = []
    request = messages.ReservationRequest(1, "e1", "a", "a1", 600, (), 200, 0)
    reference = adapter_references.ReferenceKey("127.0.0.1", 1, 1)
    controller.reserve(request, reference).addCallback(answers.append)
    while clock.now() < REQUESTER_WAIT_S - NETWORK_DELAY_S - STEP_S:
        clock.advance(STEP_S)
        controller.step()
    assert answers and not answers[0].granted
    assert answers[0].reason == "no place"


def test_reading_share_is_published_with_engine_load():
    clock, published = builders_serving.Clock(), []
    controller = _controller(clock, _ReportingEngine(), published)
    reference = adapter_references.ReferenceKey("127.0.0.1", 1, 1)
    for number in range(12):
        request = messages.ReservationRequest(
            number, "e1", "a", "", 9000, (), 5000, 0
        )
        controller.reserve(request, reference)
        for _ in range(2):
            clock.advance(STEP_S)
            controller.step()
    loads = [m for m in published if isinstance(m, messages.EngineLoad)]
    assert loads[-1].requests == 3
    # 9,000 tokens per 0.4 s at 38,100 tokens/s, times the pace factor 1.2.
    assert 50 <= loads[-1].reading_percent <= 90
    assert len(loads) <= 12 * 2 * STEP_S / 0.4, (
        "load is published more often than reports arrive"
    )


def test_paused_engine_receives_no_orders_and_no_report_requests():
    clock, engine = builders_serving.Clock(), _CountingEngine()
    pauses = eligibility.Eligibility(servers.Catalogue())
    controller = _controller(clock, engine, pauses=pauses)
    pauses.pause(controller.server, 3.0, clock.now())
    answers = []
    reference = adapter_references.ReferenceKey("127.0.0.1", 1, 1)
    request = messages.ReservationRequest(1, "e1", "a", "a1", 10, (), 5000, 0)
    controller.reserve(request, reference).addCallback(answers.append)
    while clock.now() < 2.7:
        clock.advance(STEP_S)
        controller.step()
    assert engine.calls == 0
    assert (answers[0].granted, answers[0].reason) == (False, "engine pauses")
    assert 0 < answers[0].wait_s <= 3.0
    clock.advance(STEP_S)
    controller.step()
    assert engine.calls > 0


@pytest.mark.parametrize("closed", [False, True])
def test_a_closed_controller_sends_no_order_when_a_report_arrives(closed):
    """Its node has told the next lease holder when it sent its last order."""
    clock, engine = builders_serving.Clock(), _LossyEngine()
    controller = _controller(clock, engine, models=("a", "b"))
    controller.step()
    target = messages.PlannedModels("e1", 1, 5, ("a", "b"))
    if closed:
        controller.close()
    controller.set_target(target)
    for _ in range(20):
        clock.advance(STEP_S)
        controller.step()
    assert (engine.orders == 0) is closed


def test_orders_go_on_after_a_lost_answer_though_requests_come_all_the_time():
    clock = builders_serving.Clock()
    engine = _LossyEngine()
    controller = _controller(clock, engine)
    controller.step()
    granted = []
    for number in range(60):
        clock.advance(0.1)
        reference = adapter_references.ReferenceKey("127.0.0.1", 1, number)
        request = messages.ReservationRequest(
            number, "e1", "a", f"a{number % 3 + 1}", 10, (), 5000, 0
        )
        controller.reserve(request, reference).addCallback(granted.append)
        controller.step()
    # One for each adapter, and one copy of that whose answer was lost.
    assert engine.orders == 4
    assert granted[-1].granted
