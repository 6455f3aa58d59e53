"""Keeps crash suspects in the platform's store, and claims their trials.

A record in the store outlives a restart of all nodes.  It changes only by
compare-and-swap, so that of all nodes only one at a time runs a suspect.
"""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import suspect_record
from azureline.routing import crash_history
from azureline.routing import rendezvous
from azureline.routing import suspects as suspects_lib
from azureline.util import events

# Time after which a trial without an outcome no longer excludes others: longer
# than an engine takes to begin an answer.
TRIAL_S = 1.5
# Time after the last renewal of a trial in which the end of its server counts
# as its outcome: longer than a crashed server's entry takes to lapse.
_OUTCOME_S = 6.0
# Delay of a write of new suspects, in which reports of one crash arrive.
_WRITE_DELAY_S = 0.05
# Delay of a write that only removes cleared suspects.
_REMOVAL_DELAY_S = 2.0
# All nodes would write the same, so each waits for those before it in an order
# that all nodes agree on.
_RANK_DELAY_S = 0.4
_MAX_RANK = 10
# The same for claims of trials, for which callers wait.
_CLAIM_DELAY_S = 0.02
_MAX_CLAIM_RANK = 20
_RETRY_S = 0.5


class SuspectStore:
    """This node's side of the record of crash suspects."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        store: store_lib.StoreClient,
        peers: peers_lib.Peers,
        table: suspects_lib.SuspectTable,
        start_of: Callable[[str], int | None],
        on_entries: Callable[[tuple[crash_history.SuspectEntry, ...]], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a side that knows no record.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: spreads retries.
          store: client of the platform's store.
          peers: the other nodes.
          table: the suspects that this node knows.
          start_of: returns the start of a server in Unix ms, or None if it
            has no entry.
          on_entries: called with the entries of each new record, and with
            those of trials whose server has ended.
          counters: counts writes and trials.
          log: receives a line for each claim and failure.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._store = store
        self._peers = peers
        self._table = table
        self._start_of = start_of
        self._on_entries = on_entries
        self._counters = counters
        self._log = log
        self._revision = 0
        self._record = suspect_record.SuspectRecord()
        # Trials claimed before the store's last return.
        self._forgotten: tuple[suspect_record.Trial, ...] = ()
        # The latest claims of this node's trials.
        self._claimed: dict[tuple[bytes, ...], suspect_record.Trial] = {}
        # Suspects of this node's trials that are over.
        self._released: set[tuple[bytes, ...]] = set()
        # Contents that were in the record with a single crash.  Another node
        # that has seen their run removes them, so they are added only once.
        self._once_recorded: dict[bytes, frozenset[tuple[str, str]]] = {}
        self._has_read = False
        self._writing = False
        self._timer: Any = None
        self._closed = False

    def close(self) -> None:
        """Stops writing."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def store_returned(self) -> None:
        """Keeps the trials that the store may have forgotten."""
        self._forgotten = tuple(self._open_trials(_OUTCOME_S))
        self._revision = 0
        self._record = suspect_record.SuspectRecord()
        self._once_recorded.clear()
        self.suspects_changed()

    def changed(self, item: store_lib.Item) -> None:
        """Applies the record as it was written by this or another node."""
        if item.revision <= self._revision:
            return
        self._revision = item.revision
        record = suspect_record.decode(item.value, self._clock.now())
        if record is None:
            self._counters.count("suspects.unreadable")
            self._log.error("suspects_unreadable", revision=item.revision)
            record = suspect_record.SuspectRecord()
        self._record = record
        self._released &= {trial.suspects for trial in record.trials}
        if not self._has_read:
            self._has_read = True
            self._table.inherit(record.entries)
        self._on_entries(record.entries)
        self._note_once_accused(record.entries)
        self.suspects_changed()

    def removed(self) -> None:
        """Applies the removal of the record."""
        if not self._revision:
            return
        self._revision = 0
        self._record = suspect_record.SuspectRecord()
        self.suspects_changed()

    def suspects_changed(self) -> None:
        """Schedules a write if the record lacks what this node knows."""
        self._schedule_write(in_turn=True)

    def _schedule_write(self, in_turn: bool) -> None:
        """Schedules a write, in the order of nodes or at once."""
        if self._closed or self._writing:
            return
        if self._timer is not None and self._timer.active():
            return
        delay_s = self._write_delay_s()
        if delay_s is not None:
            rank = self._rank(keys.SUSPECTS.encode()) if in_turn else 0
            rank = min(_MAX_RANK, rank)
            self._timer = self._reactor.callLater(
                delay_s + rank * _RANK_DELAY_S, self._write_later
            )

    def trial_runs(self, suspects: tuple[bytes, ...]) -> bool:
        """Returns whether a trial of one of some suspects is undecided."""
        return any(
            not set(trial.suspects).isdisjoint(suspects)
            for trial in self._undecided()
        )

    def claim_delay_s(self, suspects: tuple[bytes, ...]) -> float:
        """Returns the seconds for which this node lets others claim first.

        The nodes with requests for a suspect would otherwise all claim its
        trial at once, and one of them gets it.
        """
        return min(_MAX_CLAIM_RANK, self._rank(suspects[0])) * _CLAIM_DELAY_S

    async def claim_trial(
        self, suspects: tuple[bytes, ...], server: str
    ) -> bool:
        """Tries to become the only node that runs some suspects.

        While the store does not answer, the first node in an order that all
        nodes agree on runs them.

        Args:
          suspects: the signatures of the request.
          server: id of the only server that may run them.
        """
        if self._writing or self._closed or self.trial_runs(suspects):
            return False
        if self._count_abandoned_crashes(suspects):
            return False
        self._released.discard(suspects)
        now = self._clock.now()
        trial = suspect_record.Trial(
            suspects, self._peers.name, now, server, self._start_of(server) or 0
        )
        self._claimed[suspects] = trial
        written = await self._write((trial,))
        self._log.info(
            "suspect_trial",
            suspects=[s.hex() for s in suspects],
            claimed=bool(written),
            revision=self._revision,
        )
        if isinstance(written, store_lib.Unavailable):
            self._counters.count("suspects.trials.without_store")
            return not written.may_have_applied and not self._rank(suspects[0])
        self._counters.count(
            "suspects.trials." + ("claimed" if written else "conflict")
        )
        return bool(written)

    async def renew_trial(self, suspects: tuple[bytes, ...]) -> None:
        """Extends this node's claim, unless a write is in progress."""
        if self._writing or self._closed:
            return
        trial = self._claimed.get(suspects)
        if trial is None:
            return
        await self._write((trial._replace(at=self._clock.now()),))
        self._counters.count("suspects.trials.renewed")

    def release_trial(self, suspects: tuple[bytes, ...]) -> None:
        """Gives up this node's claim, so that others need not wait for it."""
        self._claimed.pop(suspects, None)
        self._released.add(suspects)
        self._schedule_write(in_turn=False)

    def _is_released(self, trial: suspect_record.Trial) -> bool:
        return (
            trial.node == self._peers.name and trial.suspects in self._released
        )

    def _count_abandoned_crashes(self, suspects: tuple[bytes, ...]) -> bool:
        """Counts the crashes in trials whose node recorded no outcome.

        The end of such a trial's server is its outcome.

        Returns:
          Whether a crash was counted.
        """
        crashed = [
            trial
            for trial in self._open_trials(_OUTCOME_S)
            if not set(trial.suspects).isdisjoint(suspects)
            and self._has_server_ended(trial)
        ]
        for trial in crashed:
            self._record_crashed_trial(trial)
        return bool(crashed)

    def _has_server_ended(self, trial: suspect_record.Trial) -> bool:
        if not trial.server:
            return False
        start = self._start_of(trial.server)
        return start is None or start > trial.born_ms

    def _record_crashed_trial(self, trial: suspect_record.Trial) -> None:
        crash = crash_history.Crash(trial.server, str(trial.born_ms), trial.at)
        present = {e.content: e.model for e in self._table.entries()}
        self._on_entries(
            tuple(
                crash_history.SuspectEntry(
                    suspect, present.get(suspect, ""), (crash,), 0.0
                )
                for suspect in trial.suspects
            )
        )
        self._counters.count("suspects.trials.abandoned")
        self._log.warning(
            "suspect_trial_abandoned",
            suspects=[s.hex() for s in trial.suspects],
            node=trial.node,
            server=trial.server,
            born_ms=trial.born_ms,
            crashes=self._table.crash_count(trial.suspects[0]),
        )
        self.suspects_changed()

    def _undecided(self) -> list[suspect_record.Trial]:
        """Returns the trials that exclude others."""
        return self._open_trials(TRIAL_S)

    def _open_trials(self, age_s: float) -> list[suspect_record.Trial]:
        """Returns the trials without an outcome up to an age in seconds."""
        since = self._clock.now() - age_s
        return [
            trial
            for trial in (*self._record.trials, *self._unrecorded())
            if trial.at > since
            and not self._is_released(trial)
            and self._is_open(trial)
        ]

    def _is_open(self, trial: suspect_record.Trial) -> bool:
        """Returns whether a trial's suspects neither crashed nor completed."""
        if not self._table.suspects_of(trial.suspects):
            return False
        # Times of different records differ by the time since they were
        # written, so the server is compared, too.
        incarnation = (trial.server, str(trial.born_ms))
        return max(
            map(self._table.last_crash_at, trial.suspects)
        ) <= trial.at and not any(
            self._table.accuses(suspect, *incarnation)
            for suspect in trial.suspects
        )

    def _unrecorded(self) -> list[suspect_record.Trial]:
        """Returns the trials that the record lacks since the store's return."""
        recorded = {(t.node, t.suspects) for t in self._record.trials}
        return [
            trial
            for trial in self._forgotten
            if (trial.node, trial.suspects) not in recorded
        ]

    def _selected(self) -> tuple[crash_history.SuspectEntry, ...]:
        """Returns what the record should hold, as far as this node knows."""
        present = {entry.content for entry in self._record.entries}
        once_accused = [
            entry
            for entry in self._table.once_accused_entries()
            if entry.content in present
            or self._once_recorded.get(entry.content) != _crash_keys(entry)
        ]
        return suspect_record.select(
            self._table.accused_entries(), once_accused
        )

    def _note_once_accused(
        self, entries: tuple[crash_history.SuspectEntry, ...]
    ) -> None:
        """Records which contents need not be added to the record again."""
        known = {e.content for e in self._table.once_accused_entries()}
        self._once_recorded = {
            content: crashes
            for content, crashes in self._once_recorded.items()
            if content in known
        }
        self._once_recorded.update(
            (entry.content, _crash_keys(entry))
            for entry in entries
            if entry.content in known
        )

    def _write_delay_s(self) -> float | None:
        """Returns the delay of the next write, or None if none is needed."""
        wanted = {e.content: _crash_keys(e) for e in self._selected()}
        present = {e.content: _crash_keys(e) for e in self._record.entries}
        if any(
            not crashes <= present.get(content, frozenset())
            for content, crashes in wanted.items()
        ):
            return _WRITE_DELAY_S
        since = self._clock.now() - TRIAL_S
        if any(trial.at > since for trial in self._unrecorded()):
            return _WRITE_DELAY_S
        if any(
            trial.at > since
            and self._is_released(trial)
            and self._is_open(trial)
            for trial in self._record.trials
        ):
            return _WRITE_DELAY_S
        # Contents with a single crash are removed by the next write: a write
        # for each would cost more than they do.
        tolerated = self._table.tolerated_crashes
        suspects = {
            c for c, crashes in present.items() if len(crashes) > tolerated
        }
        return _REMOVAL_DELAY_S if suspects - wanted.keys() else None

    def _rank(self, key: bytes) -> int:
        """Returns this node's place in the order of nodes for a key."""
        names = rendezvous.ordered_servers(key, self._peers.nodes)
        return names.index(self._peers.name)

    def _write_later(self) -> None:
        self._timer = None
        if self._writing or self._write_delay_s() is None:
            return
        writing = defer.ensureDeferred(self._write(()))
        writing.addErrback(
            lambda f: self._log.error(
                "suspects_write_failed", reason=f.getTraceback()
            )
        )

    async def _write(
        self, claimed: tuple[suspect_record.Trial, ...]
    ) -> (
        store_lib.Committed
        | store_lib.Conflict
        | store_lib.NoLease
        | store_lib.Unavailable
    ):
        """Writes what this node knows, unless the record has changed."""
        renewed = {(trial.node, trial.suspects) for trial in claimed}
        others = tuple(
            trial
            for trial in self._open_trials(_OUTCOME_S)
            if (trial.node, trial.suspects) not in renewed
        )
        record = suspect_record.SuspectRecord(
            self._selected(), (*others, *claimed)
        )
        value = suspect_record.encode(record, self._clock.now())
        self._writing = True
        try:
            result = await self._store.transact(
                {keys.SUSPECTS: self._revision},
                (store_lib.Put(keys.SUSPECTS, value),),
            )
        finally:
            self._writing = False
        self._counters.count("suspects.writes")
        match result:
            case store_lib.Committed(revision=revision):
                if revision > self._revision:
                    self._revision, self._record = revision, record
                    self._has_read = True
                    self._note_once_accused(record.entries)
                self.suspects_changed()
            case store_lib.Conflict(items=items):
                for item in items:
                    self.changed(item)
                self.suspects_changed()
            case _:
                self._log.warning("suspects_not_written", reason=repr(result))
                self._retry()
        return result

    def _retry(self) -> None:
        if self._closed or (self._timer is not None and self._timer.active()):
            return
        rank = min(_MAX_RANK, self._rank(keys.SUSPECTS.encode()))
        delay_s = _RETRY_S * self._rng.uniform(1.0, 2.0)
        self._timer = self._reactor.callLater(
            delay_s + rank * _RANK_DELAY_S, self._write_later
        )


def _crash_keys(
    entry: crash_history.SuspectEntry,
) -> frozenset[tuple[str, str]]:
    return frozenset((c.server, c.incarnation) for c in entry.crashes)
