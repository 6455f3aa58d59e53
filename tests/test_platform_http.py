"""Tests of the platform's HTTP clients against the stand-in."""

import json

import pytest
from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from azureline.platform import http
from azureline.platform import interface
from azureline.util import bodies
from tests import builders_http1
from tests import builders_standins as builders

# Twisted's transport lacks the abortConnection method that readBody expects.
pytestmark = pytest.mark.filterwarnings("ignore:Using readBody")


class KeyValueTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.app = builders.platform_app(writes_per_s=40)
        self.url = builders.serve(self, self.app)
        self.kv = self._client(timeout_s=10.0)

    def _client(self, url="", **options):
        kv = http.HttpKeyValue(reactor, url or self.url, **options)
        self.addCleanup(kv.close)
        return kv

    async def test_a_read_returns_the_write_and_versions_increase(self):
        assert await self.kv.get("config/base file") is None
        first = await self.kv.put("config/base file", b"\x00a", 0)
        second = await self.kv.put("config/base file", b"b", first.version)
        assert second.version > first.version > 0
        assert await self.kv.get("config/base file") == second

    async def test_a_conflict_returns_the_current_entry(self):
        entry = await self.kv.put("k", b"mine", 0)
        assert await self.kv.put("k", b"late", 0) == interface.Conflict(entry)
        gone = await self.kv.put("absent", b"x", 7)
        assert gone == interface.Conflict(None)

    async def test_a_write_without_an_answer_is_unavailable_but_takes_effect(
        self,
    ):
        self.app.inject_fault("lose_answers", 1)
        # A stall of this process must not end the call before it is sent.
        lost = await self._client(timeout_s=2.0).put("k", b"mine", 0)
        assert isinstance(lost, interface.Unavailable) and lost.sent
        assert (await self.kv.get("k")).value == b"mine"

    async def test_calls_are_unavailable_during_an_outage(self):
        kv = self._client(timeout_s=0.2)
        self.app.inject_fault("down_s", 60)
        found = await defer.gatherResults(
            [kv.get("k"), kv.put("k", b"v", 0), kv.grant(5), kv.renew("x")]
        )
        assert {(type(f), f.sent) for f in found} == {
            (interface.Unavailable, True)
        }
        builders.advance(self.app, 60.1)
        assert await self.kv.get("k") is None

    async def test_a_refused_connection_reports_that_nothing_was_sent(self):
        refused = await self._client("http://127.0.0.1:1").put("k", b"v", 0)
        assert isinstance(refused, interface.Unavailable)
        assert not refused.sent

    async def test_calls_over_the_rate_limit_are_unavailable(self):
        found = [await self.kv.put(f"k{i}", b"v", 0) for i in range(15)]
        assert [bool(f) for f in found] == [True] * 10 + [False] * 5
        assert "rate" in found[-1].reason

    async def test_a_value_over_the_size_limit_is_unavailable(self):
        assert not await self.kv.put("k", bytes(1_000_001), 0)
        assert await self.kv.put("k", bytes(1_000_000), 0)

    async def test_a_key_expires_with_its_lease_and_its_version_never_decreases(
        self,
    ):
        lease_id = await self.kv.grant(3.0)
        entry = await self.kv.put("owner", b"n1", 0, lease_id)
        builders.advance(self.app, 2.0)
        assert await self.kv.renew(lease_id) is True
        builders.advance(self.app, 2.0)
        assert await self.kv.get("owner") == entry
        builders.advance(self.app, 2.0)
        assert await self.kv.get("owner") is None
        assert await self.kv.renew(lease_id) is False
        later = await self.kv.put("owner", b"n2", 0)
        assert later.version > entry.version

    async def test_a_watch_returns_a_change_or_the_absence_of_the_key(self):
        waiting = self.kv.watch("k", 0, 5.0)
        written = await self.kv.put("k", b"new", 0)
        assert await waiting == written
        assert await self.kv.watch("k", 0, 5.0) == written
        gone = await self.kv.watch("absent", 3, 5.0)
        assert gone == interface.Entry(b"", 0)

    async def test_a_watch_without_changes_returns_none(self):
        waiting = self.kv.watch("k", 0, 5.0)
        while not (await self._stats()).get("watch"):
            pass
        builders.advance(self.app, 5.1)
        assert await waiting is None

    async def test_a_call_succeeds_after_an_unresponsive_connection_timed_out(
        self,
    ):
        kv = self._client(timeout_s=1.0)
        await kv.put("k", b"v", 0)
        self.app.inject_fault("freeze_s", 1)
        builders.advance(self.app, 0.1)
        assert not await kv.get("k")
        assert (await kv.get("k")).value == b"v"

    async def _stats(self):
        return json.loads((await builders.call(self.url + "/stats")).body)


class VmListTest(unittest.TestCase):
    timeout = 20

    async def test_the_list_is_delayed_and_marks_leaving_vms(self):
        app = builders.platform_app(vm_lag_s=0.4)
        url = builders.serve(self, app)
        vms = http.HttpVmList(reactor, url)
        self.addCleanup(vms.close)
        vm = interface.Vm("e1", "127.0.0.1", 9, "engine", "d1", False)
        await builders.call(url + "/vms", "POST", vm._asdict())
        await builders.call(url + "/vms/e1/leave", "POST")
        assert await vms.list() == ()
        builders.advance(app, 1.0)
        assert await vms.list() == (vm._replace(leaving=True),)

    async def test_a_refused_connection_makes_the_list_unavailable(self):
        vms = http.HttpVmList(reactor, "http://127.0.0.1:1")
        self.addCleanup(vms.close)
        found = await vms.list()
        assert isinstance(found, interface.Unavailable) and not found.sent


class EndlessTest(unittest.TestCase):
    timeout = 20

    async def test_small_chunks_without_an_end_fail_before_the_timeout(self):
        start = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        address, served = builders_http1.serve_endless(
            self, start, b"1\r\nx\r\n" * 9999
        )
        url = f"http://{address.host}:{address.port}"
        kv = http.HttpKeyValue(reactor, url, timeout_s=10.0)
        self.addCleanup(kv.close)
        found = await kv.get("k")
        assert isinstance(found, interface.Unavailable)
        assert found.reason == bodies.TOO_MANY_PARTS and found.sent
        await served.closed.addTimeout(2.0, reactor)
