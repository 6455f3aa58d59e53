"""What a slot's owner decides about each key: grant, replay or refuse.

The book says which entries must become durable (`take_batch`) and acts on
them once they are (`batch_landed`).  It never grants before that.
"""

import random
from typing import NamedTuple

from azureline.core import errors
from azureline.once import claims as claims_lib
from azureline.once import effects
from azureline.once import key as key_lib
from azureline.once import messages
from azureline.once import page
from azureline.once import table as table_lib

OUTCOME_DELAY_S = 0.5
HOLDER_LINGER_S = 30.0
CLOCK_MARGIN_S = 5.0
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 3.0

_Kind = errors.ErrorKind
_Phase = claims_lib.Phase
_State = page.State
_NEVER = float("inf")


class Limits(NamedTuple):
    """Bounds on what an owner holds for one slot.

    Attributes:
      retention_s: age in seconds from which keys are refused.
      entries: keys in the table.
      claims: keys being written or run.
      waiters: further copies of one key.
      answer_bytes: memory for answers.
      batch: keys in one write.
    """

    retention_s: float = key_lib.RETENTION_S
    entries: int = 230_000
    claims: int = 4_096
    waiters: int = 8
    answer_bytes: int = 16 << 20
    batch: int = 256


class Book:
    """The keys of a slot: what is durable and what is under way."""

    def __init__(
        self,
        slot: int,
        table: table_lib.Table,
        floor_s: int,
        rng: random.Random,
        limits: Limits,
    ):
        self._slot = slot
        self._table = table
        self._floor_s = floor_s
        self._rng = rng
        self._limits = limits
        self._answers = table_lib.Answers(limits.answer_bytes)
        self._claims = claims_lib.Claims()
        self._queue: dict[bytes, claims_lib.Live] = {}
        self._writing: list[claims_lib.Live] = []
        self._outcomes: dict[bytes, page.Entry] = {}
        self._unsaved: dict[bytes, page.Entry] = {}
        self._acks: list[effects.Send] = []
        self._writing_acks: list[effects.Send] = []
        self._outcomes_at = _NEVER
        self.lease_until = 0.0

    @property
    def has_intents(self) -> bool:
        """Whether an intent waits to be written."""
        return bool(self._queue)

    @property
    def waiting(self) -> bool:
        """Whether a claim waits for the service."""
        return bool(self._queue) or any(
            live.phase is _Phase.WRITING for live in self._writing
        )

    @property
    def unsaved(self) -> bool:
        """Whether an outcome waits to be written."""
        return bool(self._outcomes)

    @property
    def outcomes_at(self) -> float:
        """When the outcomes should be written even without an intent."""
        return self._outcomes_at if self._outcomes else _NEVER

    @property
    def next_deadline(self) -> float:
        """When `expire` may have something to do."""
        return self._claims.next_deadline()

    def claim(
        self,
        now: float,
        wall: float,
        claim: messages.Claim,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        """Takes a claim.

        Args:
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
          claim: the claim.
          blocked: why no new key can be written at present, or None.
        """
        key = key_lib.decode(claim.key)
        if not key:
            return [self._refuse(claim, key)]
        digest = key_lib.digest(claim.caller, key.text)
        deadline = now + claim.budget_s
        copy = claims_lib.Copy(claim.node, claim.request_id, deadline)
        live = self._claims.get(digest)
        if live is not None:
            return self._claim_live(now, live, claim, copy, blocked)
        entry = self._table.get(digest, key.issued_s)
        refusal = self._judge(now, wall, claim, key, entry)
        if refusal is not None:
            return [self._refuse(claim, refusal)]
        if entry is not None and entry.state is not _State.DID_NOT_RUN:
            return [self._known(claim, entry)]
        attempt = entry.attempt + 1 if entry else 1
        refusal = self._admit(now, claim, attempt, blocked)
        if refusal is not None:
            return [self._refuse(claim, refusal)]
        live = claims_lib.Live(
            digest, key, claim.caller, claim.content, attempt, copy
        )
        self._claims.add(live)
        self._queue[digest] = live
        return []

    def outcome(
        self, now: float, outcome: messages.Outcome
    ) -> list[effects.Effect]:
        """Takes the outcome of a grant, also of an earlier owner's."""
        key = key_lib.decode(outcome.key)
        if not key:
            return []
        digest = key_lib.digest(outcome.caller, key.text)
        entry = self._table.get(digest, key.issued_s)
        result = messages.Result(outcome.result)
        if entry is not None:
            self._note(now, entry, outcome, result)
        found: list[effects.Effect] = []
        live = self._claims.get(digest)
        if live is not None and _grant_of(live, outcome):
            found += self._settle(now, live, result)
        ack = effects.Send(
            outcome.node,
            messages.OutcomeTaken(
                self._slot, outcome.request_id, outcome.attempt
            ),
        )
        if digest in self._outcomes or digest in self._unsaved:
            self._acks.append(ack)
            return found
        return [*found, ack]

    def withdraw(
        self, now: float, message: messages.Withdraw
    ) -> list[effects.Effect]:
        """Drops a copy whose entry node will never dispatch it."""
        digest = key_lib.digest(message.caller, message.key)
        live = self._claims.get(digest)
        if live is None:
            return []
        if live.holder.request_id != message.request_id:
            live.waiters = [
                c for c in live.waiters if c.request_id != message.request_id
            ]
            return []
        if live.phase is _Phase.GRANTED:
            entry = self._table.get(digest, live.key.issued_s)
            self._record(now, entry._replace(state=_State.DID_NOT_RUN))
            return self._settle(now, live, messages.Result.DID_NOT_RUN)
        self._leave(live)
        return []

    def node_lost(self, now: float, node: str) -> list[effects.Effect]:
        """Learns that an entry node will not report for now."""
        found: list[effects.Effect] = []
        for live in self._claims.of_node(node):
            if live.phase is _Phase.GRANTED:
                found += self._settle(now, live, messages.Result.UNKNOWN)
            elif live.phase is not _Phase.WITHDRAWN:
                self._leave(live)
        return found

    def expire(self, now: float) -> list[effects.Effect]:
        """Answers the copies whose deadline has passed."""
        found: list[effects.Effect] = []
        for live, copy in self._claims.due(now):
            if copy is not live.holder:
                live.waiters.remove(copy)
                found.append(self._send(copy, _unknown()))
            elif live.phase is _Phase.GRANTED:
                found += self._expire_grant(now, live)
            elif live.phase is not _Phase.WITHDRAWN:
                found += self._give_up(now, live, _Kind.DEADLINE_EXCEEDED)
        return found

    def unavailable(self, now: float) -> list[effects.Effect]:
        """Gives up the claims that wait for the service."""
        found: list[effects.Effect] = []
        for live in [*self._queue.values(), *self._writing]:
            if live.phase is not _Phase.WITHDRAWN:
                kind = _Kind.PLATFORM_UNAVAILABLE
                found += self._give_up(now, live, kind)
        return found

    def take_batch(self) -> list[page.Entry]:
        """Returns what to write next; the last batch must have landed."""
        self._writing = list(self._queue.values())[: self._limits.batch]
        for live in self._writing:
            del self._queue[live.digest]
            live.phase = _Phase.WRITING
        self._unsaved = self._outcomes
        self._writing_acks = self._acks
        self._outcomes = {}
        self._acks = []
        self._outcomes_at = _NEVER
        intents = [_entry(live, _State.INTENT) for live in self._writing]
        return [*self._unsaved.values(), *intents]

    def batch_landed(self, now: float, floor_s: int) -> list[effects.Effect]:
        """Grants what has become durable.

        Args:
          now: monotonic time in seconds.
          floor_s: the floor that has become durable with the batch.
        """
        found: list[effects.Effect] = list(self._writing_acks)
        written = self._writing
        self._writing = []
        self._writing_acks = []
        self._unsaved = {}
        for live in written:
            self._table.put(_entry(live, _State.INTENT))
            found += self._grant(now, live)
        self._floor_s = max(self._floor_s, floor_s)
        self._table.expire(self._floor_s)
        return found

    def drain(self) -> list[effects.Effect]:
        """Sends away what is not being written and hastens the outcomes."""
        found: list[effects.Effect] = []
        for live in self._claims.all():
            if live.phase is _Phase.QUEUED:
                found += self._send_away(live.copies)
                self._drop(live)
            else:
                found += self._send_away(live.waiters)
            live.waiters = []
        self._outcomes_at = 0.0
        return found

    def dismiss(self) -> list[effects.Effect]:
        """Sends away all copies that wait, because the slot has moved."""
        found: list[effects.Effect] = []
        for live in self._claims.all():
            granted = live.phase is _Phase.GRANTED
            found += self._send_away(live.waiters if granted else live.copies)
        return found

    def refusal(
        self, now: float, kind: errors.ErrorKind, detail: str = ""
    ) -> errors.Refusal:
        """Returns a refusal of a key that has not run here.

        It says "not run" only under the lease: else another owner may have
        granted the key.
        """
        leased = now < self.lease_until
        ran = errors.Ran.NO if leased else errors.Ran.UNKNOWN
        retry_after = self._rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
        detail = detail or errors.ANSWERS[kind].title
        return errors.Refusal(kind, detail, round(retry_after, 1), ran)

    def _claim_live(
        self,
        now: float,
        live: claims_lib.Live,
        claim: messages.Claim,
        copy: claims_lib.Copy,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        if live.content != claim.content:
            return [self._refuse(claim, _reused())]
        if live.phase is _Phase.WITHDRAWN:
            return self._claim_withdrawn(now, live, claim, copy, blocked)
        if live.holder.request_id == claim.request_id:
            return self._granted(live)
        if all(c.request_id != claim.request_id for c in live.waiters):
            if len(live.waiters) >= self._limits.waiters:
                return [self._refuse(claim, _unknown())]
            live.waiters.append(copy)
            self._claims.remind(copy.deadline, live, copy)
        progress = messages.InProgress(self._slot, claim.request_id)
        return [effects.Send(claim.node, progress)]

    def _claim_withdrawn(
        self,
        now: float,
        live: claims_lib.Live,
        claim: messages.Claim,
        copy: claims_lib.Copy,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        """Gives an attempt that nobody waits for any more to a new copy."""
        refusal = self._admit(now, claim, live.attempt, blocked)
        if refusal is not None:
            return [self._refuse(claim, refusal)]
        self._claims.adopt(live, copy)
        live.phase = _Phase.WRITING
        return []

    def _judge(
        self,
        now: float,
        wall: float,
        claim: messages.Claim,
        key: key_lib.Key,
        entry: page.Entry | None,
    ) -> errors.Refusal | None:
        if entry is not None:
            same = entry.body == claim.content[: page.BODY_BYTES]
            return None if same else _reused()
        retention_s = self._limits.retention_s
        if key.issued_s < max(self._floor_s, wall - retention_s):
            return key_lib.expired(retention_s)
        latest = wall + key_lib.MAX_FUTURE_S + CLOCK_MARGIN_S
        if key.issued_s > latest:
            return self.refusal(now, _Kind.KEY_INVALID)
        return None

    def _admit(
        self,
        now: float,
        claim: messages.Claim,
        attempt: int,
        blocked: errors.ErrorKind | None,
    ) -> errors.Refusal | None:
        if claim.budget_s <= 0:
            return self.refusal(now, _Kind.DEADLINE_EXCEEDED)
        if blocked is not None:
            return self.refusal(now, blocked)
        keys = len(self._table) + len(self._claims)
        full = keys >= self._limits.entries
        if full or len(self._claims) >= self._limits.claims:
            return self.refusal(now, _Kind.OVERLOADED)
        if attempt > page.MAX_ATTEMPT:
            return self.refusal(now, _Kind.OVERLOADED, "Too many attempts")
        return None

    def _known(self, claim: messages.Claim, entry: page.Entry) -> effects.Send:
        if entry.state is _State.INTENT:
            return self._refuse(claim, _unknown())
        return effects.Send(
            claim.node,
            self._replay(claim.caller, claim.key, claim.request_id),
        )

    def _replay(
        self, caller: str, key: str, request_id: str
    ) -> messages.Replay | messages.RanWithoutAnswer:
        answer = self._answers.get(caller, key)
        if answer is None:
            return messages.RanWithoutAnswer(self._slot, request_id)
        return messages.Replay(self._slot, request_id, answer)

    def _note(
        self,
        now: float,
        entry: page.Entry,
        outcome: messages.Outcome,
        result: messages.Result,
    ) -> None:
        match result:
            case messages.Result.RAN:
                if outcome.answer is not None:
                    self._answers.put(
                        outcome.caller, outcome.key, outcome.answer
                    )
                if entry.state is not _State.RAN:
                    self._record(now, entry._replace(state=_State.RAN))
            case messages.Result.DID_NOT_RUN:
                latest = entry.attempt == outcome.attempt
                if entry.state is _State.INTENT and latest:
                    entry = entry._replace(state=_State.DID_NOT_RUN)
                    self._record(now, entry)

    def _record(self, now: float, entry: page.Entry) -> None:
        self._table.put(entry)
        if not self._outcomes:
            self._outcomes_at = now + OUTCOME_DELAY_S
        self._outcomes[entry.digest] = entry

    def _settle(
        self, now: float, live: claims_lib.Live, result: messages.Result
    ) -> list[effects.Effect]:
        """Gives the outcome to the waiters and forgets the claim."""
        self._claims.remove(live)
        match result:
            case messages.Result.RAN:
                return [
                    effects.Send(
                        c.node,
                        self._replay(live.caller, live.key.text, c.request_id),
                    )
                    for c in live.waiters
                ]
            case messages.Result.DID_NOT_RUN:
                refusal = self.refusal(now, _Kind.DID_NOT_RUN)
            case _:
                refusal = _unknown()
        return [self._send(c, refusal) for c in live.waiters]

    def _grant(self, now: float, live: claims_lib.Live) -> list[effects.Effect]:
        if live.phase is _Phase.WITHDRAWN:
            self._claims.remove(live)
            self._record(now, _entry(live, _State.DID_NOT_RUN))
            return []
        live.phase = _Phase.GRANTED
        return self._granted(live)

    def _granted(self, live: claims_lib.Live) -> list[effects.Effect]:
        if live.phase is not _Phase.GRANTED:
            return []
        copy = live.holder
        message = messages.Granted(self._slot, copy.request_id, live.attempt)
        return [effects.Send(copy.node, message)]

    def _expire_grant(
        self, now: float, live: claims_lib.Live
    ) -> list[effects.Effect]:
        end = live.holder.deadline + HOLDER_LINGER_S
        if now < end:
            self._claims.remind(end, live, live.holder)
            return []
        return self._settle(now, live, messages.Result.UNKNOWN)

    def _give_up(
        self, now: float, live: claims_lib.Live, kind: errors.ErrorKind
    ) -> list[effects.Effect]:
        """Refuses all copies of a key, so that none of them runs later."""
        refusal = self.refusal(now, kind)
        found = [self._send(copy, refusal) for copy in live.copies]
        live.waiters = []
        self._drop(live)
        return found

    def _leave(self, live: claims_lib.Live) -> None:
        """Passes a claim without a grant from its holder to a waiter."""
        if live.waiters:
            self._claims.adopt(live, live.waiters.pop(0))
        else:
            self._drop(live)

    def _drop(self, live: claims_lib.Live) -> None:
        if live.phase is _Phase.QUEUED:
            del self._queue[live.digest]
            self._claims.remove(live)
        else:
            live.phase = _Phase.WITHDRAWN

    def _send_away(self, copies: list[claims_lib.Copy]) -> list[effects.Send]:
        return [
            effects.Send(c.node, messages.NotOwner(self._slot, c.request_id))
            for c in copies
        ]

    def _refuse(
        self, claim: messages.Claim, refusal: errors.Refusal
    ) -> effects.Send:
        message = messages.refused(self._slot, claim.request_id, refusal)
        return effects.Send(claim.node, message)

    def _send(
        self, copy: claims_lib.Copy, refusal: errors.Refusal
    ) -> effects.Send:
        message = messages.refused(self._slot, copy.request_id, refusal)
        return effects.Send(copy.node, message)


def _entry(live: claims_lib.Live, state: page.State) -> page.Entry:
    body = live.content[: page.BODY_BYTES]
    return page.Entry(live.digest, body, live.key.issued_s, state, live.attempt)


def _grant_of(live: claims_lib.Live, outcome: messages.Outcome) -> bool:
    return (
        live.phase is _Phase.GRANTED
        and live.attempt == outcome.attempt
        and live.holder.request_id == outcome.request_id
    )


def _unknown() -> errors.Refusal:
    return errors.Refusal(
        _Kind.MAY_HAVE_RUN, "Another copy of the request may have run"
    )


def _reused() -> errors.Refusal:
    return errors.Refusal(
        _Kind.KEY_REUSED, "The key was used with another request"
    )
