"""In-memory fake of the platform's store, with a manual clock and faults."""

from collections.abc import Callable
import enum
from typing import Any

from twisted.internet import defer

from azureline.platform import store as store_lib

_ABSENT = store_lib.Item("", b"", 0)


class Fault(enum.Enum):
    """Fault that a client injects into the calls of its node."""

    NONE = "none"
    REFUSED = "refused"  # The call has no effect; the client gets a 503.
    SILENT = "silent"  # The call has no effect and times out.
    LOST = "lost"  # The call takes effect but times out.
    LATE = "late"  # The call times out and takes effect `apply_delay_s` later.


class FakeStore:
    """State of the store, shared by the clients of all nodes."""

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self.items: dict[str, store_lib.Item] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 10
        self._pending: list[tuple[float, Callable[[], Any]]] = []

    def change(
        self,
        expected: dict[str, int],
        puts: tuple[store_lib.Put, ...],
        removed: tuple[str, ...],
    ) -> Any:
        """Runs a transaction if every key has its expected revision."""
        if any(self._revision_of(k) != r for k, r in expected.items()):
            found = [self.items[k] for k in expected if k in self.items]
            return store_lib.Conflict(tuple(found))
        if any(p.lease and p.lease not in self._leases for p in puts):
            return store_lib.NoLease()
        self._revision += 1
        for put in puts:
            self.items[put.key] = store_lib.Item(
                put.key, put.value, self._revision, put.lease
            )
        for key in removed:
            self.items.pop(key, None)
        return store_lib.Committed(self._revision)

    def grant(self, ttl_s: float) -> store_lib.Lease:
        """Creates a lease."""
        self._revision += 1
        self._leases[self._revision] = (ttl_s, self._now() + ttl_s)
        return store_lib.Lease(self._revision, ttl_s)

    def renew(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has ended."""
        if lease_id not in self._leases:
            return False
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, self._now() + ttl_s)
        return True

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        if self._leases.pop(lease_id, None) is not None:
            self.items = {
                k: i for k, i in self.items.items() if i.lease != lease_id
            }

    def revoke_all(self) -> None:
        """Ends all leases, as a failure of the store can do."""
        for lease_id in list(self._leases):
            self.revoke(lease_id)

    def schedule(self, delay_s: float, call: Callable[[], Any]) -> None:
        """Schedules a call; `run_due` runs it after the delay."""
        self._pending.append((self._now() + delay_s, call))

    def run_due(self) -> None:
        """Runs the calls that are due and ends expired leases."""
        now = self._now()
        due = [call for at, call in self._pending if at <= now]
        self._pending = [(at, call) for at, call in self._pending if at > now]
        for call in due:
            call()
        for lease_id, (_, ends_at) in list(self._leases.items()):
            if ends_at <= now:
                self.revoke(lease_id)

    def _revision_of(self, key: str) -> int:
        return self.items.get(key, _ABSENT).revision


class FakeStoreClient:
    """Fake of `store.StoreClient` for one node."""

    def __init__(self, store: FakeStore, reactor: Any, timeout_s: float):
        self._store = store
        self._reactor = reactor
        self._timeout_s = timeout_s
        self.fault = Fault.NONE
        self.apply_delay_s = 0.0

    async def transact(
        self,
        expected: dict[str, int],
        puts: tuple[store_lib.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Any:
        """Runs a transaction."""
        return await self._call(
            lambda: self._store.change(expected, puts, deletes)
        )

    async def grant(self, ttl_s: float) -> Any:
        """Creates a lease."""
        return await self._call(lambda: self._store.grant(ttl_s))

    async def renew(self, lease_id: int) -> Any:
        """Renews a lease."""
        return await self._call(lambda: self._store.renew(lease_id))

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease."""
        await self._call(lambda: self._store.revoke(lease_id))

    async def _call(self, call: Callable[[], Any]) -> Any:
        result: Any = store_lib.Unavailable("timeout", may_have_applied=True)
        match self.fault:
            case Fault.NONE:
                return call()
            case Fault.REFUSED:
                return store_lib.Unavailable(
                    "status 503", may_have_applied=False
                )
            case Fault.LOST:
                call()
            case Fault.LATE:
                self._store.schedule(self.apply_delay_s, call)
        await self._sleep(self._timeout_s)
        return result

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        waiter: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(seconds, waiter.callback, None)
        return waiter
