"""What a slot's owner decides about each key: grant, replay or refuse.

The book says which entries must become durable (`take_batch`) and acts on
them once they are (`batch_landed`).  It never grants before that.
"""

from azureline.core import errors
from azureline.once import claims as claims_lib
from azureline.once import effects
from azureline.once import key as key_lib
from azureline.once import limits as limits_lib
from azureline.once import messages
from azureline.once import page
from azureline.once import records as records_lib
from azureline.once import replies as replies_lib

HOLDER_LINGER_S = 30.0

_Kind = errors.ErrorKind
_Phase = claims_lib.Phase
_State = page.State


class Book:
    """The keys of a slot: what is durable and what is under way."""

    def __init__(
        self,
        records: records_lib.Records,
        replies: replies_lib.Replies,
        limits: limits_lib.Limits,
    ):
        self._records = records
        self._replies = replies
        self._limits = limits
        self._claims = claims_lib.Claims()
        self._queue: dict[bytes, claims_lib.Live] = {}
        self._writing: list[claims_lib.Live] = []

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
            return [self._replies.refuse(claim, key)]
        self._records.see(wall, key)
        digest = key_lib.digest(claim.caller, key.text)
        deadline = now + min(claim.budget_s, limits_lib.MAX_BUDGET_S)
        copy = claims_lib.Copy(claim.node, claim.request_id, deadline)
        live = self._claims.get(digest)
        if live is not None:
            return self._claim_live(now, live, claim, copy, blocked)
        entry = self._records.get(digest, key.issued_s)
        refusal = self._judge(now, wall, claim, key, entry)
        if refusal is not None:
            return [self._replies.refuse(claim, refusal)]
        if entry is not None and entry.state is not _State.DID_NOT_RUN:
            return [self._known(claim, key.text, entry)]
        attempt = entry.attempt + 1 if entry else 1
        refusal = self._admit(now, claim, attempt, blocked)
        if refusal is not None:
            return [self._replies.refuse(claim, refusal)]
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
        entry = self._records.get(digest, key.issued_s)
        if entry is not None:
            self._records.note(now, entry, outcome)
        found: list[effects.Effect] = []
        live = self._claims.get(digest)
        if live is not None and _grant_of(live, outcome):
            result = messages.Result(outcome.result)
            found += self._settle(now, live, result)
        ack = self._replies.taken(outcome)
        return found + self._records.acknowledge(digest, ack)

    def withdraw(
        self, now: float, message: messages.Withdraw
    ) -> list[effects.Effect]:
        """Drops a copy whose entry node will never dispatch it."""
        key = key_lib.decode(message.key)
        if not key:
            return []
        digest = key_lib.digest(message.caller, key.text)
        live = self._claims.get(digest)
        if live is None:
            return []
        if not live.holder.sent(message):
            live.waiters = [c for c in live.waiters if not c.sent(message)]
            return []
        if live.phase is _Phase.GRANTED:
            entry = self._records.get(digest, live.key.issued_s)
            self._records.record(now, entry._replace(state=_State.DID_NOT_RUN))
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
                found.append(
                    self._replies.refuse(copy, self._replies.may_have_run())
                )
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
        intents = [_entry(live, _State.INTENT) for live in self._writing]
        return [*self._records.take(), *intents]

    def batch_landed(self, now: float, floor_s: int) -> list[effects.Effect]:
        """Grants what has become durable.

        Args:
          now: monotonic time in seconds.
          floor_s: the floor that has become durable with the batch.
        """
        written = self._writing
        self._writing = []
        intents = [_entry(live, _State.INTENT) for live in written]
        found = self._records.landed(intents, floor_s)
        for live in written:
            found += self._grant(now, live)
        return found

    def drain(self) -> list[effects.Effect]:
        """Sends away what is not being written and hastens the outcomes."""
        found: list[effects.Effect] = []
        for live in self._claims.all():
            if live.phase is _Phase.QUEUED:
                found += self._replies.not_owner(live.copies)
                self._drop(live)
            else:
                found += self._replies.not_owner(live.waiters)
            live.waiters = []
        self._records.hasten()
        return found

    def dismiss(self) -> list[effects.Effect]:
        """Sends away all copies that wait, because the slot has moved."""
        found: list[effects.Effect] = []
        for live in self._claims.all():
            granted = live.phase is _Phase.GRANTED
            found += self._replies.not_owner(
                live.waiters if granted else live.copies
            )
        return found

    def _claim_live(
        self,
        now: float,
        live: claims_lib.Live,
        claim: messages.Claim,
        copy: claims_lib.Copy,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        if live.content != claim.content:
            return [self._replies.refuse(claim, replies_lib.key_reused())]
        if live.phase is _Phase.WITHDRAWN:
            return self._claim_withdrawn(now, live, claim, copy, blocked)
        if live.holder.sent(claim):
            return self._granted(live)
        if not any(c.sent(claim) for c in live.waiters):
            if len(live.waiters) >= self._limits.waiters:
                return [
                    self._replies.refuse(claim, self._replies.may_have_run())
                ]
            live.waiters.append(copy)
            self._claims.remind(copy.deadline, live, copy)
        return [self._replies.in_progress(claim)]

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
            return [self._replies.refuse(claim, refusal)]
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
            return None if same else replies_lib.key_reused()
        refusal = self._records.judge(wall, key)
        if isinstance(refusal, errors.ErrorKind):
            return self._replies.not_run(now, refusal)
        return refusal

    def _admit(
        self,
        now: float,
        claim: messages.Claim,
        attempt: int,
        blocked: errors.ErrorKind | None,
    ) -> errors.Refusal | None:
        if claim.budget_s <= 0:
            return self._replies.not_run(now, _Kind.DEADLINE_EXCEEDED)
        if blocked is not None:
            return self._replies.not_run(now, blocked)
        keys = len(self._records) + len(self._claims)
        full = keys >= self._limits.entries
        if full or len(self._claims) >= self._limits.claims:
            return self._replies.not_run(now, _Kind.OVERLOADED)
        if attempt > page.MAX_ATTEMPT:
            return self._replies.not_run(
                now, _Kind.OVERLOADED, "Too many attempts"
            )
        return None

    def _known(
        self, claim: messages.Claim, key: str, entry: page.Entry
    ) -> effects.Send:
        if entry.state is _State.INTENT:
            return self._replies.refuse(claim, self._replies.may_have_run())
        answer = self._records.answer(claim.caller, key)
        return self._replies.ran(claim, answer)

    def _settle(
        self, now: float, live: claims_lib.Live, result: messages.Result
    ) -> list[effects.Effect]:
        """Gives the outcome to the waiters and forgets the claim."""
        self._claims.remove(live)
        match result:
            case messages.Result.RAN:
                answer = self._records.answer(live.caller, live.key.text)
                return [self._replies.ran(c, answer) for c in live.waiters]
            case messages.Result.DID_NOT_RUN:
                refusal = self._replies.not_run(now, _Kind.DID_NOT_RUN)
            case _:
                refusal = self._replies.may_have_run()
        return [self._replies.refuse(c, refusal) for c in live.waiters]

    def _grant(self, now: float, live: claims_lib.Live) -> list[effects.Effect]:
        if live.phase is _Phase.WITHDRAWN:
            self._claims.remove(live)
            self._records.record(now, _entry(live, _State.DID_NOT_RUN))
            return []
        live.phase = _Phase.GRANTED
        return self._granted(live)

    def _granted(self, live: claims_lib.Live) -> list[effects.Effect]:
        if live.phase is not _Phase.GRANTED:
            return []
        return [self._replies.granted(live.holder, live.attempt)]

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
        refusal = self._replies.not_run(now, kind)
        found = [self._replies.refuse(copy, refusal) for copy in live.copies]
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


def _entry(live: claims_lib.Live, state: page.State) -> page.Entry:
    body = live.content[: page.BODY_BYTES]
    return page.Entry(live.digest, body, live.key.issued_s, state, live.attempt)


def _grant_of(live: claims_lib.Live, outcome: messages.Outcome) -> bool:
    return (
        live.phase is _Phase.GRANTED
        and live.attempt == outcome.attempt
        and live.holder.sent(outcome)
    )
