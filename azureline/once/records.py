"""What is known of the keys of a slot, and what of it is not durable yet."""

from azureline.core import errors
from azureline.once import effects
from azureline.once import key as key_lib
from azureline.once import limits as limits_lib
from azureline.once import messages
from azureline.once import page
from azureline.once import table as table_lib

OUTCOME_DELAY_S = 0.5

_State = page.State
_NEVER = float("inf")


class Records:
    """The table of keys, the kept answers and the outcomes to be written."""

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
        self._outcomes: dict[bytes, page.Entry] = {}
        self._writing: dict[bytes, page.Entry] = {}
        self._acks: list[effects.Send] = []
        self._writing_acks: list[effects.Send] = []
        self._outcomes_at = _NEVER

    def __len__(self) -> int:
        return len(self._table)

    @property
    def newest_s(self) -> int:
        """Time of the newest key in any claim, seconds since the epoch."""
        return self._newest_s

    @property
    def unsaved(self) -> bool:
        """Whether an outcome waits to be written."""
        return bool(self._outcomes)

    @property
    def outcomes_at(self) -> float:
        """When the outcomes should be written even without an intent."""
        return self._outcomes_at if self._outcomes else _NEVER

    def get(self, digest: bytes, issued_s: int) -> page.Entry | None:
        """Returns what is known of a key."""
        return self._table.get(digest, issued_s)

    def see(self, wall: float, key: key_lib.Key) -> None:
        """Notes the time of a key that a caller has sent."""
        if key.issued_s <= wall + key_lib.MAX_FUTURE_S:
            self._newest_s = max(self._newest_s, key.issued_s)

    def judge(
        self, wall: float, key: key_lib.Key
    ) -> errors.Refusal | errors.ErrorKind | None:
        """Returns why a key that is not known cannot be new, or None."""
        retention_s = self._limits.retention_s
        if key.issued_s < max(self._floor_s, wall - retention_s):
            return key_lib.expired(retention_s)
        latest = wall + key_lib.MAX_FUTURE_S + limits_lib.CLOCK_MARGIN_S
        if key.issued_s > latest:
            return errors.ErrorKind.KEY_INVALID
        return None

    def answer(self, caller: str, key: str) -> messages.Answer | None:
        """Returns the answer of a key that ran, if it is still kept."""
        return self._answers.get(caller, key)

    def note(
        self, now: float, entry: page.Entry, outcome: messages.Outcome
    ) -> None:
        """Takes the outcome of a grant.

        That a key ran is believed of any attempt; that it did not run only of
        the latest one, since another may have been granted after it.
        """
        match messages.Result(outcome.result):
            case messages.Result.RAN:
                if outcome.answer is not None:
                    key = outcome.key.lower()
                    self._answers.put(outcome.caller, key, outcome.answer)
                if entry.state is not _State.RAN:
                    self.record(now, entry._replace(state=_State.RAN))
            case messages.Result.DID_NOT_RUN:
                latest = entry.attempt == outcome.attempt
                if entry.state is _State.INTENT and latest:
                    entry = entry._replace(state=_State.DID_NOT_RUN)
                    self.record(now, entry)

    def record(self, now: float, entry: page.Entry) -> None:
        """Enters a state that is to be written with a later batch."""
        self._table.put(entry)
        if not self._outcomes:
            self._outcomes_at = now + OUTCOME_DELAY_S
        self._outcomes[entry.digest] = entry

    def acknowledge(
        self, digest: bytes, ack: effects.Send
    ) -> list[effects.Effect]:
        """Sends an acknowledgement, at once or when the key is durable."""
        if digest in self._outcomes or digest in self._writing:
            self._acks.append(ack)
            return []
        return [ack]

    def hasten(self) -> None:
        """Has the outcomes written without delay."""
        self._outcomes_at = 0.0

    def take(self) -> list[page.Entry]:
        """Returns the outcomes to be written next."""
        self._writing = self._outcomes
        self._writing_acks = self._acks
        self._outcomes = {}
        self._acks = []
        self._outcomes_at = _NEVER
        return list(self._writing.values())

    def landed(
        self, intents: list[page.Entry], floor_s: int
    ) -> list[effects.Effect]:
        """Learns that a batch is durable, with its floor."""
        found: list[effects.Effect] = list(self._writing_acks)
        self._writing = {}
        self._writing_acks = []
        for entry in intents:
            self._table.put(entry)
        self._floor_s = max(self._floor_s, floor_s)
        self._table.expire(self._floor_s)
        return found
