"""Keeps one lease of the platform's store alive."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.util import backoff
from azureline.util import events

# After a call without an answer, growing to the longest: every node renews, and
# all of them at once would only prolong a store's trouble.
_RETRY_S = 0.2
_LONGEST_RETRY_S = 0.8


class LeaseKeeper:
    """Begins a lease, renews it, and begins another one when it has ended."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.Store,
        ttl_s: float,
        renew_s: float,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a keeper without a lease.

        Args:
          reactor: the Twisted reactor.
          clock: source of time that counts suspensions.
          rng: source of jitter.
          store: the platform's store.
          ttl_s: seconds after which a lease ends that is not renewed.
          renew_s: seconds between renewals.
          counters: counts leases that ended and calls without answer.
          log: takes a line when a lease begins or ends.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._ttl_s = ttl_s
        self._renew_s = renew_s
        self._counters = counters
        self._log = log
        self._lease: store_lib.Lease | None = None
        self._running: defer.Deferred[Any] | None = None
        self._on_begun: Callable[[store_lib.Lease], Awaitable[bool]]
        self._on_renewed: Callable[[float], None]
        self._on_ended: Callable[[], None]

    @property
    def lease(self) -> store_lib.Lease | None:
        """The lease, as far as this node knows."""
        return self._lease

    @property
    def running(self) -> bool:
        """Whether the lease is being kept."""
        return self._running is not None

    def start(
        self,
        on_begun: Callable[[store_lib.Lease], Awaitable[bool]],
        on_renewed: Callable[[float], None],
        on_ended: Callable[[], None],
    ) -> None:
        """Begins to keep a lease.

        Args:
          on_begun: is called with a new lease; False gives it up again.
          on_renewed: is called with the time at which a renewal, or the
            grant, was sent that has succeeded.
          on_ended: is called when the lease has ended.
        """
        self._on_begun = on_begun
        self._on_renewed = on_renewed
        self._on_ended = on_ended
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(self._failed)

    def give_up(self) -> None:
        """Treats the lease as ended; another one begins."""
        if self._lease is not None:
            self._lease = None
            self._on_ended()

    async def stop(self) -> None:
        """Stops, and ends the lease at the store."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        lease, self._lease = self._lease, None
        if lease is not None:
            self._on_ended()
            await self._store.end(lease.lease_id)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("lease_failed", reason=failure.getTraceback())

    async def _run(self) -> None:
        failures = 0
        while True:
            if self._lease is None:
                done = await self._begin()
            else:
                done = await self._renew(self._lease)
            pause_s = self._renew_s
            if not done:
                pause_s = backoff.pause_s(_RETRY_S, _LONGEST_RETRY_S, failures)
            failures = 0 if done else failures + 1
            pause_s *= self._rng.uniform(0.9, 1.1)
            await task.deferLater(self._reactor, pause_s, lambda: None)

    async def _begin(self) -> bool:
        sent_at = self._clock.now()
        lease = await self._store.grant(self._ttl_s)
        if isinstance(lease, store_lib.Unavailable):
            self._counters.count("lease.unavailable")
            return False
        if not await self._on_begun(lease):
            self._counters.count("lease.unavailable")
            return False
        self._lease = lease
        self._on_renewed(sent_at)
        self._log.info("lease_begun", lease=lease.lease_id, ttl_s=lease.ttl_s)
        return True

    async def _renew(self, lease: store_lib.Lease) -> bool:
        sent_at = self._clock.now()
        renewed = await self._store.renew(lease.lease_id)
        if isinstance(renewed, store_lib.Unavailable):
            self._counters.count("lease.unavailable")
            return False
        if self._lease is not lease:
            return False
        if renewed:
            self._on_renewed(sent_at)
            return True
        self._counters.count("lease.ended")
        self._log.warning("lease_ended", lease=lease.lease_id)
        self._lease = None
        self._on_ended()
        return False
