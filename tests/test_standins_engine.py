"""Tests of the stand-in for a model engine."""

import json

import pytest
from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from standins import answers
from tests import builders_standins as builders

# Twisted's transport lacks abortConnection, which its own readBody looks for.
pytestmark = pytest.mark.filterwarnings("ignore:Using readBody")


def _offsets(body):
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def _text(body):
    events = [e[6:] for e in body.decode().splitlines() if e[:6] == "data: "]
    assert events[-1] == "[DONE]"
    chunks = [json.loads(e) for e in events[:-1]]
    choices = [chunk["choices"][0] for chunk in chunks]
    assert [c["finish_reason"] for c in choices] == (
        [None] * (len(choices) - 1) + ["stop"]
    )
    return "".join(c["delta"]["content"] for c in choices)


class EngineTest(unittest.TestCase):
    timeout = 20

    def _serve(self, **options):
        self.app = builders.engine_app(**options)
        self.url = builders.serve(self, self.app)

    def _chat(self, request_id, **fields):
        body = builders.chat(request_id, **fields)
        return defer.ensureDeferred(
            builders.call(self.url + "/v1/chat/completions", "POST", body)
        )

    async def _order(self, *args, **fields):
        body = builders.order(*args, **fields)
        sent = await builders.call(self.url + "/orders", "POST", body)
        return json.loads(sent.body)["result"]

    async def _report(self):
        builders.advance(self.app, 0.2)
        return json.loads((await builders.call(self.url + "/report")).body)

    async def _until(self, name, value):
        while (await self._report())[name] != value:
            await builders.sleep(0.001)

    async def test_streams_are_complete_and_name_their_request(self):
        self._serve()
        calls = [self._chat(f"r{i}", max_tokens=i + 1) for i in range(20)]
        for i, waiting in enumerate(calls):
            answer = await builders.run_until(self.app, waiting)
            assert answer.headers.getRawHeaders("X-Request-Id") == [f"r{i}"]
            messages = builders.chat("")["messages"]
            assert _text(answer.body) == answers.text(
                "seam", "", messages, i + 1
            )
            assert _offsets(answer.body) == list(range(i + 1))

    async def test_dropped_stream_continues_and_can_be_resumed(self):
        self._serve()
        waiting = self._chat("r1", max_tokens=400)
        await self._until("running", 1)
        self.app.inject_fault("drop_streams", True)
        await self.assertFailure(waiting, Exception)
        resumed = defer.ensureDeferred(
            builders.call(self.url + "/v1/streams/r1?from=3")
        )
        answer = await builders.run_until(self.app, resumed)
        assert _offsets(answer.body) == list(range(3, 400))
        builders.advance(self.app, 10.5)
        again = await builders.call(self.url + "/v1/streams/r1?from=3")
        assert again.status == 404

    async def test_a_cancelled_stream_frees_its_cache(self):
        self._serve()
        waiting = self._chat("r1", max_tokens=10_000)
        waiting.addErrback(lambda failure: None)
        await self._until("running", 1)
        assert (await self._report())["cache_bytes"] > 0
        url = self.url + "/v1/streams/r1"
        assert (await builders.call(url, "DELETE")).status == 200
        assert (await self._report())["cache_bytes"] == 0
        assert (await builders.call(url, "DELETE")).status == 404

    async def test_queue_is_ordered_by_priority(self):
        self._serve(max_running=1)
        self._chat("a", max_tokens=10_000).addErrback(lambda failure: None)
        await self._until("running", 1)
        done = []
        for waiting, (name, priority) in enumerate([("b", 2), ("c", 0)], 1):
            called = self._chat(name, priority=priority)
            called.addCallback(lambda _, name=name: done.append(name))
            await self._until("queued", waiting)
        await builders.call(self.url + "/v1/streams/a", "DELETE")
        while len(done) < 2:
            builders.advance(self.app, 0.1)
            await builders.sleep(0.001)
        assert done == ["c", "b"]

    async def test_request_that_cannot_run_is_refused_at_once(self):
        self._serve()
        assert (await self._chat("r1", model="other")).status == 404
        assert (await self._chat("r1", adapter="other")).status == 404
        assert (await self._chat("r1", max_tokens=10**6)).status == 429

    async def test_orders_respect_fence_expiry_memory_and_identity(self):
        self._serve()
        assert await self._order("1", "load_model", "b", fence=5) == "accepted"
        assert await self._order("1", "load_model", "b", fence=1) == "accepted"
        old = await self._order("2", "unload_model", "b", fence=4)
        assert old == "refused_fence"
        late = await self._order(
            "3", "unload_model", "b", fence=5, sent_age=5.0
        )
        assert late == "refused_expired"
        big = await self._order(
            "4", "load_model", "c", fence=5, bytes_needed=61 * builders.GB
        )
        assert big == "refused_memory"
        report = await self._report()
        assert [m["name"] for m in report["models"]] == ["seam", "b"]
        assert (report["overcommits"], report["last_order_id"]) == (0, "1")

    async def test_without_checks_overcommits_are_counted(self):
        self._serve(fences=False, memory_check=False)
        size = 71 * builders.GB
        await self._order("1", "load_model", "b", fence=5, bytes_needed=size)
        await self._order("2", "load_adapter", "a", fence=1, bytes_needed=1)
        report = await self._report()
        assert report["overcommits"] == 2
        assert [a["name"] for a in report["adapters"]] == ["a"]

    async def test_an_unload_waits_for_the_streams_of_its_model(self):
        self._serve()
        waiting = self._chat("r1", max_tokens=100)
        await self._until("running", 1)
        await self._order("1", "unload_model", "seam")
        assert (await self._chat("r2")).status == 404
        report = await self._report()
        assert [m["state"] for m in report["models"]] == ["unloading"]
        answer = await builders.run_until(self.app, waiting)
        assert len(_offsets(answer.body)) == 100
        await self._until("models", [])

    async def test_lost_order_has_no_effect_and_delayed_order_executes(self):
        self._serve()
        self.app.inject_fault("lose_orders", 1)
        await self.assertFailure(
            defer.ensureDeferred(self._order("1", "load_model", "b")),
            Exception,
        )
        assert len((await self._report())["models"]) == 1
        self.app.inject_fault("order_delay_s", 3.0)
        late = defer.ensureDeferred(self._order("1", "load_model", "b"))
        assert await builders.run_until(self.app, late) == "accepted"

    async def test_reports_lag_and_contain_their_age(self):
        self._serve(report_lag_s=2.0)
        builders.advance(self.app, 3.0)
        await self._order("1", "load_model", "b")
        report = await self._report()
        assert len(report["models"]) == 1 and 1.9 < report["age_s"] < 2.2
        builders.advance(self.app, 2.2)
        assert len((await self._report())["models"]) == 2


class RealClockTest(unittest.TestCase):
    timeout = 20

    async def test_loads_go_through_the_store_of_the_platform(self):
        platform = builders.serve(
            self, builders.platform_app(clock=reactor, store_rate=1000)
        )
        app = builders.engine_app(clock=reactor, platform=platform)
        url = builders.serve(self, app)
        body = builders.order("1", "load_model", "b", bytes_needed=builders.GB)
        await builders.call(url + "/orders", "POST", body)
        assert not app.memory.is_ready("b", "")
        while not app.memory.is_ready("b", ""):
            await builders.sleep(0.01)
        stats = await builders.call(platform + "/stats")
        assert json.loads(stats.body)["load_model"] == 1
