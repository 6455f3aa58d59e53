"""Decides for each claim of a slot: grant, replay or refuse.

`ClaimHandler.take_batch` returns the entries that must become durable, and
`ClaimHandler.batch_durable` grants their claims once they are.  No claim is
granted before its intent is durable.
"""

from azureline.at_most_once import claims as claims_lib
from azureline.at_most_once import effects
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import limits as limits_lib
from azureline.at_most_once import messages
from azureline.at_most_once import page
from azureline.at_most_once import records as records_lib
from azureline.at_most_once import replies as replies_lib
from azureline.core import errors

# Time after the deadline in which the holder of a grant may report.
GRANT_REPORT_GRACE_S = 30.0

_Kind = errors.ErrorKind
_Phase = claims_lib.Phase
_State = page.State


class ClaimHandler:
    """The durable keys of a slot and its claims in progress."""

    def __init__(
        self,
        records: records_lib.Records,
        replies: replies_lib.Replies,
        limits: limits_lib.Limits,
    ):
        self._records = records
        self._replies = replies
        self._limits = limits
        self._claims = claims_lib.PendingClaims()
        self._queued_intents: dict[bytes, claims_lib.PendingClaim] = {}
        self._writing: list[claims_lib.PendingClaim] = []

    @property
    def has_intents(self) -> bool:
        """Whether an intent is queued for the next write."""
        return bool(self._queued_intents)

    @property
    def has_waiting_claims(self) -> bool:
        """Whether a claim waits for a write to the key-value service."""
        return bool(self._queued_intents) or any(
            pending.phase is _Phase.WRITING for pending in self._writing
        )

    @property
    def next_deadline(self) -> float:
        """Monotonic time of the earliest deadline that `expire` handles."""
        return self._claims.next_deadline()

    def claim(
        self,
        now: float,
        wall: float,
        claim: messages.Claim,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        """Handles a claim.

        Args:
          now: monotonic time in seconds.
          wall: seconds since the Unix epoch.
          claim: the claim.
          blocked: kind of the refusal of new keys while none can be written,
            or None.
        """
        key = key_lib.decode(claim.key)
        if not key:
            return [self._replies.refuse(claim, key)]
        self._records.observe_key(wall, key)
        digest = key_lib.digest(claim.caller, key.text)
        deadline = now + min(claim.budget_s, limits_lib.MAX_BUDGET_S)
        copy = claims_lib.ClaimCopy(claim.node, claim.request_id, deadline)
        pending = self._claims.get(digest)
        if pending is not None:
            return self._join_pending(now, pending, claim, copy, blocked)
        entry = self._records.get(digest, key.issued_s)
        refusal = self._check_key(now, wall, claim, key, entry)
        if refusal is not None:
            return [self._replies.refuse(claim, refusal)]
        if entry is not None and entry.state is not _State.DID_NOT_RUN:
            return [self._reply_known(claim, key.text, entry)]
        attempt = entry.attempt + 1 if entry else 1
        refusal = self._admit(now, claim, attempt, blocked)
        if refusal is not None:
            return [self._replies.refuse(claim, refusal)]
        pending = claims_lib.PendingClaim(
            digest, key, claim.caller, claim.content, attempt, copy
        )
        self._claims.add(pending)
        self._queued_intents[digest] = pending
        return []

    def outcome(
        self, now: float, outcome: messages.Outcome
    ) -> list[effects.Effect]:
        """Handles the outcome of a grant by this or an earlier owner."""
        key = key_lib.decode(outcome.key)
        if not key:
            return []
        digest = key_lib.digest(outcome.caller, key.text)
        entry = self._records.get(digest, key.issued_s)
        if entry is not None:
            self._records.apply_outcome(now, entry, outcome)
        emitted: list[effects.Effect] = []
        pending = self._claims.get(digest)
        if pending is not None and _is_outcome_of(pending, outcome):
            result = messages.Result(outcome.result)
            emitted += self._settle(now, pending, result)
        ack = self._replies.outcome_taken(outcome)
        return emitted + self._records.acknowledge(digest, ack)

    def withdraw(
        self, now: float, message: messages.Withdraw
    ) -> list[effects.Effect]:
        """Removes a copy that its entry node will never dispatch."""
        key = key_lib.decode(message.key)
        if not key:
            return []
        digest = key_lib.digest(message.caller, key.text)
        pending = self._claims.get(digest)
        if pending is None:
            return []
        if not pending.grant_holder.matches(message):
            pending.waiters = [
                c for c in pending.waiters if not c.matches(message)
            ]
            return []
        if pending.phase is _Phase.GRANTED:
            entry = self._records.get(digest, pending.key.issued_s)
            self._records.queue_entry(
                now, entry._replace(state=_State.DID_NOT_RUN)
            )
            return self._settle(now, pending, messages.Result.DID_NOT_RUN)
        self._release_holder(pending)
        return []

    def node_lost(self, now: float, node: str) -> list[effects.Effect]:
        """Settles the grants of a lost entry node as unknown.

        Its claims without a grant pass to other copies.  The node may still
        report the outcome of a grant later.
        """
        emitted: list[effects.Effect] = []
        for pending in self._claims.held_by_node(node):
            if pending.phase is _Phase.GRANTED:
                emitted += self._settle(now, pending, messages.Result.UNKNOWN)
            elif pending.phase is not _Phase.WITHDRAWN:
                self._release_holder(pending)
        return emitted

    def expire(self, now: float) -> list[effects.Effect]:
        """Refuses the copies whose deadline has passed."""
        emitted: list[effects.Effect] = []
        for pending, copy in self._claims.pop_expired(now):
            if copy is not pending.grant_holder:
                pending.waiters.remove(copy)
                emitted.append(
                    self._replies.refuse(copy, self._replies.may_have_run())
                )
            elif pending.phase is _Phase.GRANTED:
                emitted += self._expire_granted(now, pending)
            elif pending.phase is not _Phase.WITHDRAWN:
                emitted += self._refuse_all(
                    now, pending, _Kind.DEADLINE_EXCEEDED
                )
        return emitted

    def refuse_waiting(self, now: float) -> list[effects.Effect]:
        """Refuses the claims that wait for a write to the service."""
        emitted: list[effects.Effect] = []
        for pending in [*self._queued_intents.values(), *self._writing]:
            if pending.phase is not _Phase.WITHDRAWN:
                kind = _Kind.PLATFORM_UNAVAILABLE
                emitted += self._refuse_all(now, pending, kind)
        return emitted

    def take_batch(self) -> list[page.Entry]:
        """Returns the next entries to write.

        The previous batch must be durable.
        """
        self._writing = list(self._queued_intents.values())[
            : self._limits.batch
        ]
        for pending in self._writing:
            del self._queued_intents[pending.digest]
            pending.phase = _Phase.WRITING
        intents = [
            _page_entry(pending, _State.INTENT) for pending in self._writing
        ]
        return [*self._records.take_outcomes(), *intents]

    def batch_durable(self, now: float, floor_s: int) -> list[effects.Effect]:
        """Grants the claims whose intents have become durable.

        Args:
          now: monotonic time in seconds.
          floor_s: the expiry floor stored with the batch, in Unix seconds.
        """
        written = self._writing
        self._writing = []
        intents = [_page_entry(pending, _State.INTENT) for pending in written]
        emitted = self._records.batch_durable(intents, floor_s)
        for pending in written:
            emitted += self._grant(now, pending)
        return emitted

    def drain(self) -> list[effects.Effect]:
        """Redirects waiting copies to the next owner and speeds up outcomes.

        Claims whose intent is being written keep their holder, because the
        intent may become durable.
        """
        emitted: list[effects.Effect] = []
        for pending in self._claims.all():
            if pending.phase is _Phase.QUEUED:
                emitted += self._replies.not_owner(pending.copies)
                self._remove_or_withdraw(pending)
            else:
                emitted += self._replies.not_owner(pending.waiters)
            pending.waiters = []
        self._records.write_outcomes_now()
        return emitted

    def redirect_all(self) -> list[effects.Effect]:
        """Answers all waiting copies with `NotOwner`: the slot has moved."""
        emitted: list[effects.Effect] = []
        for pending in self._claims.all():
            granted = pending.phase is _Phase.GRANTED
            emitted += self._replies.not_owner(
                pending.waiters if granted else pending.copies
            )
        return emitted

    def _join_pending(
        self,
        now: float,
        pending: claims_lib.PendingClaim,
        claim: messages.Claim,
        copy: claims_lib.ClaimCopy,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        if pending.content != claim.content:
            return [self._replies.refuse(claim, replies_lib.key_reused())]
        if pending.phase is _Phase.WITHDRAWN:
            return self._reuse_withdrawn(now, pending, claim, copy, blocked)
        if pending.grant_holder.matches(claim):
            return self._grant_reply(pending)
        if not any(c.matches(claim) for c in pending.waiters):
            if len(pending.waiters) >= self._limits.waiters:
                return [
                    self._replies.refuse(claim, self._replies.may_have_run())
                ]
            pending.waiters.append(copy)
            self._claims.schedule(copy.deadline, pending, copy)
        return [self._replies.in_progress(claim)]

    def _reuse_withdrawn(
        self,
        now: float,
        pending: claims_lib.PendingClaim,
        claim: messages.Claim,
        copy: claims_lib.ClaimCopy,
        blocked: errors.ErrorKind | None,
    ) -> list[effects.Effect]:
        """Assigns an attempt that has lost all its copies to a new copy."""
        refusal = self._admit(now, claim, pending.attempt, blocked)
        if refusal is not None:
            return [self._replies.refuse(claim, refusal)]
        self._claims.set_holder(pending, copy)
        pending.phase = _Phase.WRITING
        return []

    def _check_key(
        self,
        now: float,
        wall: float,
        claim: messages.Claim,
        key: key_lib.Key,
        entry: page.Entry | None,
    ) -> errors.Refusal | None:
        if entry is not None:
            same_content = (
                entry.content_prefix == claim.content[: page.BODY_BYTES]
            )
            return None if same_content else replies_lib.key_reused()
        refusal = self._records.check_unknown_key(wall, key)
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

    def _reply_known(
        self, claim: messages.Claim, key: str, entry: page.Entry
    ) -> effects.Send:
        if entry.state is _State.INTENT:
            return self._replies.refuse(claim, self._replies.may_have_run())
        answer = self._records.answer(claim.caller, key)
        return self._replies.ran(claim, answer)

    def _settle(
        self,
        now: float,
        pending: claims_lib.PendingClaim,
        result: messages.Result,
    ) -> list[effects.Effect]:
        """Sends the outcome to the waiters and removes the claim."""
        self._claims.remove(pending)
        match result:
            case messages.Result.RAN:
                answer = self._records.answer(pending.caller, pending.key.text)
                return [self._replies.ran(c, answer) for c in pending.waiters]
            case messages.Result.DID_NOT_RUN:
                refusal = self._replies.not_run(now, _Kind.DID_NOT_RUN)
            case _:
                refusal = self._replies.may_have_run()
        return [self._replies.refuse(c, refusal) for c in pending.waiters]

    def _grant(
        self, now: float, pending: claims_lib.PendingClaim
    ) -> list[effects.Effect]:
        if pending.phase is _Phase.WITHDRAWN:
            self._claims.remove(pending)
            self._records.queue_entry(
                now, _page_entry(pending, _State.DID_NOT_RUN)
            )
            return []
        pending.phase = _Phase.GRANTED
        return self._grant_reply(pending)

    def _grant_reply(
        self, pending: claims_lib.PendingClaim
    ) -> list[effects.Effect]:
        if pending.phase is not _Phase.GRANTED:
            return []
        return [self._replies.granted(pending.grant_holder, pending.attempt)]

    def _expire_granted(
        self, now: float, pending: claims_lib.PendingClaim
    ) -> list[effects.Effect]:
        report_deadline = pending.grant_holder.deadline + GRANT_REPORT_GRACE_S
        if now < report_deadline:
            self._claims.schedule(
                report_deadline, pending, pending.grant_holder
            )
            return []
        return self._settle(now, pending, messages.Result.UNKNOWN)

    def _refuse_all(
        self,
        now: float,
        pending: claims_lib.PendingClaim,
        kind: errors.ErrorKind,
    ) -> list[effects.Effect]:
        """Refuses all copies of a key, so that no late write grants one."""
        refusal = self._replies.not_run(now, kind)
        emitted = [
            self._replies.refuse(copy, refusal) for copy in pending.copies
        ]
        pending.waiters = []
        self._remove_or_withdraw(pending)
        return emitted

    def _release_holder(self, pending: claims_lib.PendingClaim) -> None:
        """Passes a claim without a grant from its holder to the next waiter."""
        if pending.waiters:
            self._claims.set_holder(pending, pending.waiters.pop(0))
        else:
            self._remove_or_withdraw(pending)

    def _remove_or_withdraw(self, pending: claims_lib.PendingClaim) -> None:
        if pending.phase is _Phase.QUEUED:
            del self._queued_intents[pending.digest]
            self._claims.remove(pending)
        else:
            pending.phase = _Phase.WITHDRAWN


def _page_entry(
    pending: claims_lib.PendingClaim, state: page.State
) -> page.Entry:
    content_prefix = pending.content[: page.BODY_BYTES]
    return page.Entry(
        pending.digest,
        content_prefix,
        pending.key.issued_s,
        state,
        pending.attempt,
    )


def _is_outcome_of(
    pending: claims_lib.PendingClaim, outcome: messages.Outcome
) -> bool:
    return (
        pending.phase is _Phase.GRANTED
        and pending.attempt == outcome.attempt
        and pending.grant_holder.matches(outcome)
    )
