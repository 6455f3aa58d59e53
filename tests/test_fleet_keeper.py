"""Tests of the owner of a slot's engines."""

import pytest

from azureline.backends import http
from azureline.backends import interface
from azureline.fleet import engine_messages
from azureline.fleet import keeper as keeper_lib
from azureline.metrics import counters as metrics
from tests import builders_directory
from tests import builders_serving

GB = builders_directory.GB


class _Backends:
    """One engine's reports and orders."""

    def __init__(self):
        self.orders = []
        self.models = {"seam": "ready"}
        self.adapters = ()
        self.incarnation = "run-1"
        self.name = "e1"
        self.sequence = 0
        self.dead = False

    async def report(self, url):
        if self.dead:
            return http.Failure("refused", False)
        self.sequence += 1
        held = tuple(
            interface.Resident(n, "1", 10 * GB, s)
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

    async def order(self, url, order):
        self.orders.append(order)
        return interface.OrderResult.ACCEPTED


class _World:
    """A keeper of one engine and what it tells."""

    def __init__(self, settles_at=0.0):
        self.clock = builders_serving.Clock()
        self.backends = _Backends()
        self.told = []
        self.replies = []
        self.lease = True
        self.room = 1
        self.planner_epoch = 3
        self.keeper = keeper_lib.Keeper(
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
        self.keeper.start()
        config = builders_directory.configuration()
        engines = {"e1": config.engines["e1"]}
        self.keeper.post(keeper_lib.Configure(engines, config))
        self.clock.pump([0.1] * 20)

    def _peers(self):
        return keeper_lib.Peers(
            backends=self.backends,
            url=lambda engine: "http://e1",
            tell=lambda *rumour: self.told.append(rumour),
            reply=lambda node, message: self.replies.append(message),
            may_act=lambda travel_s: self.lease,
            planner_epoch=lambda: self.planner_epoch,
            borrow=self._borrow,
            give_back=self._give_back,
        )

    def _borrow(self):
        self.room -= 1
        return self.room >= 0

    def _give_back(self):
        self.room += 1

    def ask(self, message):
        self.replies.clear()
        self.keeper.post(keeper_lib.Asked("n2", message))
        return [r.result for r in self.replies if hasattr(r, "result")]

    def view(self):
        return keeper_lib.parse_view(self.told[-1][-1])


@pytest.fixture(name="world")
def fixture_world():
    return _World()


def _load(move_id="m1", epoch=3, bytes_needed=20 * GB):
    return engine_messages.MoveRequest(
        move_id, epoch, "e1", "load_model", "dial", "1", bytes_needed
    )


def test_a_move_is_ordered_with_the_fence_and_answered(world):
    assert world.ask(_load()) == ["accepted"]
    [order] = world.backends.orders
    assert (order.fence, order.target) == (7, "dial")


def test_a_repeated_request_sends_one_order(world):
    assert world.ask(_load()) == world.ask(_load()) == ["accepted"]
    assert len(world.backends.orders) == 1


def test_a_load_without_room_is_not_sent(world):
    assert world.ask(_load(bytes_needed=75 * GB)) == ["no_room"]
    assert not world.backends.orders


def test_nothing_is_sent_when_the_lease_does_not_cover_the_travel(world):
    world.lease = False
    assert world.ask(_load()) == ["lease_too_short"]
    assert not world.backends.orders


def test_a_former_planner_is_refused(world):
    assert world.ask(_load(epoch=2)) == ["old_planner"]


def test_a_new_owner_loads_nothing_before_old_orders_are_dead():
    world = _World(settles_at=30.0)
    assert world.ask(_load()) == ["unsettled"]
    assert world.view().free_bytes == 0
    world.clock.pump([0.5] * 80)
    assert world.ask(_load("m2")) == ["accepted"]


def test_views_are_told_on_change_only(world):
    told = len(world.told)
    world.clock.pump([0.5] * 20)
    assert len(world.told) == told
    world.backends.models["dial"] = "loading"
    world.clock.pump([0.5] * 4)
    assert len(world.told) == told + 1
    states = {h.name: h.state for h in world.view().models}
    assert states == {"seam": "ready", "dial": "loading"}


def test_an_ordered_unload_counts_as_begun_before_the_engine_says_so(world):
    unload = _load()._replace(
        kind="unload_model", target="seam", bytes_needed=10 * GB
    )
    assert world.ask(unload) == ["accepted"]
    world.clock.pump([0.5] * 3)
    [held] = world.view().models
    assert (held.state, held.sure) == ("unloading", False)


def test_an_engine_that_does_not_answer_is_told_as_down(world):
    world.backends.dead = True
    world.clock.pump([0.5] * 10)
    assert world.view().down
    world.backends.dead = False
    world.backends.incarnation = "run-2"
    world.clock.pump([0.5] * 4)
    assert not world.view().down
    assert world.view().incarnation == "run-2"


def test_the_report_of_another_engine_counts_as_none(world):
    world.backends.name = "e9"
    world.backends.models = {}
    world.clock.pump([0.5] * 10)
    assert world.view().down
    assert [h.name for h in world.view().models] == ["seam"]


def test_an_adapter_is_loaded_once_for_all_who_want_it(world):
    wanted = engine_messages.AdapterWanted("e1", "can")
    for node in ("n2", "n3"):
        world.keeper.post(keeper_lib.Asked(node, wanted))
    world.clock.pump([0.1] * 5)
    kinds = [o.kind for o in world.backends.orders]
    assert kinds == [interface.OrderKind.LOAD_ADAPTER]
    assert all(r.ready for r in world.replies) and world.replies
    assert world.room == 1


def test_an_adapter_waits_for_its_share_of_the_transit(world):
    world.room = 0
    wanted = engine_messages.AdapterWanted("e1", "can")
    world.keeper.post(keeper_lib.Asked("n2", wanted))
    assert [r.reason for r in world.replies] == ["transit_full"]
    assert not world.backends.orders


def test_the_adapter_that_is_idle_longest_makes_room(world):
    world.backends.adapters = tuple(
        interface.Resident(name, "1", 31 * GB, "ready")
        for name in ("old", "older")
    )
    world.clock.pump([0.5] * 80)
    world.keeper.post(
        keeper_lib.Asked("n2", engine_messages.AdapterWanted("e1", "old"))
    )
    wanted = engine_messages.AdapterWanted("e1", "can")
    world.keeper.post(keeper_lib.Asked("n2", wanted))
    [order] = world.backends.orders
    assert order.kind is interface.OrderKind.UNLOAD_ADAPTER
    assert order.target == "older"
