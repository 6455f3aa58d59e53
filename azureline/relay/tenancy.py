"""What this node holds in the platform's store: its record and its claims."""

from collections.abc import Callable
import random
from typing import Any
import uuid

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import claims
from azureline.relay import keys
from azureline.relay import leases
from azureline.util import events

# A node's record goes with a lease of its own that is renewed less often
# than that of claims, as all nodes have one.
_RECORD_TTL_S = 4.0
_RECORD_RENEW_S = 1.2
# After a claim that the store did not answer, before another one.
_CLAIM_RETRY_S = 0.6


class Tenancy:
    """Keeps the node's record, and claims under a lease that lapses soon."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.Store,
        record: keys.NodeRecord,
        terms: claims.Terms,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a tenancy without a lease."""
        self._clock = clock
        self._store = store
        self._record = record
        self._terms = terms
        self._counters = counters
        self._log = log
        self._identity = uuid.uuid4().hex
        shared = (reactor, clock, rng, store)
        self._home = leases.LeaseKeeper(
            *shared, _RECORD_TTL_S, _RECORD_RENEW_S, counters, log
        )
        self._duty = leases.LeaseKeeper(
            *shared, terms.ttl_s, terms.renew_s, counters, log
        )
        self._tenure = claims.Tenure(terms)
        self._turns: dict[str, claims.Turn] = {}
        self._claiming: set[str] = set()
        self._claims_from = float("-inf")
        self._on_lost: Callable[[str], None] | None = None
        self._stopping = False

    @property
    def identity(self) -> str:
        """Identity of this process."""
        return self._identity

    @property
    def held(self) -> dict[str, claims.Turn]:
        """What this node holds, with its turn."""
        return dict(self._turns)

    def on_lost(self, tell: Callable[[str], None]) -> None:
        """Tells when something is held no more."""
        self._on_lost = tell

    def start(self) -> None:
        """Begins to keep the node's record."""
        self._home.start(self._write_record, _ignore, _nothing)

    def may_act(self, name: str) -> bool:
        """Returns whether an order may be sent at this moment."""
        turn = self._turns.get(name)
        now = self._clock.now()
        return (
            turn is not None and now >= turn.from_s and self._tenure.covers(now)
        )

    def claim(self, name: str, urgent: bool = False) -> None:
        """Tries to become the holder of something that has none.

        Args:
          name: what to hold.
          urgent: whether no other holder's orders need to be waited for.
        """
        if name in self._claiming or name in self._turns or self._stopping:
            return
        if self._clock.now() < self._claims_from:
            return
        lease = self._duty.lease
        if lease is None:
            if not self._duty.running:
                self._duty.start(
                    _accept, self._tenure.renewed, self._duty_ended
                )
            return
        self._claiming.add(name)
        claiming = defer.ensureDeferred(self._claim(name, lease, urgent))
        claiming.addErrback(self._failed)

    def taken(
        self, name: str, record: keys.HolderRecord | None, revision: int
    ) -> None:
        """Learns from the store who holds something now.

        Args:
          name: what is held.
          record: the holder; None if there is none.
          revision: revision of the holder's key.
        """
        own = record is not None and record.identity == self._identity
        if name in self._turns:
            if not own:
                self._drop(name, "taken" if record else "removed")
        elif own and name not in self._claiming and self._duty.lease:
            # The answer to this node's claim was lost.
            from_s = self._clock.now() + self._terms.wait_s
            self._turns[name] = claims.Turn(revision, from_s)
            self._log.info("claim_found", held=name, token=revision)

    def node_removed(self, name: str) -> None:
        """Learns that a node's record is gone; its own is written anew."""
        if name == self._record.name and not self._stopping:
            # What else was taken away with it is not known.
            self._home.give_up()
            self._duty.give_up()

    async def release(self, idle_ms: dict[str, int]) -> None:
        """Gives up the leases, so that others can claim at once.

        Args:
          idle_ms: milliseconds since the last order, by what is held.
        """
        self._stopping = True
        await self._end_turns(idle_ms)
        await self._duty.stop()
        await self._home.stop()

    async def _end_turns(self, idle_ms: dict[str, int]) -> None:
        """Tells successors that this node sends no more orders."""
        held = [name for name in idle_ms if name in self._turns]
        if not held:
            return
        expected = {
            keys.HOLDERS + name: self._turns[name].token for name in held
        }
        puts = tuple(
            store_lib.Put(
                keys.TURNS + name,
                keys.pack(keys.TurnRecord(self._record.name, idle_ms[name])),
            )
            for name in held
        )
        ended = await self._store.change(expected, puts)
        self._log.info(
            "turns_ended",
            held=held,
            done=isinstance(ended, store_lib.Committed),
        )

    async def _write_record(self, lease: store_lib.Lease) -> bool:
        key = keys.NODES + self._record.name
        put = store_lib.Put(key, keys.pack(self._record), lease.lease_id)
        written = await self._store.change({}, (put,))
        return isinstance(written, store_lib.Committed)

    def _duty_ended(self) -> None:
        self._tenure.ended()
        for name in list(self._turns):
            self._drop(name, "lease ended")

    def _failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("claim_failed", reason=failure.getTraceback())

    async def _claim(
        self, name: str, lease: store_lib.Lease, urgent: bool
    ) -> None:
        holder, turn = keys.HOLDERS + name, keys.TURNS + name
        record = keys.HolderRecord(self._record.name, self._identity)
        own_turn = keys.pack(keys.TurnRecord(self._record.name))
        puts = (
            store_lib.Put(holder, keys.pack(record), lease.lease_id),
            store_lib.Put(turn, own_turn),
        )
        try:
            result = await self._store.change({holder: 0, turn: 0}, puts)
            wait_s = 0.0
            if isinstance(result, store_lib.Conflict):
                found = {item.key: item for item in result.items}
                current, last = found.get(holder), found.get(turn)
                if current is not None and not self._left_behind(current):
                    return
                if last is not None and not urgent:
                    before = keys.turn_record(last.value)
                    wait_s = self._terms.wait_after(before, self._record.name)
                result = await self._store.change(
                    {
                        holder: current.revision if current else 0,
                        turn: last.revision if last else 0,
                    },
                    puts,
                )
            self._claimed(name, lease, wait_s, result)
        finally:
            self._claiming.discard(name)

    def _left_behind(self, item: store_lib.Item) -> bool:
        """Returns whether an earlier process of this VM was the holder."""
        record = keys.holder_record(item.value)
        return (
            record is not None
            and record.node == self._record.name
            and record.identity != self._identity
        )

    def _claimed(
        self, name: str, lease: store_lib.Lease, wait_s: float, result: Any
    ) -> None:
        if isinstance(result, store_lib.Unavailable):
            self._claims_from = self._clock.now() + _CLAIM_RETRY_S
        if not isinstance(result, store_lib.Committed):
            # After a lost answer the follower finds whose the key is.
            self._counters.count("claims.failed")
            return
        if self._duty.lease is not lease:
            return
        now = self._clock.now()
        from_s = now + wait_s
        self._turns[name] = claims.Turn(result.revision, from_s)
        self._counters.count("claims.won")
        self._log.info(
            "claimed",
            held=name,
            token=result.revision,
            wait_s=round(from_s - now, 3),
        )

    def _drop(self, name: str, reason: str) -> None:
        turn = self._turns.pop(name)
        self._log.info("unclaimed", held=name, token=turn.token, reason=reason)
        if self._on_lost is not None:
            self._on_lost(name)


async def _accept(lease: store_lib.Lease) -> bool:
    return True


def _ignore(_: object) -> None:
    return None


def _nothing() -> None:
    return None
