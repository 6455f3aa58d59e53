"""Keeps a lease of the platform's store alive."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.util import backoff
from azureline.util import events
from azureline.util import supervision

# Delay after a failed call, growing to the maximum.  Every node renews leases,
# so simultaneous retries would prolong an overload of the store.
_MIN_RETRY_S = 0.2
_MAX_RETRY_S = 0.8


class LeaseKeeper:
    """Acquires a lease, renews it, and acquires another when it has ended."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.StoreClient,
        ttl_s: float,
        renew_s: float,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a keeper without a lease.

        Args:
          reactor: the Twisted reactor.
          clock: monotonic clock that also advances while the VM is suspended.
          rng: source of jitter.
          store: the platform's store.
          ttl_s: seconds after which a lease ends unless it is renewed.
          renew_s: seconds between renewals.
          counters: counts ended leases and calls without an answer.
          log: event log; receives an entry when a lease begins or ends.
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
        self._loop: defer.Deferred[Any] | None = None
        self._pause: Any = None
        self._on_begun: Callable[[store_lib.Lease], Awaitable[bool]]
        self._on_renewed: Callable[[float], None]
        self._on_ended: Callable[[], None]

    @property
    def lease(self) -> store_lib.Lease | None:
        """The current lease as known to this node, if any."""
        return self._lease

    @property
    def running(self) -> bool:
        """Whether the keeper has been started and not stopped."""
        return self._loop is not None

    def start(
        self,
        on_begun: Callable[[store_lib.Lease], Awaitable[bool]],
        on_renewed: Callable[[float], None],
        on_ended: Callable[[], None],
    ) -> None:
        """Starts acquiring and renewing a lease.

        Args:
          on_begun: called with a new lease; if its result is False, the lease
            is not used.
          on_renewed: called after each successful grant or renewal with the
            monotonic time, in seconds, at which its request was sent.
          on_ended: called when the lease has ended.
        """
        self._on_begun = on_begun
        self._on_renewed = on_renewed
        self._on_ended = on_ended
        supervisor = supervision.Supervisor(self._counters, self._log)
        self._loop = defer.ensureDeferred(
            supervisor.keep_running(self._reactor, "lease", self._keep_lease)
        )
        self._loop.addErrback(self._failed)

    def give_up(self) -> None:
        """Treats the lease as ended, so that another one is acquired."""
        if self._lease is not None:
            self._lease = None
            self._on_ended()

    def replace(self, spread_s: float) -> None:
        """Gives the lease up and acquires another soon, if it is running.

        Args:
          spread_s: seconds over which the nodes acquire their leases.
        """
        self.give_up()
        if self._pause is not None and self._pause.active():
            self._pause.reset(self._rng.uniform(0.0, spread_s))

    async def stop(self) -> None:
        """Stops the keeper and ends the lease in the store."""
        loop, self._loop = self._loop, None
        if loop is not None:
            loop.cancel()
        lease, self._lease = self._lease, None
        if lease is not None:
            self._on_ended()
            await self._store.revoke(lease.lease_id)

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("lease_failed", reason=failure.getTraceback())

    async def _keep_lease(self) -> None:
        failures = 0
        while True:
            if self._lease is None:
                succeeded = await self._begin()
            else:
                succeeded = await self._renew(self._lease)
            pause_s = self._renew_s
            if not succeeded:
                pause_s = backoff.pause_s(_MIN_RETRY_S, _MAX_RETRY_S, failures)
            failures = 0 if succeeded else failures + 1
            await self._sleep(pause_s * self._rng.uniform(0.9, 1.1))

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        waiter: defer.Deferred[None] = defer.Deferred(
            lambda _: pause.cancel() if pause.active() else None
        )
        pause = self._reactor.callLater(seconds, waiter.callback, None)
        self._pause = pause
        return waiter

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
