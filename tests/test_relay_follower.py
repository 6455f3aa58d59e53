"""Tests of the follower with a store that rejects or ignores its calls."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.trial import unittest

from azureline.metrics import counters as counters_lib
from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import change_feed
from azureline.relay import follower
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.util import events


class _Clock:
    def __init__(self, reactor):
        self.now = reactor.seconds


class _Store:
    """A store with one listing whose watches fail.

    If it is quiet they end without a change; if it is silent they never end.
    """

    async def list(self, prefix):
        return store_lib.Listing(self.items, self.revision)

    def __init__(self, reactor):
        self.reactor = reactor
        self.silent = False
        self.quiet = False
        self.waits = []
        self.era = eras.FIRST_ERA
        self.items = ()
        self.revision = 10
        self.on_return = lambda era: None

    def learn_era(self, era):
        if era > self.era:
            self.era = era
            self.on_return(era)

    async def watch(self, prefix, after, wait_s):
        self.waits.append(wait_s)
        if eras.era_of(after) != self.era:
            return store_lib.HistoryGone()
        if self.silent:
            await defer.Deferred()
        if self.quiet:
            await task.deferLater(self.reactor, 0.1, lambda: None)
            return store_lib.Changes((), after)
        return store_lib.Unavailable("status 429", may_have_applied=False)


class _Receiver:
    def __init__(self):
        self.keys = []
        self.is_away = False
        self.listings = 0

    def listed(self, items):
        self.listings += 1

    def changed(self, item):
        self.keys.append(item.key)

    def removed(self, key): ...

    def away(self):
        self.is_away = True

    def back(self, since):
        self.is_away = False


class FollowerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        record = keys.NodeRecord("n1", "127.0.0.1", 7380, "d1")
        counters = counters_lib.Counters()
        clock = _Clock(self.reactor)
        self.peers = peers_lib.Peers(record, clock, counters)
        self.receiver = _Receiver()
        self.store = _Store(self.reactor)
        self.follower = follower.Follower(
            self.reactor,
            clock,
            random.Random(1),
            self.store,
            self.peers,
            self.receiver,
            follower.Pace(20.0, 0.25),
            counters,
            events.null_log(),
        )
        self.store.on_return = self.follower.store_returned
        self.follower.start()
        self.addCleanup(self.follower.close)

    def _feed(self, after, upto, *rows, store_lost=False, age_ms=0):
        message = messages.Feed(after, upto, rows, 5000, store_lost, age_ms)
        self.peers.datagram("127.0.0.2", 7380, message)

    def _row(self, revision):
        item = store_lib.Item(f"servers/i-{revision}", b"x", revision)
        log = change_feed.FeedLog()
        log.reset(0)
        log.add([item], revision)
        return log.after(0)[0].rows[0]

    def test_a_rejected_watcher_applies_the_feed_of_another(self):
        self.reactor.pump([0.1] * 20)
        assert self.follower.role is change_feed.Role.WATCHER
        assert self.receiver.is_away
        self._feed(10, 11, self._row(11))
        assert self.receiver.keys == ["servers/i-11"]
        assert not self.receiver.is_away

    def test_the_feed_of_a_rejected_watcher_is_ignored(self):
        self.reactor.pump([0.1] * 20)
        self._feed(10, 11, self._row(11), store_lost=True)
        assert self.receiver.keys == []

    def _record_feed_requests(self):
        """Adds nodes of two other domains; returns the messages sent."""
        sent = []
        for number, domain in ((2, "d2"), (3, "d3"), (4, "d1")):
            record = keys.NodeRecord(f"n{number}", "127.0.0.9", number, domain)
            self.peers.set_node(record)
        self.peers.send = lambda record, message: sent.append(
            (record.domain, message)
        )
        return sent

    def test_a_rejected_node_asks_other_domains(self):
        sent = self._record_feed_requests()
        self.reactor.pump([0.1] * 30)
        far_domains = [domain for domain, message in sent if domain != "d1"]
        assert {"d2", "d3"} == set(far_domains)
        assert messages.FeedRequest(10) in [message for _, message in sent]
        # The node sends no more requests than it makes calls to the store.
        assert len(far_domains) <= len(self.store.waits)

    def test_a_node_whose_store_answers_asks_no_other_domain(self):
        sent = self._record_feed_requests()
        self.store.silent = True
        self.reactor.pump([0.1] * 30)
        assert {domain for domain, _ in sent} <= {"d1"}

    def test_a_node_that_cannot_list_keeps_its_revision(self):
        self.reactor.pump([0.1] * 20)
        self._feed(-1, 900)
        self._feed(10, 11, self._row(11))
        assert self.receiver.keys == ["servers/i-11"]

    def test_changes_after_a_gap_are_not_applied(self):
        self.reactor.pump([0.1] * 20)
        self._feed(11, 12, self._row(12))
        assert self.receiver.keys == []
        self._feed(10, 12, self._row(11), self._row(12))
        assert self.receiver.keys == ["servers/i-11", "servers/i-12"]

    def test_a_store_that_is_unreachable_for_long_is_retried(self):
        self.reactor.pump([0.5] * 3000)
        before = len(self.store.waits)
        assert before > 1100
        self.reactor.pump([0.5] * 4)
        assert len(self.store.waits) > before

    def test_nodes_of_a_large_domain_retry_less_often(self):
        for number in range(2, 41):
            record = keys.NodeRecord(f"n{number}", "127.0.0.9", number, "d1")
            self.peers.set_node(record)
        self.reactor.pump([0.1] * 100)
        self.store.waits.clear()
        self.reactor.pump([0.1] * 600)
        # Forty nodes share ten calls per second: each makes one in four
        # seconds.
        assert 10 <= len(self.store.waits) <= 30

    def test_a_silent_watch_ends_when_the_store_returns_from_a_copy(self):
        self.store.silent = True
        self.reactor.pump([0.1] * 10)
        assert self.receiver.listings == 1
        self.store.revision = eras.position(2, 5)
        self.store.learn_era(2)
        self.reactor.pump([0.1] * 5)
        assert self.receiver.listings == 2
        assert self.store.waits[-1] == 20.0

    def test_a_fed_node_hears_of_a_return_from_the_feed(self):
        for number in (2, 3):
            record = keys.NodeRecord(f"n{number}", "127.0.0.9", 1, "d1", 1000)
            self.peers.set_node(record)
        self.store.silent = True
        self._feed(10, 10)
        self.reactor.pump([0.1] * 10)
        assert self.follower.role is change_feed.Role.FED
        self._feed(10, 12, self._row(12))
        replies = []
        self.peers.reply = lambda host, port, message: replies.append(message)
        first = eras.position(2, 5)
        self._feed(first, first)
        assert self.store.era == 2
        assert replies == [messages.FeedRequest(12)]
        self._feed(12, first + 1, self._row(first + 1))
        assert self.receiver.keys[-1] == f"servers/i-{first + 1}"

    def _become_fed(self):
        """Adds two watchers of the node's domain, and plays their feed."""
        for number in (2, 3):
            record = keys.NodeRecord(f"n{number}", "127.0.0.9", 1, "d1", 1000)
            self.peers.set_node(record)
        self.store.quiet = True
        self._feed(10, 10)
        self.reactor.pump([0.1] * 8)
        self.store.silent = True
        self._feed(10, 10)
        assert self.follower.role is change_feed.Role.FED

    def test_a_node_whose_watchers_are_cut_off_turns_to_the_store_in_time(self):
        # They go on sending heartbeats, and do not know of their loss yet.
        self._become_fed()
        watches = len(self.store.waits)
        for age_ms in range(0, 2000, 100):
            self._feed(10, 10, age_ms=age_ms)
            if len(self.store.waits) > watches:
                break
            self.reactor.advance(0.1)
        assert len(self.store.waits) == watches + 1
        assert age_ms <= 1500

    def test_a_node_whose_watchers_are_killed_turns_to_the_store_in_time(self):
        self._become_fed()
        watches = len(self.store.waits)
        self.reactor.pump([0.05] * 30)
        assert len(self.store.waits) == watches + 1

    def test_a_node_that_misses_changes_turns_to_the_store(self):
        # The heartbeats are fresh, but all replies with the changes are lost.
        self._become_fed()
        self.peers.reply = lambda host, port, message: None
        watches = len(self.store.waits)
        for _ in range(16):
            self._feed(11, 11)
            self.reactor.advance(0.1)
        assert len(self.store.waits) > watches

    def test_a_node_with_fresh_confirmations_makes_no_call(self):
        self._become_fed()
        watches = len(self.store.waits)
        for _ in range(100):
            self._feed(10, 10, age_ms=700)
            self.reactor.advance(0.2)
        assert len(self.store.waits) == watches

    def test_the_age_of_a_view_passes_through_other_nodes(self):
        self._become_fed()
        self.reactor.advance(0.7)
        self._feed(10, 11, self._row(11), age_ms=600)
        self.reactor.advance(0.3)
        replies = []
        self.peers.reply = lambda host, port, message: replies.append(message)
        self.peers.datagram("127.0.0.3", 7380, messages.FeedRequest(10))
        (feed,) = replies
        assert feed.upto == 11
        assert feed.age_ms == pytest.approx(900, abs=2)

    def test_an_incomplete_reply_confirms_nothing(self):
        rows = [self._row(number) for number in range(11, 1000)]
        self._become_fed()
        self._feed(10, 999, *rows)
        replies = []
        self.peers.reply = lambda host, port, message: replies.append(message)
        self.peers.datagram("127.0.0.3", 7380, messages.FeedRequest(990))
        assert replies[-1].age_ms == 0
        replies.clear()
        self.peers.datagram("127.0.0.3", 7380, messages.FeedRequest(600))
        assert replies[-1].upto < 999
        assert all(feed.age_ms > 60_000 for feed in replies)

    def test_the_second_watcher_applies_the_feed_of_the_first(self):
        record = keys.NodeRecord("n0", "127.0.0.9", 1, "d1", 1000)
        self.peers.set_node(record)
        self.store.silent = True
        self.reactor.pump([0.1] * 10)
        assert self.follower.role is change_feed.Role.SECOND
        self._feed(10, 11, self._row(11))
        assert self.receiver.keys == ["servers/i-11"]

    def test_changes_received_from_a_node_are_sent_on_request(self):
        self.reactor.pump([0.1] * 20)
        self._feed(10, 11, self._row(11))
        replies = []
        self.peers.reply = lambda host, port, message: replies.append(message)
        self.peers.datagram("127.0.0.3", 7380, messages.FeedRequest(10))
        (feed,) = replies
        assert feed.upto == 11
        assert [row.key for row in feed.rows] == ["servers/i-11"]

    def test_feeds_replace_a_watch_that_stopped_delivering(self):
        self.store.silent = True
        self.reactor.pump([0.1] * 20)
        assert not self.receiver.is_away
        self._feed(10, 11, self._row(11))
        assert self.receiver.keys == []
        self.reactor.pump([0.1] * 12)
        self._feed(10, 11, self._row(11))
        assert self.receiver.keys == ["servers/i-11"]

    def test_watches_are_short_until_the_store_answers(self):
        self.reactor.pump([0.1] * 20)
        assert self.store.waits[0] == 20.0
        assert len(self.store.waits) > 2
        assert max(self.store.waits[1:]) <= 0.5
