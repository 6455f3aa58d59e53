"""Known keys of a slot, including changes that are not durable yet."""

from azureline.at_most_once import effects
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import limits as limits_lib
from azureline.at_most_once import messages
from azureline.at_most_once import page
from azureline.at_most_once import table as table_lib
from azureline.core import errors

# Longest wait of an outcome for a batch that carries an intent as well.
OUTCOME_WRITE_DELAY_S = 0.5

_State = page.State
_NEVER = float("inf")


class Records:
    """Table of keys, cached answers and outcomes that wait to be written."""

    def __init__(
        self,
        table: table_lib.Table,
        floor_s: int,
        limits: limits_lib.Limits,
    ):
        self._table = table
        self._floor_s = floor_s
        self._limits = limits
        self._answers = table_lib.Answers(limits.answer_bytes)
        self._newest_s = 0
        self._queued_outcomes: dict[bytes, page.Entry] = {}
        self._outcomes_in_write: dict[bytes, page.Entry] = {}
        self._queued_acks: list[effects.Send] = []
        self._acks_in_write: list[effects.Send] = []
        self._write_outcomes_at = _NEVER

    def __len__(self) -> int:
        return len(self._table)

    @property
    def newest_s(self) -> int:
        """Issue time of the newest key in any claim, in Unix seconds."""
        return self._newest_s

    @property
    def has_queued_outcomes(self) -> bool:
        """Whether an outcome waits for the next write."""
        return bool(self._queued_outcomes)

    @property
    def outcomes_at(self) -> float:
        """Monotonic time from which outcomes are written without an intent."""
        return self._write_outcomes_at if self._queued_outcomes else _NEVER

    def get(self, digest: bytes, issued_s: int) -> page.Entry | None:
        """Returns the last known state of a key, or None."""
        return self._table.get(digest, issued_s)

    def observe_key(self, wall: float, key: key_lib.Key) -> None:
        """Records the issue time of a key that a caller has sent.

        Keys too far in the future are ignored, since they are invalid.
        """
        if key.issued_s <= wall + key_lib.MAX_FUTURE_S:
            self._newest_s = max(self._newest_s, key.issued_s)

    def check_unknown_key(
        self, wall: float, key: key_lib.Key
    ) -> errors.Refusal | errors.ErrorKind | None:
        """Returns why a key without a record must be refused, or None.

        The record of a key issued before the expiry floor or the retention
        period may have been dropped, so the key counts as expired, not new.
        """
        retention_s = self._limits.retention_s
        if key.issued_s < max(self._floor_s, wall - retention_s):
            return key_lib.expired(retention_s)
        is_latest = wall + key_lib.MAX_FUTURE_S + limits_lib.CLOCK_MARGIN_S
        if key.issued_s > is_latest:
            return errors.ErrorKind.KEY_INVALID
        return None

    def answer(self, caller: str, key: str) -> messages.Answer | None:
        """Returns the cached answer of a key that ran, or None."""
        return self._answers.get(caller, key)

    def apply_outcome(
        self, now: float, entry: page.Entry, outcome: messages.Outcome
    ) -> None:
        """Applies the reported outcome of a grant.

        RAN is accepted for any attempt.  DID_NOT_RUN is accepted only for the
        is_latest attempt, because a later attempt may have run since.
        """
        match messages.Result(outcome.result):
            case messages.Result.RAN:
                if outcome.answer is not None:
                    key = outcome.key.lower()
                    self._answers.put(outcome.caller, key, outcome.answer)
                if entry.state is not _State.RAN:
                    self.queue_entry(now, entry._replace(state=_State.RAN))
            case messages.Result.DID_NOT_RUN:
                is_latest = entry.attempt == outcome.attempt
                if entry.state is _State.INTENT and is_latest:
                    entry = entry._replace(state=_State.DID_NOT_RUN)
                    self.queue_entry(now, entry)

    def queue_entry(self, now: float, entry: page.Entry) -> None:
        """Updates a key and queues its entry for a later batch."""
        self._table.put(entry)
        if not self._queued_outcomes:
            self._write_outcomes_at = now + OUTCOME_WRITE_DELAY_S
        self._queued_outcomes[entry.digest] = entry

    def acknowledge(
        self, digest: bytes, ack: effects.Send
    ) -> list[effects.Effect]:
        """Acknowledges an outcome once the key's entry is durable."""
        if digest in self._queued_outcomes or digest in self._outcomes_in_write:
            self._queued_acks.append(ack)
            return []
        return [ack]

    def write_outcomes_now(self) -> None:
        """Makes the queued outcomes eligible for writing at once."""
        self._write_outcomes_at = 0.0

    def take_outcomes(self) -> list[page.Entry]:
        """Returns the outcomes to write with the next batch."""
        self._outcomes_in_write = self._queued_outcomes
        self._acks_in_write = self._queued_acks
        self._queued_outcomes = {}
        self._queued_acks = []
        self._write_outcomes_at = _NEVER
        return list(self._outcomes_in_write.values())

    def batch_durable(
        self, intents: list[page.Entry], floor_s: int
    ) -> list[effects.Effect]:
        """Applies a batch that has become durable.

        Args:
          intents: the intents that were written with the outcomes.
          floor_s: the expiry floor stored with the batch, in Unix seconds.

        Returns:
          The acknowledgements of the outcomes.
        """
        emitted: list[effects.Effect] = list(self._acks_in_write)
        self._outcomes_in_write = {}
        self._acks_in_write = []
        for entry in intents:
            self._table.put(entry)
        self._floor_s = max(self._floor_s, floor_s)
        self._table.expire(self._floor_s)
        return emitted
