"""Owner of one slot: takes over the slot's log, then grants claims.

At-most-once execution does not depend on the lease.  The owner grants a key
only after the key's intent is durable in the log, and once a successor has
sealed the log, every write of an earlier owner fails.  The lease only permits
the owner to reply that a key has not run.
"""

import random

from azureline.at_most_once import cas_write
from azureline.at_most_once import claim_handler
from azureline.at_most_once import effects
from azureline.at_most_once import limits as limits_lib
from azureline.at_most_once import log as log_lib
from azureline.at_most_once import messages
from azureline.at_most_once import records as records_lib
from azureline.at_most_once import replies as replies_lib
from azureline.at_most_once import table as table_lib
from azureline.at_most_once import takeover as takeover_lib
from azureline.core import errors
from azureline.platform import interface

MIN_WRITE_INTERVAL_S = 0.013
# Age from which an unanswered page write counts as an outage of the service.
WRITE_STALL_S = 0.5
# Least rise of the expiry floor that is written without a new entry.
FLOOR_STEP_S = 30.0
MAX_EARLY_CLAIMS = 1_024

_NEVER = float("inf")


class Owner:
    """State machine of one slot in one epoch.

    The methods take messages and results of reads and writes, and return the
    effects that the runner must carry out; the class itself does no I/O.
    """

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
        """Creates an owner whose takeover of the slot has not started.

        Args:
          slot: number of the slot.
          epoch: fencing number under which the node owns the slot.
          writer: identity of the process, unique for each process start.
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
          rng: source of jitter.
          limits: bounds on memory.
          layout: ring sizes and thresholds of the log.
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
        self._early_claims: dict[str, tuple[float, messages.Claim]] = {}
        self._log: log_lib.Log | None = None
        self._records: records_lib.Records | None = None
        self._claim_handler: claim_handler.ClaimHandler | None = None
        self._earliest_write_at = 0.0

    @property
    def active(self) -> bool:
        """Whether the log is sealed and loaded, so that claims are granted."""
        return self._claim_handler is not None and not self._deposed

    @property
    def deposed(self) -> bool:
        """Whether a successor was found in the log, or `abandon` was called."""
        return self._deposed

    @property
    def drained(self) -> bool:
        """Whether `drain` was called and no write is pending."""
        if not self._draining or self._claim_handler is None or self._deposed:
            return self._draining
        return not self._log.busy and not self._records.has_queued_outcomes

    @property
    def entries(self) -> int:
        """Number of keys in the table."""
        return len(self._table)

    def start(self, now: float) -> list[effects.Effect]:
        """Starts the takeover of the slot."""
        return self._takeover.start(now)

    def drain(self, now: float) -> list[effects.Effect]:
        """Prepares the hand-over of the slot to another node.

        From now on new claims get `NotOwner`; pending outcomes are written
        without delay.
        """
        self._draining = True
        emitted = self._redirect_early_claims()
        if self.active:
            emitted += self._claim_handler.drain() + self._flush(now)
        return emitted

    def abandon(self) -> list[effects.Effect]:
        """Answers waiting claims with `NotOwner` and deactivates the owner."""
        self._deposed = True
        emitted = self._redirect_early_claims()
        if self._claim_handler is not None:
            emitted += self._claim_handler.redirect_all()
        return emitted

    def set_lease(self, until: float) -> None:
        """Sets the monotonic time until which this node alone owns the slot."""
        self._replies.lease_until = until

    def wake_at(self, now: float) -> float:
        """Returns the monotonic time at which `tick` must be called."""
        if self._deposed:
            return _NEVER
        if self._claim_handler is None:
            early = min(
                (d for d, _ in self._early_claims.values()), default=_NEVER
            )
            return min(early, self._takeover.wake_at())
        return min(
            self._claim_handler.next_deadline,
            self._log.wake_at(),
            self._next_write_at(now),
        )

    def request(
        self, now: float, message: messages.Request
    ) -> list[effects.Effect]:
        """Handles a message from an entry node."""
        refused = isinstance(message, messages.Claim) and self._draining
        if self._deposed or refused:
            return self._replies.not_owner([message])
        if self._claim_handler is None:
            return self._buffer_claim(now, message)
        match message:
            case messages.Claim():
                wall = now + self._wall_offset
                blocked = self._refusal_kind(now)
                emitted = self._claim_handler.claim(now, wall, message, blocked)
            case messages.Withdraw():
                emitted = self._claim_handler.withdraw(now, message)
            case messages.Outcome():
                emitted = self._claim_handler.outcome(now, message)
        return emitted + self._flush(now)

    def node_lost(self, now: float, node: str) -> list[effects.Effect]:
        """Handles the loss of an entry node, which may still report later."""
        if not self.active:
            return []
        return self._claim_handler.node_lost(now, node) + self._flush(now)

    def read_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Handles the result of a `Read`."""
        if self._deposed or self._claim_handler is not None:
            return []
        emitted = self._stop_if_deposed(
            self._takeover.read_result(now, key, result)
        )
        if self._takeover.done and not self._deposed:
            emitted += self._activate(now)
        return emitted

    def write_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Handles the result of a `Write`."""
        if self._deposed:
            return []
        if self._claim_handler is None:
            return self._stop_if_deposed(
                self._takeover.write_result(now, result)
            )
        if log_lib.is_chunk(key):
            emitted = self._stop_if_deposed(self._log.chunk_result(now, result))
            return emitted + self._flush(now)
        match self._log.page_result(now, result):
            case cas_write.Stored():
                emitted = self._claim_handler.batch_durable(
                    now, self._log.floor_s
                )
                return emitted + self._flush(now)
            case cas_write.StoredByOther(other, _):
                epoch = other.stamp.epoch if other else 0
                return self._stop_if_deposed([effects.Deposed(epoch)])
        return []

    def tick(self, now: float, wall: float) -> list[effects.Effect]:
        """Expires claims, repeats unanswered calls and writes the next batch.

        Args:
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
        """
        self._wall_offset = wall - now
        if self._deposed:
            return []
        if self._claim_handler is None:
            return self._expire_early_claims(now) + self._takeover.tick(now)
        emitted = self._claim_handler.expire(now)
        if self._write_stalled(now):
            emitted += self._claim_handler.refuse_waiting(now)
        return emitted + self._log.retry(now) + self._flush(now)

    def _buffer_claim(
        self, now: float, message: messages.Request
    ) -> list[effects.Effect]:
        """Buffers claims until the log is loaded.

        Outcomes are not buffered, because entry nodes repeat them until they
        are acknowledged.
        """
        request_id = message.request_id
        match message:
            case messages.Claim():
                full = len(self._early_claims) >= MAX_EARLY_CLAIMS
                if full and request_id not in self._early_claims:
                    return [
                        self._replies.refuse(message, self._replies.not_ready())
                    ]
                deadline = now + message.budget_s
                self._early_claims.setdefault(request_id, (deadline, message))
            case messages.Withdraw():
                self._early_claims.pop(request_id, None)
        return []

    def _expire_early_claims(self, now: float) -> list[effects.Effect]:
        expired = [c for d, c in self._early_claims.values() if d <= now]
        for claim in expired:
            del self._early_claims[claim.request_id]
        return [
            self._replies.refuse(claim, self._replies.not_ready())
            for claim in expired
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
        self._claim_handler = claim_handler.ClaimHandler(
            self._records, self._replies, self._limits
        )
        emitted: list[effects.Effect] = []
        if recovered.floor_s > recovered.head.floor_s:
            # After a gap in the log the takeover raises the floor.  The floor
            # must be durable before a compaction overwrites the pages that show
            # the gap, or the next owner would take forgotten keys for new ones.
            emitted += self._log.append(now, [], recovered.floor_s)
        early = self._early_claims
        self._early_claims = {}
        for deadline, claim in early.values():
            claim = claim._replace(budget_s=deadline - now)
            emitted += self.request(now, claim)
        return emitted

    def _refusal_kind(self, now: float) -> errors.ErrorKind | None:
        if self._write_stalled(now):
            return errors.ErrorKind.PLATFORM_UNAVAILABLE
        if self._log.full:
            return errors.ErrorKind.OVERLOADED
        return None

    def _write_stalled(self, now: float) -> bool:
        return self._log.age(now) >= WRITE_STALL_S

    def _next_write_at(self, now: float) -> float:
        if self._log.busy:
            if (
                not self._claim_handler.has_waiting_claims
                or self._write_stalled(now)
            ):
                return _NEVER
            return now + WRITE_STALL_S - self._log.age(now)
        if self._log.full:
            return self._next_floor_raise_at()
        if self._claim_handler.has_intents:
            return self._earliest_write_at
        due = min(self._next_floor_raise_at(), self._records.outcomes_at)
        return max(self._earliest_write_at, due)

    def _next_floor_raise_at(self) -> float:
        """Returns when to raise the floor even if no entry waits to be written.

        A full slot accepts no key, so without this write its floor would
        never rise and none of its keys would ever expire.
        """
        next_floor_s = self._log.floor_s + FLOOR_STEP_S
        if not len(self._table) or self._records.newest_s < next_floor_s:
            return _NEVER
        return next_floor_s + self._limits.kept_s - self._wall_offset

    def _next_floor(self, now: float) -> int:
        """Returns the expiry floor for the next page, in Unix seconds.

        The floor never exceeds the time of the newest key that callers have
        sent.  Otherwise a node whose clock runs far ahead would store a floor
        that expires valid keys for the next owner too.
        """
        wall = now + self._wall_offset
        return int(min(wall - self._limits.kept_s, self._records.newest_s))

    def _flush(self, now: float) -> list[effects.Effect]:
        emitted: list[effects.Effect] = []
        if not self._deposed and not self._log.busy:
            if now >= self._next_write_at(now):
                batch = (
                    [] if self._log.full else self._claim_handler.take_batch()
                )
                emitted += self._log.append(now, batch, self._next_floor(now))
                self._earliest_write_at = now + MIN_WRITE_INTERVAL_S
            emitted += self._log.compact(now)
        return emitted

    def _stop_if_deposed(
        self, emitted: list[effects.Effect]
    ) -> list[effects.Effect]:
        """Deactivates the owner if the effects report a successor."""
        if not any(isinstance(e, effects.Deposed) for e in emitted):
            return emitted
        return emitted + self.abandon()

    def _redirect_early_claims(self) -> list[effects.Effect]:
        early = self._early_claims
        self._early_claims = {}
        return self._replies.not_owner(claim for _, claim in early.values())
