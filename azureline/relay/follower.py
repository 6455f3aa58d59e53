"""Follows the platform's store, by its watches or by another node's word."""

import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import feed as feeds
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.util import backoff
from azureline.util import events

# After a failed call, with jitter, growing to the longest: a store that is
# overloaded or turns this VM away is not asked more often for it.
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8
# In a large failure domain the nodes together ask a store that gives no answers
# so many times a second; they hear of its return from their watchers.
_DOMAIN_RETRIES_PER_S = 10.0
# A second watcher hears the first one's word; its own watches only cover it.
# Changes must be in force 2 s after they were accepted, also when the first
# one has just been lost.
_SECOND_PAUSE_S = 0.7
# A store that was away may stay silent: until it answers, watches are short,
# so that the last one before its return does not hide it.
_PROBE_WAIT_S = 0.3
# Items that a watcher could not pass on are read no more often than this.
_FETCH_EVERY_S = 0.4
# A call may fail by chance; after so many the store may turn this node away, or
# all of its failure domain, while it serves others.
_TURNED_AWAY_CALLS = 2
# A watch that works brings changes well within this time.
_BEHIND_S = 1.0
_ALL = ""


class Pace(NamedTuple):
    """How often the store is asked.

    Attributes:
      watch_s: seconds that a watch waits at most.
      pause_s: seconds from a watch's answer to the next watch.
    """

    watch_s: float
    pause_s: float


class Receiver(Protocol):
    """What is told of the items of the store."""

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Takes all items; others that were known are gone."""

    def changed(self, item: store_lib.Item) -> None:
        """Takes an item that was written."""

    def removed(self, key: str) -> None:
        """Learns that a key is gone."""

    def away(self) -> None:
        """Learns that the store gives no answers."""

    def back(self, since: float) -> None:
        """Learns that the store answers, and since when."""


class Follower:
    """Keeps a receiver up to date."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.Store,
        peers: peers_lib.Peers,
        receiver: Receiver,
        pace: Pace,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a follower that has not begun."""
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._peers = peers
        self._receiver = receiver
        self._pace = pace
        self._counters = counters
        self._log = log
        self._revision: int | None = None
        self._failures = 0
        # When the store began to answer, after the last failure.
        self._since: float | None = None
        self._running: defer.Deferred[Any] | None = None
        self._roles = feeds.Roles(peers.name)
        self._role = feeds.Role.ALONE
        self._feed_log = feeds.FeedLog()
        self._asking = feeds.Asking()
        self._behind_since: float | None = None
        self._unread: set[str] = set()
        self._fetching = False
        self._woken: defer.Deferred[None] | None = None
        self._beat = task.LoopingCall(self._beaten)
        self._beat.clock = reactor
        peers.on(messages.Feed, self._fed)
        peers.on(messages.FeedAsk, self._asked)

    @property
    def role(self) -> feeds.Role:
        """How this node learns of changes now."""
        return self._role

    def start(self) -> None:
        """Begins to follow."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._ended)
        self._beat.start(feeds.BEAT_S, now=False)

    def close(self) -> None:
        """Stops following."""
        if self._beat.running:
            self._beat.stop()
        if self._running is not None:
            self._running.cancel()

    def _ended(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("follower_failed", reason=failure.getTraceback())

    async def _run(self) -> None:
        while True:
            if self._revision is None:
                done = await self._list()
            elif self._role is feeds.Role.FED:
                await self._wait_for_role()
                continue
            else:
                done = await self._watch(self._revision)
            if not done:
                self._ask_elsewhere()
            await self._sleep(self._pause_s() if done else self._retry_s())

    async def _list(self) -> bool:
        listing = await self._store.listing(_ALL)
        if isinstance(listing, store_lib.Unavailable):
            self._failed(listing)
            return False
        self._answered()
        self._revision = listing.revision
        self._feed_log.begin(listing.revision)
        self._receiver.listed(listing.items)
        return True

    async def _watch(self, revision: int) -> bool:
        wait_s = _PROBE_WAIT_S if self._failures else self._pace.watch_s
        seen = await self._store.watch(_ALL, revision, wait_s)
        match seen:
            case store_lib.Unavailable():
                self._failed(seen)
                return False
            case store_lib.HistoryGone():
                self._counters.count("store.history_gone")
                self._log.warning("store_history_gone", after=revision)
                self._revision = None
                return True
            case store_lib.Changes():
                self._answered()
                if self._revision is not None:  # Else it is to be listed anew.
                    self._take(seen)
        return True

    def _take(self, seen: store_lib.Changes) -> None:
        known = self._revision
        fresh = [e for e in seen.events if e.revision > known]
        for event in fresh:
            match event:
                case store_lib.Item():
                    self._receiver.changed(event)
                case store_lib.Removed(key=key):
                    self._receiver.removed(key)
        self._revision = max(known, seen.revision)
        self._feed_log.add(fresh, self._revision)
        if fresh and self._role is feeds.Role.WATCHER:
            self._pass_on(known)

    def _pass_on(self, after: int) -> None:
        told = self._feed_log.after(after)
        if isinstance(told, feeds.Gap):
            return
        for feed in told:
            for record in self._neighbours():
                self._peers.send(record, self._stamped(feed))

    def _stamped(self, feed: messages.Feed) -> messages.Feed:
        now = self._clock.now()
        since = now if self._since is None else self._since
        return feed._replace(
            steady_ms=int((now - since) * 1000), away=self._failures > 0
        )

    def _beaten(self) -> None:
        """Decides the role, and beats if it is a watcher's."""
        now = self._clock.now()
        nodes = [self._peers.own, *self._neighbours()]
        role = self._roles.role(nodes, now)
        if role is not self._role:
            self._log.info(
                "follower_role",
                role=role.value,
                before=self._role.value,
                revision=self._revision,
                neighbours=len(nodes) - 1,
            )
            self._role = role
            self._wake()
        beats = role in (feeds.Role.WATCHER, feeds.Role.SECOND)
        if beats and self._revision is not None:
            upto = self._revision
            beat = self._stamped(messages.Feed(upto, upto, (), 0, False))
            for record in self._neighbours():
                self._peers.send(record, beat)
        self._fetch_unread()

    def _fed(self, feed: messages.Feed, host: str, port: int) -> None:
        """Takes what a watcher tells."""
        if feed.away:
            return
        now = self._clock.now()
        self._roles.heard(now)
        fed = self._role is feeds.Role.FED
        if self._revision is None:
            return
        told = fed or self._role is feeds.Role.SECOND
        if not (told or self._failures or self._is_behind(feed, now)):
            return
        # A store that turns this VM away may serve others of its domain.
        if fed:
            self._failures = 0
        self._since = now - feed.steady_ms / 1000
        self._receiver.back(self._since)
        if feed.after < 0 and self._failures:
            return  # A listing would fail; the store says later what it lacks.
        if feed.after < 0:
            self._counters.count("feed.resets")
            self._revision = None
            self._wake()
            return
        rows = feeds.fresh_rows(feed, self._revision)
        if isinstance(rows, feeds.Gap):
            if self._asking.may_ask(now):
                self._counters.count("feed.gaps")
                self._peers.reply(host, port, messages.FeedAsk(rows.after))
            return
        for row in rows:
            self._take_row(row)
        self._revision = max(self._revision, feed.upto)
        self._feed_log.add_rows(rows, self._revision)

    def _ask_elsewhere(self) -> None:
        """Asks another failure domain for changes that the store withholds.

        Watchers of this domain, if there are any, tell theirs unasked.
        """
        if self._revision is None or self._failures < _TURNED_AWAY_CALLS:
            return
        domain = self._peers.domain
        far = [r for r in self._peers.nodes.values() if r.domain != domain]
        if far:
            self._counters.count("feed.asked_elsewhere")
            ask = messages.FeedAsk(self._revision)
            self._peers.send(self._rng.choice(far), ask)

    def _is_behind(self, feed: messages.Feed, now: float) -> bool:
        """Returns whether another node has long known more than this one.

        This node's watch may wait on a connection that went silent.
        """
        if self._revision is None or feed.upto <= self._revision:
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > _BEHIND_S

    def _take_row(self, row: messages.FeedRow) -> None:
        if row.removed:
            self._receiver.removed(row.key)
            return
        value = feeds.value_of(row)
        if value is None:
            self._unread.add(row.key)
            self._fetch_unread()
        else:
            item = store_lib.Item(row.key, value, row.revision)
            self._receiver.changed(item)

    def _asked(self, ask: messages.FeedAsk, host: str, port: int) -> None:
        """Tells another node again what it has missed."""
        told = self._feed_log.after(ask.after)
        if isinstance(told, feeds.Gap):
            # It lists by itself when it hears of a revision it cannot reach.
            reset = messages.Feed(-1, self._feed_log.upto, (), 0, False)
            self._peers.reply(host, port, self._stamped(reset))
            return
        for feed in told:
            self._peers.reply(host, port, self._stamped(feed))

    def _fetch_unread(self) -> None:
        if not self._unread or self._fetching:
            return
        self._fetching = True
        fetching = defer.ensureDeferred(self._fetch(self._unread.pop()))
        fetching.addErrback(self._ended)

    async def _fetch(self, key: str) -> None:
        """Reads an item that was too large to be passed on."""
        try:
            item = await self._store.item(key)
            if isinstance(item, store_lib.Unavailable):
                self._unread.add(key)
            elif item is not None:
                self._receiver.changed(item)
            await self._sleep(_FETCH_EVERY_S)
        finally:
            self._fetching = False

    def _neighbours(self) -> list[Any]:
        """Returns the other nodes of this failure domain."""
        return [
            record
            for record in self._peers.nodes.values()
            if record.domain == self._peers.domain
            and not self._peers.is_self(record)
        ]

    def _failed(self, reason: store_lib.Unavailable) -> None:
        self._counters.count("store.unavailable")
        if not self._failures:
            self._log.warning(
                "store_lost", reason=reason.reason, revision=self._revision
            )
            self._receiver.away()
        self._failures += 1

    def _answered(self) -> None:
        if self._failures or self._since is None:
            self._since = self._clock.now()
        if self._failures:
            self._log.info(
                "store_regained",
                failures=self._failures,
                revision=self._revision,
            )
        self._failures = 0
        self._receiver.back(self._since)

    def _pause_s(self) -> float:
        if self._role is feeds.Role.SECOND:
            return max(self._pace.pause_s, _SECOND_PAUSE_S)
        return self._pace.pause_s

    def _retry_s(self) -> float:
        nodes = 1 + len(self._neighbours())
        most_s = max(_LONGEST_RETRY_S, nodes / _DOMAIN_RETRIES_PER_S)
        longest = backoff.pause_s(_SHORTEST_RETRY_S, most_s, self._failures)
        return self._rng.uniform(0.5, 1.0) * longest

    async def _wait_for_role(self) -> None:
        self._woken = defer.Deferred()
        await self._woken

    def _wake(self) -> None:
        woken, self._woken = self._woken, None
        if woken is not None:
            woken.callback(None)

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)
