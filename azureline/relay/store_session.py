"""Store session of a node: its record, its leases and its claims.

A resource is an engine or the planner of a service.  The node that has claimed
a resource is its lease holder.
"""

from collections.abc import Callable
import math
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

# The node record has a lease of its own.  All nodes keep one, so it is renewed
# less often than the lease of claims.
_RECORD_TTL_S = 4.0
_RECORD_RENEW_S = 1.2
# After a return from an older copy all nodes replace their leases. A node with
# engines makes about eight calls, and the store's rates bound all of them.
_MIN_REPLACE_S = 0.3
_REPLACING_NODES_PER_S = 300.0
# Delay before the next claim after the store did not answer one.
_CLAIM_RETRY_S = 0.6


class StoreSession:
    """Keeps the node's record, and its claims under a short-lived lease."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.StoreClient,
        record: keys.NodeRecord,
        terms: claims.LeaseTimes,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a store session without leases."""
        self._reactor = reactor
        self._clock = clock
        self._store = store
        self._record = record
        self._terms = terms
        self._counters = counters
        self._log = log
        self._identity = uuid.uuid4().hex
        shared = (reactor, clock, rng, store)
        self._record_lease = leases.LeaseKeeper(
            *shared, _RECORD_TTL_S, _RECORD_RENEW_S, counters, log
        )
        self._claim_lease = leases.LeaseKeeper(
            *shared, terms.ttl_s, terms.renew_s, counters, log
        )
        self._validity = claims.LeaseValidity(terms)
        self._history = claims.EraHistory(terms, clock.now())
        self._held_terms: dict[str, claims.Term] = {}
        # Revisions of this process's holder records, as seen in the store, and
        # the leases with which resources were claimed.
        self._own_records: dict[str, int] = {}
        self._claimed_with: dict[str, store_lib.Lease] = {}
        # Earliest monotonic time, in seconds, of an order after each claim of
        # this process; kept when the term is lost.
        self._orders_from: dict[str, float] = {}
        # Resources held when the store returned, until they are claimed again.
        self._to_reclaim: set[str] = set()
        # Timers that record the end of a wait for the first order.
        self._wait_ends: dict[str, Any] = {}
        self._claiming: set[str] = set()
        self._next_claim_at = float("-inf")
        self._on_lost: Callable[[str], None] | None = None
        self._stopping = False

    @property
    def identity(self) -> str:
        """Identity of this process."""
        return self._identity

    @property
    def held_terms(self) -> dict[str, claims.Term]:
        """Resources that this node holds, with the term of each."""
        return dict(self._held_terms)

    def on_lost(self, callback: Callable[[str], None]) -> None:
        """Sets the function called with the name of each lost resource."""
        self._on_lost = callback

    def start(self) -> None:
        """Starts keeping the node's record in the store."""
        self._record_lease.start(
            self._write_record, _ignore_renewal, _ignore_end
        )

    def may_send_orders(self, name: str) -> bool:
        """Returns whether orders for a resource may be sent now."""
        turn = self._held_terms.get(name)
        now = self._clock.now()
        return (
            turn is not None
            and now >= turn.from_s
            and self._is_valid(name, now)
        )

    def is_alone(self, name: str) -> bool:
        """Returns whether no other node can take itself for the lease holder.

        Args:
          name: name of a resource.
        """
        term, now = self._held_terms.get(name), self._clock.now()
        return (
            term is not None
            and now >= term.alone_from_s
            and self._is_valid(name, now)
        )

    def _is_valid(self, name: str, now: float) -> bool:
        return name not in self._to_reclaim and self._validity.covers(now)

    def claim(self, name: str, urgent: bool = False) -> None:
        """Tries to become the lease holder of a resource that has none.

        Args:
          name: name of the resource.
          urgent: whether the claim need not wait until the orders of the
            previous holder have expired.
        """
        is_held = name in self._held_terms and name not in self._to_reclaim
        if name in self._claiming or is_held or self._stopping:
            return
        if self._clock.now() < self._next_claim_at:
            return
        lease = self._claim_lease.lease
        if lease is None:
            if not self._claim_lease.running:
                self._claim_lease.start(
                    _accept_lease,
                    self._claim_lease_renewed,
                    self._claim_lease_ended,
                )
            return
        self._claiming.add(name)
        claim = defer.ensureDeferred(self._claim(name, lease, urgent))
        claim.addErrback(self._claim_failed)

    def holder_changed(
        self, name: str, record: keys.HolderRecord | None, revision: int
    ) -> None:
        """Applies a change of a resource's holder record in the store.

        Args:
          name: name of the resource.
          record: the holder record; None if there is none.
          revision: revision of the holder's key.
        """
        if record is not None and record.identity == self._identity:
            self._own_records[name] = revision
            self._hold_found_claim(name)
            return
        self._own_records.pop(name, None)
        if record is None and name in self._to_reclaim:
            return  # The store has forgotten it.
        if name in self._held_terms:
            self._remove_term(name, "taken" if record else "removed")

    def _hold_found_claim(self, name: str) -> None:
        """Begins the term of a claim that succeeded though its answer was lost.

        The record may be seen before or after the claim has failed.
        """
        token, lease = self._own_records.get(name), self._claim_lease.lease
        if token is None or self._claimed_with.get(name) is not lease:
            return
        if lease is None or name in self._held_terms or name in self._claiming:
            return
        start = claims.Start(self._terms.wait_s, self._terms.overlap_s)
        self._begin_term(name, token, start)
        self._log.info("claim_found", held=name, token=token)

    def store_returned(self, era: int, nodes: int = 1) -> None:
        """Claims again what the store may have forgotten.

        No orders are sent until then.

        Args:
          era: the store's era, which began with its return from a copy.
          nodes: number of nodes, which all do the same.
        """
        # A term that was not claimed again since the last return may be lost.
        held = {
            name: term
            for name, term in self._held_terms.items()
            if name not in self._to_reclaim
        }
        self._history.era_began(
            era, held, self._validity.renewed_at, self._clock.now()
        )
        self._next_claim_at = float("-inf")
        self._to_reclaim = set(self._held_terms)
        spread_s = max(_MIN_REPLACE_S, nodes / _REPLACING_NODES_PER_S)
        self._record_lease.replace(spread_s)
        self._claim_lease.replace(spread_s)

    def node_removed(self, name: str) -> None:
        """Handles the removal of a node's record from the store.

        If the record is this node's, it is written again under a new lease, and
        the claims are given up.
        """
        if name == self._record.name and not self._stopping:
            # Other keys of this node may have been removed as well.
            self._record_lease.give_up()
            self._claim_lease.give_up()

    async def release(self, idle_ms: dict[str, int]) -> None:
        """Ends the leases, so that other nodes can claim without delay.

        Args:
          idle_ms: milliseconds since the last order, by resource.
        """
        self._stopping = True
        await self._record_released_terms(idle_ms)
        await self._claim_lease.stop()
        await self._record_lease.stop()

    async def _record_released_terms(self, idle_ms: dict[str, int]) -> None:
        """Records in the store that this node sends no more orders.

        A term in which no order could be sent yet stays unreleased, so that the
        next holder keeps its distance from the holder before.
        """
        now = self._clock.now()
        held = [
            name
            for name in idle_ms
            if name in self._held_terms and self._held_terms[name].from_s <= now
        ]
        if not held:
            return
        expected = {
            keys.HOLDERS + name: self._held_terms[name].record_revision
            for name in held
        }
        puts = tuple(
            store_lib.Put(
                keys.TERMS + name,
                keys.pack(
                    keys.TermRecord(
                        self._record.name, idle_ms[name], era=self._store.era
                    )
                ),
            )
            for name in held
        )
        ended = await self._store.transact(expected, puts)
        self._log.info(
            "turns_ended",
            held=held,
            done=isinstance(ended, store_lib.Committed),
        )

    async def _write_record(self, lease: store_lib.Lease) -> bool:
        key = keys.NODES + self._record.name
        put = store_lib.Put(key, keys.pack(self._record), lease.lease_id)
        written = await self._store.transact({}, (put,))
        return isinstance(written, store_lib.Committed)

    def _claim_lease_renewed(self, sent_at: float) -> None:
        self._validity.extend(sent_at)
        for name in list(self._to_reclaim):
            self.claim(name, urgent=name.startswith(keys.PLANNER))

    def _claim_lease_ended(self) -> None:
        self._validity.end()
        self._own_records.clear()
        self._claimed_with.clear()
        for name in self._held_terms.keys() - self._to_reclaim:
            self._remove_term(name, "lease ended")

    def _claim_failed(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            self._log.error("claim_failed", reason=failure.getTraceback())

    async def _claim(
        self, name: str, lease: store_lib.Lease, urgent: bool
    ) -> None:
        self._claimed_with[name] = lease
        try:
            await self._send_claim(name, lease, urgent)
        finally:
            self._claiming.discard(name)
        self._hold_found_claim(name)

    async def _send_claim(
        self, name: str, lease: store_lib.Lease, urgent: bool
    ) -> None:
        holder_key, turn_key = keys.HOLDERS + name, keys.TERMS + name
        start = self._start_after(name, None, urgent)
        result = await self._store.transact(
            {holder_key: 0, turn_key: 0},
            self._claim_puts(name, lease, start.wait_s),
        )
        if isinstance(result, store_lib.Conflict):
            found = {item.key: item for item in result.items}
            current, last_turn = found.get(holder_key), found.get(turn_key)
            if current is not None and not self._is_replaceable(current, lease):
                self._note_holder(name, current, lease)
                return
            start = self._start_after(name, last_turn, urgent)
            result = await self._store.transact(
                {
                    holder_key: current.revision if current else 0,
                    turn_key: last_turn.revision if last_turn else 0,
                },
                self._claim_puts(name, lease, start.wait_s),
            )
        self._claim_finished(name, lease, start, result)

    def _start_after(
        self, name: str, last_turn: store_lib.Item | None, urgent: bool
    ) -> claims.Start:
        """Returns when a claim that is sent now lets this node act."""
        now, era = self._clock.now(), self._store.era
        last = keys.term_record(last_turn.value) if last_turn else None
        if not self._history.is_complete(last, era):
            start = self._history.start_after_return(name, era, now)
            self._orders_from[name] = now + start.wait_s
            return start._replace(wait_s=0.0) if urgent else start
        if last_turn is None:
            return claims.Start()
        wait_s = 0.0 if urgent else self._wait_after(name, last)
        return claims.Start(wait_s, self._terms.overlap_s)

    def _note_holder(
        self, name: str, current: store_lib.Item, lease: store_lib.Lease
    ) -> None:
        """Notes whether the holder that a claim found is this process."""
        record = keys.holder_record(current.value)
        is_own = record is not None and record.identity == self._identity
        if is_own and current.lease == lease.lease_id:
            self._own_records[name] = current.revision
        else:
            self._own_records.pop(name, None)
        self._to_reclaim.discard(name)
        if name in self._held_terms:
            self._remove_term(name, "taken")

    def _wait_after(self, name: str, previous: keys.TermRecord | None) -> float:
        """Returns the seconds from a claim now to the first order.

        They are remembered before the claim is sent: it may be applied though
        its answer is lost.
        """
        now = self._clock.now()
        wait_s = self._terms.wait_after(previous, self._record.name)
        if previous is not None and previous.node == self._record.name:
            orders_from = self._orders_from.get(name, now + wait_s)
            wait_s = min(wait_s, max(0.0, orders_from - now))
        self._orders_from[name] = now + wait_s
        return wait_s

    def _claim_puts(
        self, name: str, lease: store_lib.Lease, wait_s: float
    ) -> tuple[store_lib.Put, ...]:
        """Returns the records of a claim.

        Args:
          name: name of the resource.
          lease: the lease of the holder's record.
          wait_s: seconds from the claim to the first order.
        """
        holder = keys.HolderRecord(self._record.name, self._identity)
        term = keys.TermRecord(
            self._record.name,
            wait_ms=math.ceil(wait_s * 1000),
            era=self._store.era,
        )
        return (
            store_lib.Put(
                keys.HOLDERS + name, keys.pack(holder), lease.lease_id
            ),
            store_lib.Put(keys.TERMS + name, keys.pack(term)),
        )

    def _is_replaceable(
        self, item: store_lib.Item, lease: store_lib.Lease
    ) -> bool:
        """Returns whether a holder's record may be replaced by a claim.

        It may if it is of an earlier process of this VM, or of this process
        under a lease that it no longer has.
        """
        record = keys.holder_record(item.value)
        if record is None or record.node != self._record.name:
            return False
        return record.identity != self._identity or item.lease != lease.lease_id

    def _claim_finished(
        self,
        name: str,
        lease: store_lib.Lease,
        start: claims.Start,
        result: Any,
    ) -> None:
        if isinstance(result, store_lib.Unavailable):
            self._next_claim_at = self._clock.now() + _CLAIM_RETRY_S
        if not isinstance(result, store_lib.Committed):
            # If only the answer was lost, the claim is found in the store.
            self._counters.count("claims.failed")
            return
        if self._claim_lease.lease is not lease:
            return
        self._to_reclaim.discard(name)
        term = self._held_terms.get(name)
        if term is not None and start.continues:
            self._held_terms[name] = term._replace(revision=result.revision)
            self._counters.count("claims.continued")
        else:
            if term is not None:
                self._remove_term(name, "store returned")
            self._begin_term(name, result.revision, start)
            self._counters.count("claims.won")
        self._log.info(
            "claimed",
            held=name,
            token=self._held_terms[name].token,
            revision=result.revision,
            wait_s=round(start.wait_s, 3),
        )

    def _begin_term(self, name: str, token: int, start: claims.Start) -> None:
        now = self._clock.now()
        self._held_terms[name] = claims.Term(
            token, now + start.wait_s, now + start.overlap_s
        )
        if start.wait_s:
            self._wait_ends[name] = self._reactor.callLater(
                start.wait_s, self._record_wait_ended, name
            )

    def _record_wait_ended(self, name: str) -> None:
        """Records that this VM may claim a resource again without a wait."""
        del self._wait_ends[name]
        record = keys.TermRecord(self._record.name, era=self._store.era)
        recording = defer.ensureDeferred(
            self._store.transact(
                {keys.HOLDERS + name: self._held_terms[name].record_revision},
                (store_lib.Put(keys.TERMS + name, keys.pack(record)),),
            )
        )
        recording.addCallback(
            lambda result: self._counters.count(
                "claims.waits_recorded"
                if isinstance(result, store_lib.Committed)
                else "claims.waits_not_recorded"
            )
        )
        recording.addErrback(self._claim_failed)

    def _remove_term(self, name: str, reason: str) -> None:
        turn = self._held_terms.pop(name)
        self._to_reclaim.discard(name)
        wait_end = self._wait_ends.pop(name, None)
        if wait_end is not None:
            wait_end.cancel()
        self._log.info("unclaimed", held=name, token=turn.token, reason=reason)
        if self._on_lost is not None:
            self._on_lost(name)


async def _accept_lease(lease: store_lib.Lease) -> bool:
    return True


def _ignore_renewal(_: object) -> None:
    return None


def _ignore_end() -> None:
    return None
