"""The owner of one slot: takes its log over, then writes and grants.

Safety does not rest on the lease.  Nothing is granted before its intent is in
the log, and the log takes nothing from an owner whose successor has sealed
it.  The lease only allows the owner to say that a key has not run.
"""

import random

from azureline.core import errors
from azureline.once import book as book_lib
from azureline.once import cell
from azureline.once import effects
from azureline.once import limits as limits_lib
from azureline.once import log as log_lib
from azureline.once import messages
from azureline.once import records as records_lib
from azureline.once import replies as replies_lib
from azureline.once import table as table_lib
from azureline.once import takeover as takeover_lib
from azureline.platform import interface

MIN_WRITE_INTERVAL_S = 0.013
SETTLE_S = 0.5
FLOOR_STEP_S = 30.0
MAX_EARLY = 1_024

_NEVER = float("inf")


class Owner:
    """One slot in one epoch; takes messages and results, returns effects."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        now: float,
        wall: float,
        rng: random.Random,
        limits: limits_lib.Limits | None = None,
        layout: log_lib.Layout = log_lib.LAYOUT,
    ):
        """Creates an owner that has not taken the slot over yet.

        Args:
          slot: number of the slot.
          epoch: the fencing number under which the node owns it.
          writer: identity of the process, unique for each start.
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
          rng: source of jitter.
          limits: bounds on memory.
          layout: sizes of the log.
        """
        self._slot = slot
        self._epoch = epoch
        self._writer = f"{writer}.{rng.getrandbits(32):08x}"
        self._rng = rng
        self._limits = limits or limits_lib.Limits()
        self._wall_offset = wall - now
        self._replies = replies_lib.Replies(slot, rng)
        self._deposed = False
        self._draining = False
        self._layout = layout
        self._table = table_lib.Table()
        self._takeover = takeover_lib.Takeover(
            slot,
            epoch,
            self._writer,
            rng,
            self._table,
            self._wall_offset,
            layout,
        )
        self._early: dict[str, tuple[float, messages.Claim]] = {}
        self._log: log_lib.Log | None = None
        self._records: records_lib.Records | None = None
        self._book: book_lib.Book | None = None
        self._write_at = 0.0

    @property
    def active(self) -> bool:
        """Whether the slot is sealed and loaded."""
        return self._book is not None and not self._deposed

    @property
    def deposed(self) -> bool:
        """Whether another owner has been seen in the log."""
        return self._deposed

    @property
    def drained(self) -> bool:
        """Whether nothing is left to be written after `drain`."""
        if not self._draining or self._book is None or self._deposed:
            return self._draining
        return not self._log.busy and not self._records.unsaved

    @property
    def entries(self) -> int:
        """How many keys the table holds."""
        return len(self._table)

    def start(self, now: float) -> list[effects.Effect]:
        """Begins to take the slot over."""
        return self._takeover.start(now)

    def drain(self, now: float) -> list[effects.Effect]:
        """Sends new claims away and writes what is left, for a hand-over."""
        self._draining = True
        found = self._send_early_away()
        if self.active:
            found += self._book.drain() + self._flush(now)
        return found

    def abandon(self) -> list[effects.Effect]:
        """Sends all waiting claims away; the owner does nothing more."""
        self._deposed = True
        found = self._send_early_away()
        if self._book is not None:
            found += self._book.dismiss()
        return found

    def lease(self, until: float) -> None:
        """Learns until when no other node can own the slot."""
        self._replies.lease_until = until

    def wake_at(self, now: float) -> float:
        """Returns the time at which `tick` must be called."""
        if self._deposed:
            return _NEVER
        if self._book is None:
            early = min((d for d, _ in self._early.values()), default=_NEVER)
            return min(early, self._takeover.wake_at())
        return min(
            self._book.next_deadline,
            self._log.wake_at(),
            self._write_due(now),
        )

    def request(
        self, now: float, message: messages.Request
    ) -> list[effects.Effect]:
        """Takes a message of an entry node."""
        refused = isinstance(message, messages.Claim) and self._draining
        if self._deposed or refused:
            return self._replies.not_owner([message])
        if self._book is None:
            return self._hold(now, message)
        match message:
            case messages.Claim():
                wall = now + self._wall_offset
                blocked = self._blocked(now)
                found = self._book.claim(now, wall, message, blocked)
            case messages.Withdraw():
                found = self._book.withdraw(now, message)
            case messages.Outcome():
                found = self._book.outcome(now, message)
        return found + self._flush(now)

    def node_lost(self, now: float, node: str) -> list[effects.Effect]:
        """Learns that an entry node will not report for now."""
        if not self.active:
            return []
        return self._book.node_lost(now, node) + self._flush(now)

    def read_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Takes the result of a `Read`."""
        if self._deposed or self._book is not None:
            return []
        found = self._checked(self._takeover.read_result(now, key, result))
        if self._takeover.done and not self._deposed:
            found += self._activate(now)
        return found

    def write_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Takes the result of a `Write`."""
        if self._deposed:
            return []
        if self._book is None:
            return self._checked(self._takeover.write_result(now, result))
        if log_lib.is_chunk(key):
            found = self._checked(self._log.chunk_result(now, result))
            return found + self._flush(now)
        match self._log.page_result(now, result):
            case cell.Landed():
                found = self._book.batch_landed(now, self._log.floor_s)
                return found + self._flush(now)
            case cell.Foreign(other, _):
                epoch = other.stamp.epoch if other else 0
                return self._checked([effects.Deposed(epoch)])
        return []

    def tick(self, now: float, wall: float) -> list[effects.Effect]:
        """Does what is due.

        Args:
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
        """
        self._wall_offset = wall - now
        if self._deposed:
            return []
        if self._book is None:
            return self._expire_early(now) + self._takeover.tick(now)
        found = self._book.expire(now)
        if self._down(now):
            found += self._book.unavailable(now)
        return found + self._log.retry(now) + self._flush(now)

    def _hold(
        self, now: float, message: messages.Request
    ) -> list[effects.Effect]:
        """Keeps claims until the log is loaded; outcomes come again."""
        request_id = message.request_id
        match message:
            case messages.Claim():
                full = len(self._early) >= MAX_EARLY
                if full and request_id not in self._early:
                    return [
                        self._replies.refuse(message, self._replies.not_ready())
                    ]
                deadline = now + message.budget_s
                self._early.setdefault(request_id, (deadline, message))
            case messages.Withdraw():
                self._early.pop(request_id, None)
        return []

    def _expire_early(self, now: float) -> list[effects.Effect]:
        late = [c for d, c in self._early.values() if d <= now]
        for claim in late:
            del self._early[claim.request_id]
        return [
            self._replies.refuse(claim, self._replies.not_ready())
            for claim in late
        ]

    def _activate(self, now: float) -> list[effects.Effect]:
        recovered = self._takeover.finish(now)
        self._log = log_lib.Log(
            self._slot,
            self._epoch,
            self._writer,
            self._rng,
            recovered,
            self._layout,
        )
        self._records = records_lib.Records(
            self._table, recovered.floor_s, self._limits
        )
        self._book = book_lib.Book(self._records, self._replies, self._limits)
        found: list[effects.Effect] = []
        if recovered.floor_s > recovered.head.floor_s:
            # A raised floor must be durable before a fold hides its cause.
            found += self._log.append(now, [], recovered.floor_s)
        early = self._early
        self._early = {}
        for deadline, claim in early.values():
            claim = claim._replace(budget_s=deadline - now)
            found += self.request(now, claim)
        return found

    def _blocked(self, now: float) -> errors.ErrorKind | None:
        if self._down(now):
            return errors.ErrorKind.PLATFORM_UNAVAILABLE
        if self._log.full:
            return errors.ErrorKind.OVERLOADED
        return None

    def _down(self, now: float) -> bool:
        return self._log.age(now) >= SETTLE_S

    def _write_due(self, now: float) -> float:
        if self._log.busy:
            if not self._book.waiting or self._down(now):
                return _NEVER
            return now + SETTLE_S - self._log.age(now)
        if self._log.full:
            return self._floor_due()
        if self._book.has_intents:
            return self._write_at
        due = min(self._floor_due(), self._records.outcomes_at)
        return max(self._write_at, due)

    def _floor_due(self) -> float:
        """Returns when to raise the floor even if there is nothing to write.

        Otherwise a slot that is full would take no key and so never expire
        one.
        """
        next_floor_s = self._log.floor_s + FLOOR_STEP_S
        if not len(self._table) or self._records.newest_s < next_floor_s:
            return _NEVER
        return next_floor_s + self._limits.kept_s - self._wall_offset

    def _floor(self, now: float) -> int:
        """Returns the floor for the next page.

        It never passes the newest key that callers have sent, so that a clock
        that runs far ahead does not make keys expire for the next owner.
        """
        wall = now + self._wall_offset
        return int(min(wall - self._limits.kept_s, self._records.newest_s))

    def _flush(self, now: float) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        if not self._deposed and not self._log.busy:
            if now >= self._write_due(now):
                batch = [] if self._log.full else self._book.take_batch()
                found += self._log.append(now, batch, self._floor(now))
                self._write_at = now + MIN_WRITE_INTERVAL_S
            found += self._log.fold(now)
        return found

    def _checked(self, found: list[effects.Effect]) -> list[effects.Effect]:
        """Ends the owner if a successor has been seen."""
        if not any(isinstance(e, effects.Deposed) for e in found):
            return found
        return found + self.abandon()

    def _send_early_away(self) -> list[effects.Effect]:
        early = self._early
        self._early = {}
        return self._replies.not_owner(claim for _, claim in early.values())
