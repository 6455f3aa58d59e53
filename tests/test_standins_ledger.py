"""Tests of the stand-ins for a ledger engine and for transfers."""

import json

import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.trial import unittest

from standins import ledger
from standins import store
from tests import builders_standins as builders

# Twisted's transport lacks abortConnection, which its own readBody looks for.
pytestmark = pytest.mark.filterwarnings("ignore:Using readBody")


class LedgerTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.app = ledger.Ledger(task.Clock())
        self.url = builders.serve(self, self.app)

    def _approve(self):
        return defer.ensureDeferred(
            builders.call(
                self.url + "/lots/7/approve", "POST", {}, headers={"X-Key": "k"}
            )
        )

    async def _count(self):
        return json.loads((await builders.call(self.url + "/count")).body)

    async def test_runs_are_counted_by_key(self):
        first, second = await self._approve(), await self._approve()
        assert json.loads(first.body)["run"] == 1
        assert json.loads(second.body)["run"] == 2
        assert (await self._count())["by_key"] == {"k": 2}

    async def test_busy_ledger_reports_that_request_was_not_started(self):
        self.app.inject_fault("busy_s", 5.0)
        refused = await self._approve()
        assert refused.status == 503
        assert refused.headers.getRawHeaders("X-Not-Started") == ["1"]
        builders.advance(self.app, 5.1)
        assert (await self._approve()).status == 200
        assert (await self._count())["runs"] == 1

    async def test_request_with_dropped_answer_has_run(self):
        self.app.inject_fault("drop_answers", 1)
        await self.assertFailure(self._approve(), Exception)
        assert (await self._count())["runs"] == 1

    async def test_delayed_answer_belongs_to_request_that_ran_at_once(self):
        self.app.inject_fault("delay_s", 30.0)
        waiting = self._approve()
        while (await self._count())["runs"] == 0:
            await builders.sleep(0.001)
        assert not waiting.called
        assert (await builders.run_until(self.app, waiting)).status == 200


def test_transfers_beyond_full_speed_limit_slow_down_in_proportion():
    clock = task.Clock()
    transfers = store.TransferPool(clock, 1000.0, 2)
    done = []
    for i in range(4):
        loading = transfers.start(1.0)
        loading.addCallback(lambda _, i=i: done.append((i, clock.seconds())))
        clock.advance(0.01)
    clock.pump([0.01] * 250)
    assert len(done) == 4
    assert all(1.9 < at < 2.1 for _, at in done)


def test_transfers_start_no_faster_than_their_rate():
    clock = task.Clock()
    transfers = store.TransferPool(clock, 2.0, 5)
    done = []
    for _ in range(3):
        transfers.start(0.1).addCallback(lambda _: done.append(clock.seconds()))
    clock.pump([0.01] * 200)
    assert [round(at, 1) for at in done] == [0.1, 0.6, 1.1]
