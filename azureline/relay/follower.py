"""Follows the platform's store by watches or another node's change feed."""

import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import eras
from azureline.platform import names
from azureline.platform import store as store_lib
from azureline.relay import change_feed
from azureline.relay import item_fetcher
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import view_check
from azureline.util import backoff
from azureline.util import events
from azureline.util import supervision

# Bounds of the exponential backoff, with jitter, after a failed call. The
# backoff keeps retries from adding load to a store that is overloaded or
# rejects the calls of this VM.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.8
# Limit on the retries of all nodes of a large failure domain together, per
# second. The domain's watchers report the return of the store.
_DOMAIN_RETRIES_PER_S = 10.0
# Pause between the watches of the second watcher. It receives the first
# watcher's feed and watches the store only as a backup. The pause must be short
# enough that changes take effect within 2 s of their acceptance even if the
# first watcher has just been lost.
_SECOND_PAUSE_S = 0.7
# Wait of a watch after a failure, until the store answers again. A store that
# was unreachable may leave calls unanswered, and a long watch would delay the
# detection of its return.
_PROBE_WAIT_S = 0.3
# Failed calls in a row after which the node asks other failure domains. A
# single call may fail by chance; after several, the store may be rejecting this
# node or its whole failure domain while it serves others.
_REJECTED_CALLS = 2
# A working watch delivers changes well within this time.
_MAX_LAG_S = 1.0
_ALL_KEYS = ""
# Age of a view that the store has not confirmed, for other nodes.
_MAX_AGE_S = 3600.0
# A timer for a point in time fires after it, despite rounding.
_TIMER_MARGIN_S = 0.001


class Pace(NamedTuple):
    """Timing of the watches of the store.

    Attributes:
      watch_s: seconds that a watch waits at most.
      pause_s: seconds from a watch's answer to the next watch.
    """

    watch_s: float
    pause_s: float


class Receiver(Protocol):
    """Receives the items of the store and its availability."""

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Replaces all known items; those not in `items` are gone."""

    def changed(self, item: store_lib.Item) -> None:
        """Handles an item that was written."""

    def removed(self, key: str) -> None:
        """Handles the removal of a key."""

    def away(self) -> None:
        """Handles the first failed call: the store does not answer."""

    def back(self, since: float) -> None:
        """Handles an answer of the store or of a watcher's feed.

        Args:
          since: monotonic time in seconds since when the store answers.
        """


class Follower:
    """Keeps a receiver up to date with the store."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.StoreClient,
        peers: peers_lib.Peers,
        receiver: Receiver,
        pace: Pace,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a follower; `start` starts it."""
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._peers = peers
        self._receiver = receiver
        self._pace = pace
        self._counters = counters
        self._log = log
        # Position up to which this node has all changes, and the items there.
        self._revision: int | None = None
        self._items: dict[str, store_lib.Item] = {}
        self._watching: defer.Deferred[Any] | None = None
        self._failures = 0
        # Time at which the store confirmed that the items are complete.
        self._confirmed_at = float("-inf")
        self._role_check: Any = None
        # Time of the first answer of the store after the last failure.
        self._answering_since: float | None = None
        self._running: defer.Deferred[Any] | None = None
        self._roles = change_feed.Roles(peers.name)
        self._role = change_feed.Role.ALONE
        self._feed_log = change_feed.FeedLog()
        self._request_pacer = change_feed.FeedRequestLimiter()
        self._lagging_since: float | None = None
        # The configuration must not wait for other items.
        self._config_fetcher, self._fetcher = (
            item_fetcher.ItemFetcher(
                reactor, clock, store, self._item_changed, log
            )
            for _ in range(2)
        )
        self._wakeup: defer.Deferred[None] | None = None
        self._view_check = view_check.ViewCheck(
            reactor, clock, store, lambda: self._revision, counters
        )
        self._supervisor = supervision.Supervisor(counters, log)
        self._heartbeat_loop = task.LoopingCall(
            self._supervisor.guarded("follower heartbeat", self._heartbeat)
        )
        self._heartbeat_loop.clock = reactor
        peers.on(messages.Feed, self._on_feed)
        peers.on(messages.FeedRequest, self._on_feed_request)

    @property
    def role(self) -> change_feed.Role:
        """The current role of this node in the change feed."""
        return self._role

    @property
    def confirmed_at(self) -> float:
        """Monotonic time, in seconds, of the store's last confirmation."""
        return self._confirmed_at

    def is_current(self) -> defer.Deferred[bool]:
        """Returns whether this node has all changes made before this call."""
        return self._view_check.is_current()

    def start(self) -> None:
        """Starts to follow the store."""
        self._running = defer.ensureDeferred(
            self._supervisor.keep_running(self._reactor, "follower", self._run)
        )
        self._running.addErrback(self._log_failure)
        self._heartbeat_loop.start(change_feed.HEARTBEAT_INTERVAL_S, now=False)

    def close(self) -> None:
        """Stops following."""
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        if self._role_check is not None and self._role_check.active():
            self._role_check.cancel()
        if self._running is not None:
            self._running.cancel()

    def store_returned(self, era: int) -> None:
        """Ends the watch of an earlier era, so that the store is listed.

        Args:
          era: the era that began.
        """
        self._answering_since = None
        watching, self._watching = self._watching, None
        if watching is not None:
            watching.callback(store_lib.HistoryGone())

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("follower_failed", reason=failure.getTraceback())

    async def _run(self) -> None:
        while True:
            if self._revision is None:
                done = await self._list()
            elif self._role is change_feed.Role.FED:
                await self._wait_for_wakeup()
                continue
            else:
                done = await self._watch(self._revision)
            if not done:
                self._ask_other_domain()
            await self._sleep(self._pause_s() if done else self._retry_s())

    async def _list(self) -> bool:
        listing = await self._store.list(_ALL_KEYS)
        if isinstance(listing, store_lib.Unavailable):
            self._call_failed(listing)
            return False
        self._call_answered()
        known, self._items = self._items, {i.key: i for i in listing.items}
        self._revision = listing.revision
        self._feed_log.add_listing(known, self._items, listing.revision)
        self._receiver.listed(listing.items)
        return True

    async def _watch(self, revision: int) -> bool:
        wait_s = _PROBE_WAIT_S if self._failures else self._pace.watch_s
        result = await self._first_of_watch_and_return(revision, wait_s)
        match result:
            case store_lib.Unavailable():
                self._call_failed(result)
                return False
            case store_lib.HistoryGone():
                self._counters.count("store.history_gone")
                self._log.warning("store_history_gone", after=revision)
                if self._role is not change_feed.Role.FED:
                    self._revision = None
                return True
            case store_lib.Changes():
                self._call_answered()
                if self._revision is not None:  # Otherwise a listing follows.
                    self._apply(result)
        return True

    def _first_of_watch_and_return(
        self, revision: int, wait_s: float
    ) -> defer.Deferred[Any]:
        """Watches until there are changes or the store returns from a copy.

        The connection of a watch that waits may be silent after a return.
        """
        watching: defer.Deferred[Any] = defer.Deferred(lambda _: watch.cancel())
        self._watching = watching

        def end(result: Any) -> None:
            if self._watching is watching:
                self._watching = None
                watching.callback(result)

        watch = defer.ensureDeferred(
            self._store.watch(_ALL_KEYS, revision, wait_s)
        )
        watch.addBoth(end)
        return watching

    def _apply(self, result: store_lib.Changes) -> None:
        known = self._revision
        new_events = [e for e in result.events if e.revision > known]
        for event in new_events:
            match event:
                case store_lib.Item():
                    self._item_changed(event)
                case store_lib.Deleted(key=key):
                    self._items.pop(key, None)
                    self._receiver.removed(key)
        self._revision = max(known, result.revision)
        self._feed_log.add(new_events, self._revision)
        if new_events and self._role is change_feed.Role.WATCHER:
            self._pass_on(known)

    def _pass_on(self, after: int) -> None:
        feeds_to_send = self._feed_log.after(after)
        if isinstance(feeds_to_send, change_feed.Gap):
            return
        for feed in feeds_to_send:
            for record in self._neighbours():
                self._peers.send(record, self._stamped(feed))

    def _stamped(self, feed: messages.Feed) -> messages.Feed:
        now = self._clock.now()
        since = now if self._answering_since is None else self._answering_since
        # Only the last of several datagrams reaches the confirmed revision.
        is_last = self._revision is not None and feed.upto >= self._revision
        age_s = now - self._confirmed_at if is_last else _MAX_AGE_S
        return feed._replace(
            steady_ms=int((now - since) * 1000),
            store_lost=self._failures > 0,
            age_ms=int(min(age_s, _MAX_AGE_S) * 1000),
        )

    def _update_role(self) -> None:
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
            self._wake_runner()

    def _check_role_when_alone(self) -> None:
        """Updates the role at once when the last confirmation is too old."""
        wait_s = max(0.0, self._roles.alone_at - self._clock.now())
        wait_s += _TIMER_MARGIN_S
        if self._role_check is not None and self._role_check.active():
            self._role_check.reset(wait_s)
            return
        check = self._supervisor.guarded("follower role", self._update_role)
        self._role_check = self._reactor.callLater(wait_s, check)

    def _heartbeat(self) -> None:
        """Updates the role; watchers also send a heartbeat."""
        self._update_role()
        is_watching = self._role in (
            change_feed.Role.WATCHER,
            change_feed.Role.SECOND,
        )
        if is_watching and self._revision is not None:
            revision = self._revision
            heartbeat = self._stamped(
                messages.Feed(revision, revision, (), 0, False)
            )
            for record in self._neighbours():
                self._peers.send(record, heartbeat)

    def _on_feed(self, feed: messages.Feed, host: str, port: int) -> None:
        """Handles a change feed message from a watcher."""
        if feed.store_lost:
            return
        self._store.learn_era(eras.era_of(feed.upto))
        now = self._clock.now()
        confirmed_at = now - max(0, feed.age_ms) / 1000
        if self._role is not change_feed.Role.FED:
            self._roles.confirmed(confirmed_at)
        if self._revision is None or not self._uses_feed(feed, now):
            return
        # A store that rejects this VM may serve others of its failure domain.
        if self._role is change_feed.Role.FED:
            self._failures = 0
        self._answering_since = now - feed.steady_ms / 1000
        self._receiver.back(self._answering_since)
        if feed.after < 0 and self._failures:
            return  # A listing would fail; the store supplies the gap later.
        if feed.after < 0:
            self._counters.count("feed.resets")
            self._revision = None
            self._wake_runner()
            return
        rows = change_feed.new_rows(feed, self._revision)
        if isinstance(rows, change_feed.Gap):
            if self._request_pacer.may_send(now):
                self._counters.count("feed.gaps")
                self._peers.reply(host, port, messages.FeedRequest(rows.after))
            return
        for row in rows:
            self._apply_row(row)
        self._revision = max(self._revision, feed.upto)
        self._feed_log.add_rows(rows, self._revision)
        self._view_confirmed(confirmed_at)

    def _uses_feed(self, feed: messages.Feed, now: float) -> bool:
        """Returns whether this node applies a feed beside its own watch."""
        follows_feed = self._role in (
            change_feed.Role.FED,
            change_feed.Role.SECOND,
        )
        uses_all = follows_feed or self._failures > 0
        return uses_all or self._is_lagging(feed, now)

    def _view_confirmed(self, at: float) -> None:
        """Records when the store confirmed the view, as a feed says."""
        self._confirmed_at = max(self._confirmed_at, at)
        if self._role is change_feed.Role.FED:
            self._roles.confirmed(at)
            self._check_role_when_alone()

    def _ask_other_domain(self) -> None:
        """Asks a node of another failure domain for missing changes.

        The watchers of this domain send their changes without a request.
        """
        if self._revision is None or self._failures < _REJECTED_CALLS:
            return
        domain = self._peers.domain
        other_nodes = [
            r for r in self._peers.nodes.values() if r.domain != domain
        ]
        if other_nodes:
            self._counters.count("feed.asked_elsewhere")
            request = messages.FeedRequest(self._revision)
            self._peers.send(self._rng.choice(other_nodes), request)

    def _is_lagging(self, feed: messages.Feed, now: float) -> bool:
        """Returns whether this node has lagged a feed for too long.

        Its own watch may be waiting on an unresponsive connection.
        """
        if self._revision is None or feed.upto <= self._revision:
            self._lagging_since = None
            return False
        if self._lagging_since is None:
            self._lagging_since = now
        return now - self._lagging_since > _MAX_LAG_S

    def _apply_row(self, row: messages.FeedRow) -> None:
        if row.removed:
            self._items.pop(row.key, None)
            self._receiver.removed(row.key)
            return
        value = change_feed.decompressed_value(row)
        if value is None:
            is_config = row.key == names.CONFIG_KEY
            fetcher = self._config_fetcher if is_config else self._fetcher
            fetcher.add(row.key)
        else:
            self._item_changed(store_lib.Item(row.key, value, row.revision))

    def _item_changed(self, item: store_lib.Item) -> None:
        self._items[item.key] = item
        self._receiver.changed(item)

    def _on_feed_request(
        self, request: messages.FeedRequest, host: str, port: int
    ) -> None:
        """Resends to another node the changes that it has missed."""
        feeds_to_send = self._feed_log.after(request.after)
        if isinstance(feeds_to_send, change_feed.Gap):
            # On a reset the node lists the store, unless its own calls fail.
            reset = messages.Feed(
                -1, self._feed_log.last_revision, (), 0, False
            )
            self._peers.reply(host, port, self._stamped(reset))
            return
        for feed in feeds_to_send:
            self._peers.reply(host, port, self._stamped(feed))

    def _neighbours(self) -> list[Any]:
        """Returns the other nodes of this failure domain."""
        return [
            record
            for record in self._peers.nodes.values()
            if record.domain == self._peers.domain
            and not self._peers.is_self(record)
        ]

    def _call_failed(self, reason: store_lib.Unavailable) -> None:
        self._counters.count("store.unavailable")
        if not self._failures:
            self._log.warning(
                "store_lost", reason=reason.reason, revision=self._revision
            )
            self._receiver.away()
        self._failures += 1

    def _call_answered(self) -> None:
        self._confirmed_at = self._clock.now()
        if self._failures or self._answering_since is None:
            self._answering_since = self._clock.now()
        if self._failures:
            self._log.info(
                "store_regained",
                failures=self._failures,
                revision=self._revision,
            )
        self._failures = 0
        self._receiver.back(self._answering_since)

    def _pause_s(self) -> float:
        if self._role is change_feed.Role.SECOND:
            return max(self._pace.pause_s, _SECOND_PAUSE_S)
        return self._pace.pause_s

    def _retry_s(self) -> float:
        nodes = 1 + len(self._neighbours())
        max_retry_s = max(_MAX_RETRY_S, nodes / _DOMAIN_RETRIES_PER_S)
        retry_s = backoff.pause_s(_MIN_RETRY_S, max_retry_s, self._failures)
        return self._rng.uniform(0.5, 1.0) * retry_s

    async def _wait_for_wakeup(self) -> None:
        self._wakeup = defer.Deferred()
        await self._wakeup

    def _wake_runner(self) -> None:
        waiter, self._wakeup = self._wakeup, None
        if waiter is not None:
            waiter.callback(None)

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)
