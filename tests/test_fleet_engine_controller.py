"""Tests of the controller of a slot's engines."""

import pytest

from azureline.backends import http
from azureline.backends import interface
from azureline.fleet import engine_controller
from azureline.fleet import engine_messages
from azureline.metrics import counters as metrics
from tests import builders_directory
from tests import builders_serving

GB = builders_directory.GB


class _Backends:
    """Serves the reports of one engine and records its orders."""

    def __init__(self):
        self.orders = []
        self.models = {"seam": "ready"}
        self.adapters = ()
        self.incarnation = "run-1"
        self.name = "e1"
        self.sequence = 0
        self.unreachable = False

    async def fetch_report(self, url):
        if self.unreachable:
            return http.Failure("refused", False)
        self.sequence += 1
        held = tuple(
            interface.ResidentModel(n, "1", 10 * GB, s)
            for n, s in self.models.items()
        )
        return interface.Report(
            self.name,
            self.incarnation,
            self.sequence,
            0.5,
            80 * GB,
            0,
            held,
            self.adapters,
            0,
            0,
            "",
            0,
            True,
            False,
        )

    async def send_order(self, url, order):
        self.orders.append(order)
        return interface.OrderResult.ACCEPTED


class _ControllerHarness:
    """A controller of one engine with what it publishes and replies."""

    def __init__(self, settles_at=0.0):
        self.clock = builders_serving.Clock()
        self.backends = _Backends()
        self.published = []
        self.replies = []
        self.lease_valid = True
        self.permits = 1
        self.planner_epoch = 3
        self.controller = engine_controller.EngineController(
            self.clock,
            "n1",
            "engines/1",
            7,
            settles_at,
            self.clock,
            self._peers(),
            metrics.Counters(),
            poll_s=1.0,
        )
        self.controller.start()
        config = builders_directory.configuration()
        engines = {"e1": config.engines["e1"]}
        self.controller.post(engine_controller.Configure(engines, config))
        self.clock.pump([0.1] * 20)

    def _peers(self):
        return engine_controller.Peers(
            backends=self.backends,
            url=lambda engine: "http://e1",
            publish=lambda *entry: self.published.append(entry),
            reply=lambda node, message: self.replies.append(message),
            may_act=lambda travel_s: self.lease_valid,
            planner_epoch=lambda: self.planner_epoch,
            acquire_load_permit=self._acquire_load_permit,
            release_load_permit=self._release_load_permit,
        )

    def _acquire_load_permit(self):
        self.permits -= 1
        return self.permits >= 0

    def _release_load_permit(self):
        self.permits += 1

    def request(self, message):
        self.replies.clear()
        self.controller.post(engine_controller.PeerMessage("n2", message))
        return [r.result for r in self.replies if hasattr(r, "result")]

    def view(self):
        return engine_controller.parse_view(self.published[-1][-1])


@pytest.fixture(name="harness")
def fixture_harness():
    return _ControllerHarness()


def _load(move_id="m1", epoch=3, bytes_needed=20 * GB):
    return engine_messages.MoveRequest(
        move_id, epoch, "e1", "load_model", "dial", "1", bytes_needed
    )


def test_a_move_sends_an_order_with_the_fence_and_a_reply(harness):
    assert harness.request(_load()) == ["accepted"]
    [order] = harness.backends.orders
    assert (order.fence, order.target) == (7, "dial")


def test_a_repeated_request_sends_one_order(harness):
    assert harness.request(_load()) == harness.request(_load()) == ["accepted"]
    assert len(harness.backends.orders) == 1


def test_a_load_without_free_memory_is_not_sent(harness):
    assert harness.request(_load(bytes_needed=75 * GB)) == ["no_room"]
    assert not harness.backends.orders


def test_no_order_is_sent_if_the_lease_may_end_before_it_arrives(harness):
    harness.lease_valid = False
    assert harness.request(_load()) == ["lease_too_short"]
    assert not harness.backends.orders


def test_a_move_of_a_former_planner_is_refused(harness):
    assert harness.request(_load(epoch=2)) == ["old_planner"]


def test_a_new_owner_loads_nothing_before_old_orders_expire():
    harness = _ControllerHarness(settles_at=30.0)
    assert harness.request(_load()) == ["unsettled"]
    assert harness.view().free_bytes == 0
    harness.clock.pump([0.5] * 80)
    assert harness.request(_load("m2")) == ["accepted"]


def test_views_are_published_on_change_only(harness):
    count = len(harness.published)
    harness.clock.pump([0.5] * 20)
    assert len(harness.published) == count
    harness.backends.models["dial"] = "loading"
    harness.clock.pump([0.5] * 4)
    assert len(harness.published) == count + 1
    states = {h.name: h.state for h in harness.view().models}
    assert states == {"seam": "ready", "dial": "loading"}


def test_an_ordered_unload_shows_as_unloading_before_a_report_does(harness):
    unload = _load()._replace(
        kind="unload_model", target="seam", bytes_needed=10 * GB
    )
    assert harness.request(unload) == ["accepted"]
    harness.clock.pump([0.5] * 3)
    [held] = harness.view().models
    assert (held.state, held.safe_from_unload) == ("unloading", False)


def test_an_engine_that_does_not_answer_is_published_as_down(harness):
    harness.backends.unreachable = True
    harness.clock.pump([0.5] * 10)
    assert harness.view().unreachable
    harness.backends.unreachable = False
    harness.backends.incarnation = "run-2"
    harness.clock.pump([0.5] * 4)
    assert not harness.view().unreachable
    assert harness.view().incarnation == "run-2"


def test_the_report_of_another_engine_counts_as_missed(harness):
    harness.backends.name = "e9"
    harness.backends.models = {}
    harness.clock.pump([0.5] * 10)
    assert harness.view().unreachable
    assert [h.name for h in harness.view().models] == ["seam"]


def test_an_adapter_is_loaded_once_for_all_requesting_nodes(harness):
    wanted = engine_messages.AdapterRequest("e1", "can")
    for node in ("n2", "n3"):
        harness.controller.post(engine_controller.PeerMessage(node, wanted))
    harness.clock.pump([0.1] * 5)
    kinds = [o.kind for o in harness.backends.orders]
    assert kinds == [interface.OrderKind.LOAD_ADAPTER]
    assert all(r.ready for r in harness.replies) and harness.replies
    assert harness.permits == 1


def test_an_adapter_is_not_loaded_without_a_permit(harness):
    harness.permits = 0
    wanted = engine_messages.AdapterRequest("e1", "can")
    harness.controller.post(engine_controller.PeerMessage("n2", wanted))
    assert [r.reason for r in harness.replies] == ["transit_full"]
    assert not harness.backends.orders


def test_the_longest_idle_adapter_is_unloaded_to_free_memory(harness):
    harness.backends.adapters = tuple(
        interface.ResidentModel(name, "1", 31 * GB, "ready")
        for name in ("old", "older")
    )
    harness.clock.pump([0.5] * 80)
    harness.controller.post(
        engine_controller.PeerMessage(
            "n2", engine_messages.AdapterRequest("e1", "old")
        )
    )
    wanted = engine_messages.AdapterRequest("e1", "can")
    harness.controller.post(engine_controller.PeerMessage("n2", wanted))
    [order] = harness.backends.orders
    assert order.kind is interface.OrderKind.UNLOAD_ADAPTER
    assert order.target == "older"
