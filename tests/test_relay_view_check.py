"""Tests of the check that a node has every change of the store."""

import pytest
from twisted.internet import defer

from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import view_check
from tests import builders_serving


class _Store:
    """A store whose reads a test answers."""

    def __init__(self):
        self.reads = []

    def list(self, prefix):
        self.reads.append(defer.Deferred())
        return self.reads[-1]


class _Scene:
    """A check of a node that has followed the store up to `revision`."""

    def __init__(self):
        self.clock = builders_serving.Clock()
        self.store = _Store()
        self.revision = 10
        self.check = view_check.ViewCheck(
            self.clock,
            self.clock,
            self.store,
            lambda: self.revision,
            metrics.Counters(),
        )

    def answer(self, revision):
        self.store.reads[-1].callback(store_lib.Listing((), revision))


@pytest.fixture
def scene():
    return _Scene()


def _result(waiting):
    return waiting.result if waiting.called else None


def test_a_node_that_has_all_changes_is_current_at_once(scene):
    waiting = scene.check.is_current()
    scene.answer(10)
    assert _result(waiting) is True


def test_a_node_is_current_once_it_has_followed_the_store(scene):
    waiting = scene.check.is_current()
    scene.answer(12)
    scene.clock.pump([0.05] * 4)
    assert _result(waiting) is None
    scene.revision = 12
    scene.clock.pump([0.05] * 2)
    assert _result(waiting) is True


@pytest.mark.parametrize("revision", [10, None])
def test_a_node_that_does_not_catch_up_within_a_second_is_not_current(
    scene, revision
):
    scene.revision = revision
    waiting = scene.check.is_current()
    scene.answer(11)
    scene.clock.pump([0.05] * 24)
    assert _result(waiting) is False


def test_without_an_answer_of_the_store_a_node_is_not_current(scene):
    waiting = scene.check.is_current()
    scene.store.reads[0].callback(store_lib.Unavailable("timeout", False))
    assert _result(waiting) is False


def test_calls_share_a_read_that_begins_after_all_of_them(scene):
    first = scene.check.is_current()
    later = [scene.check.is_current() for _ in range(30)]
    scene.answer(10)
    assert _result(first) is True
    assert [_result(one) for one in later] == [None] * 30
    scene.answer(10)
    assert [_result(one) for one in later] == [True] * 30
    assert len(scene.store.reads) == 2
