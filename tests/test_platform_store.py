"""Tests of the client of the platform's store against the stand-in."""

import pytest
from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from azureline.platform import store as store_lib
from azureline.util import http1
from standins import kv_service
from standins import options
from tests import builders_http1
from tests import builders_standins as builders

pytestmark = pytest.mark.filterwarnings("ignore:Using readBody")


class StoreTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.app = kv_service.KvService(options.KvOptions(history=50))
        url = builders.serve(self, self.app)
        self.addCleanup(self._stop_sweep)
        host, _, port = url.removeprefix("http://").rpartition(":")
        self.address = http1.Address(host, int(port))
        self.store = self._client(timeout_s=0.3)

    def _client(self, timeout_s):
        client = builders_http1.client(self)
        return store_lib.StoreClient(client, self.address, timeout_s)

    def _stop_sweep(self):
        for call in reactor.getDelayedCalls():
            if "_sweep" in str(call):
                call.cancel()

    async def test_a_written_item_is_read_and_listed(self):
        put = store_lib.Put("a/1", b"\x00one")
        done = await self.store.transact({"a/1": 0}, (put,))
        item = await self.store.get("a/1")
        assert (item.value, item.revision) == (b"\x00one", done.revision)
        assert await self.store.get("a/2") is None
        listing = await self.store.list("a/")
        assert listing.items == (item,) and listing.revision >= done.revision

    async def test_a_long_listing_is_read_in_pages(self):
        for number in range(120):
            self.app.put(f"p/{number:03}", b"x")
        listing = await self.store.list("p/")
        assert len(listing.items) == 120

    async def test_a_conflict_tells_what_is_there(self):
        # A stall of this process must not look like a store that is away.
        store = self._client(timeout_s=10.0)
        put = store_lib.Put("k", b"mine")
        await store.transact({"k": 0}, (put,))
        found = await store.transact({"k": 0}, (put,))
        assert isinstance(found, store_lib.Conflict), found
        assert found.items[0].value == b"mine"

    async def test_a_watch_returns_changes_in_order(self):
        after = self.app.put("w/0", b"0")
        self.app.put("w/1", b"1")
        self.app.put("other", b"x")
        self.app.remove("w/0")
        seen = await self.store.watch("w/", after, 1.0)
        assert [type(e) for e in seen.events] == [
            store_lib.Item,
            store_lib.Deleted,
        ]
        more = self.store.watch("w/", seen.revision, 1.0)
        more = defer.ensureDeferred(more)
        self.app.put("w/2", b"2")
        assert (await more).events[0].key == "w/2"

    async def test_a_watch_without_changes_returns_no_events(self):
        revision = self.app.put("w/0", b"0")
        seen = await self.store.watch("w/", revision, 0.1)
        assert seen.events == ()

    async def test_a_watch_from_a_discarded_revision_reports_history_gone(self):
        revision = self.app.put("w/0", b"0")
        self.app.put("w/1", b"1")
        self.app.inject_fault("forget", True)
        seen = await self.store.watch("w/", revision, 0.1)
        assert isinstance(seen, store_lib.HistoryGone)

    async def test_a_change_without_an_answer_may_have_taken_effect(self):
        self.app.inject_fault("lose_answers", 1)
        put = store_lib.Put("k", b"v")
        lost = await self.store.transact({"k": 0}, (put,))
        assert isinstance(lost, store_lib.Unavailable) and lost.may_have_applied
        assert (await self.store.get("k")).value == b"v"

    async def test_a_refused_call_has_no_effect(self):
        self.app.inject_fault("refuse", ["127.0.0.1"])
        refused = await self.store.get("k")
        assert isinstance(refused, store_lib.Unavailable)
        assert not refused.may_have_applied
        self.app.inject_fault("refuse", [])
        assert await self.store.get("k") is None

    async def test_calls_succeed_after_an_outage(self):
        self.app.inject_fault("down_s", 0.4)
        assert not await self.store.get("k")
        await builders.sleep(0.5)
        assert await self.store.get("k") is None

    async def test_keys_are_deleted_when_their_lease_expires(self):
        lease = await self.store.grant(0.3)
        put = store_lib.Put("k", b"v", lease.lease_id)
        await self.store.transact({"k": 0}, (put,))
        assert await self.store.renew(lease.lease_id) is True
        await builders.sleep(0.6)
        assert await self.store.get("k") is None
        assert await self.store.renew(lease.lease_id) is False
        late = await self.store.transact({}, (put,))
        assert isinstance(late, store_lib.NoLease)

    async def test_positions_rise_over_a_return_from_an_older_copy(self):
        put = store_lib.Put("k", b"1")
        first = await self.store.transact({}, (put,))
        listing = await self.store.list("")
        self.app._copies.clear()
        self.app._save_copy()
        last = await self.store.transact({}, (put._replace(value=b"2"),))
        self.app.restore(0.0)
        item = await self.store.get("k")
        assert self.store.era == 2
        assert item.value == b"1" and item.revision > last.revision
        again = await self.store.transact({"k": item.revision}, (put,))
        assert again.revision > item.revision > first.revision
        gone = await self.store.watch("", listing.revision, 0.1)
        assert isinstance(gone, store_lib.HistoryGone)

    async def test_nothing_of_an_earlier_era_is_sent(self):
        self.app._save_copy()
        put = store_lib.Put("k", b"1")
        done = await self.store.transact({"k": 0}, (put,))
        lease = await self.store.grant(5.0)
        self.app.restore(0.0)
        # Another client gets the same revision and the same lease.
        other = builders_http1.client(self)
        other = store_lib.StoreClient(other, self.address, 0.3)
        await other.transact({"k": 0}, (put._replace(value=b"other"),))
        others_lease = await other.grant(5.0)
        assert others_lease.lease_id == lease.lease_id
        await self.store.get("k")
        returns = await self.store.transact({"k": done.revision}, (put,))
        assert isinstance(returns, store_lib.Unavailable)
        assert not returns.may_have_applied
        assert await self.store.renew(lease.lease_id) is False
        await self.store.revoke(lease.lease_id)
        assert await other.renew(lease.lease_id) is True
        assert (await self.store.get("k")).value == b"other"
        leased = put._replace(lease=lease.lease_id)
        written = await self.store.transact({}, (leased,))
        assert isinstance(written, store_lib.NoLease)

    async def test_a_write_into_a_returned_store_is_not_taken_for_done(self):
        self.app._save_copy()
        put = store_lib.Put("k", b"1")
        done = await self.store.transact({"k": 0}, (put,))
        self.app.restore(0.0)
        self.app.put("k", b"other")
        returned = []
        self.store.on_return(returned.append)
        result = await self.store.transact({"k": done.revision}, (put,))
        assert isinstance(result, store_lib.Unavailable)
        assert result.may_have_applied and returned == [2]
