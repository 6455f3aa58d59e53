"""In-memory fake of the platform's store, with a manual clock and faults."""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.platform import eras
from azureline.platform import store as store_lib

_ABSENT = store_lib.Item("", b"", 0)


class Fault(enum.Enum):
    """Fault that a client injects into the calls of its node."""

    NONE = "none"
    REFUSED = "refused"  # The call has no effect; the client gets a 503.
    SILENT = "silent"  # The call has no effect and times out.
    LOST = "lost"  # The call takes effect but times out.
    LATE = "late"  # The call times out and takes effect `apply_delay_s` later.


class _Copy(NamedTuple):
    """The state at a time; leases are kept with the seconds that they last."""

    at: float
    items: dict[str, store_lib.Item]
    leases: dict[int, tuple[float, float]]
    revision: int


class FakeStore:
    """State of the store, shared by the clients of all nodes.

    Revisions in calls and results are positions, as `store.StoreClient` has
    them.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self.items: dict[str, store_lib.Item] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._revision = 10
        self.era = eras.FIRST_ERA
        self._copies: list[_Copy] = []
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
        at = eras.position(self.era, self._revision)
        for put in puts:
            self.items[put.key] = store_lib.Item(
                put.key, put.value, at, put.lease
            )
        for key in removed:
            self.items.pop(key, None)
        return store_lib.Committed(at)

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

    def restore(self, age_s: float) -> None:
        """Returns to a copy that is at least `age_s` seconds old."""
        now = self._now()
        copies = [c for c in self._copies if c.at <= now - age_s]
        copy = copies[-1] if copies else self._copies[0]
        self._copies = copies or self._copies[:1]
        self.era += 1
        self._revision = copy.revision
        self._leases = {
            lease_id: (ttl_s, now + left_s)
            for lease_id, (ttl_s, left_s) in copy.leases.items()
        }
        self.items = {
            key: item._replace(
                revision=eras.position(
                    self.era, eras.revision_of(item.revision)
                )
            )
            for key, item in copy.items.items()
        }

    def _save_copy(self) -> None:
        now = self._now()
        leases = {
            lease_id: (ttl_s, ends_at - now)
            for lease_id, (ttl_s, ends_at) in self._leases.items()
        }
        self._copies.append(
            _Copy(now, dict(self.items), leases, self._revision)
        )

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
        self._save_copy()

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
        self.era = eras.FIRST_ERA
        self._lease_eras: dict[int, int] = {}
        self._on_return: list[Callable[[int], None]] = []

    def on_return(self, callback: Callable[[int], None]) -> None:
        """Adds a function that is called with the era after each return."""
        self._on_return.append(callback)

    async def transact(
        self,
        expected: dict[str, int],
        puts: tuple[store_lib.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Any:
        """Runs a transaction."""
        era = self.era
        if any(r and eras.era_of(r) != era for r in expected.values()):
            return store_lib.Unavailable("earlier era", may_have_applied=False)
        if any(put.lease and not self._is_current(put.lease) for put in puts):
            return store_lib.NoLease()
        result = await self._call(
            lambda: self._store.change(expected, puts, deletes)
        )
        is_bound = any(expected.values()) or any(put.lease for put in puts)
        if is_bound and self.era != era:
            return store_lib.Unavailable("later era", may_have_applied=True)
        return result

    async def grant(self, ttl_s: float) -> Any:
        """Creates a lease."""
        lease = await self._call(lambda: self._store.grant(ttl_s))
        if isinstance(lease, store_lib.Lease):
            self._lease_eras[lease.lease_id] = self.era
        return lease

    async def renew(self, lease_id: int) -> Any:
        """Renews a lease."""
        if not self._is_current(lease_id):
            return False
        renewed = await self._call(lambda: self._store.renew(lease_id))
        return renewed and self._is_current(lease_id)

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease."""
        if self._is_current(lease_id):
            await self._call(lambda: self._store.revoke(lease_id))

    def _is_current(self, lease_id: int) -> bool:
        return self._lease_eras.get(lease_id) == self.era

    def _learn_era(self) -> None:
        if self._store.era > self.era:
            self.era = self._store.era
            for callback in self._on_return:
                callback(self.era)

    async def _call(self, call: Callable[[], Any]) -> Any:
        result: Any = store_lib.Unavailable("timeout", may_have_applied=True)
        match self.fault:
            case Fault.NONE:
                result = call()
                self._learn_era()
                return result
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
