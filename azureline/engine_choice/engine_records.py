"""What one node knows of the prompts queued at engines."""

import collections
import math

from azureline.engine_choice import options

# Upper limit of engines in memory; nodes use a few hundred at most.
_MAX_ENGINES = 1024
# Weight of the newest answer in an engine's reliability, and the time constant
# with which an engine whose beliefs proved wrong is trusted again.
_NEWEST_WEIGHT = 0.5
_FORGIVEN_S = 30.0


class EngineRecord:
    """Queue, prefill done and reliability of beliefs of one engine process.

    Attributes:
      born_ms: start of the engine in Unix ms.
      queue: the queued prompts.
      reading_ratio: part of its time that it prefills, as last reported.
      reported_at: monotonic time in seconds of that report; -inf without one.
    """

    def __init__(self, born_ms: int):
        """Creates the record of an engine of which nothing is known."""
        self.born_ms = born_ms
        self.queue = options.Queue()
        self.reading_ratio = 0.0
        self.reported_at = -math.inf
        self._prefilled_s = 0.0
        self._counted_at = -math.inf
        self._unreliable = 0.0
        self._unreliable_at = -math.inf

    def report(self, reading_ratio: float, now: float) -> None:
        """Records the reported part of its time that the engine prefills."""
        self._prefilled_s = self.prefilled_s(now)
        self._counted_at = now
        self.reading_ratio = reading_ratio
        self.reported_at = now

    def prefilled_s(self, now: float) -> float:
        """Returns the seconds of prefill since this node knows the engine."""
        if not self.reading_ratio:
            return self._prefilled_s
        passed_s = max(0.0, now - self._counted_at)
        return self._prefilled_s + passed_s * self.reading_ratio

    def ask(self, prefill_s: float) -> None:
        """Counts a prompt for which a reservation is requested."""
        queue = self.queue
        self.queue = queue._replace(asked_s=queue.asked_s + prefill_s)

    def answered(self, prefill_s: float) -> None:
        """Counts the end of a reservation request given to `ask`."""
        queue = self.queue
        self.queue = queue._replace(asked_s=max(0.0, queue.asked_s - prefill_s))

    def reply(self, backlog_s: float, now: float) -> None:
        """Records the queue that a lease holder told.

        Args:
          backlog_s: seconds until the engine has prefilled all of it.
          now: monotonic time in seconds.
        """
        self.queue = self.queue._replace(
            busy_until=now + backlog_s, replied_at=now, is_unanswered=False
        )

    def unanswered(self) -> None:
        """Records that the lease holder did not reply in time."""
        self.queue = self.queue._replace(is_unanswered=True)

    def add(self, prefill_s: float, now: float) -> None:
        """Adds a prompt that was sent without a reply of a lease holder."""
        busy_until = max(now, self.queue.busy_until) + prefill_s
        self.queue = self.queue._replace(busy_until=busy_until)
        self._prefilled_s += prefill_s

    def check_belief(self, is_right: bool, now: float) -> None:
        """Records whether a belief about the engine proved right."""
        unreliable = 1.0 - self.reliability(now)
        wrong = 0.0 if is_right else 1.0
        self._unreliable = unreliable + (wrong - unreliable) * _NEWEST_WEIGHT
        self._unreliable_at = now

    def reliability(self, now: float) -> float:
        """Returns the part of beliefs that proved right lately, 0 to 1."""
        if not self._unreliable:
            return 1.0
        age_s = max(0.0, now - self._unreliable_at)
        return 1.0 - self._unreliable * math.exp(-age_s / _FORGIVEN_S)


class EngineRecords:
    """Records of the engines that one node uses."""

    def __init__(self):
        self._records: collections.OrderedDict[str, EngineRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def get(self, server: tuple[str, int]) -> EngineRecord:
        """Returns the record of an engine's incarnation without keeping it."""
        record = self._records.get(server[0])
        if record is None or record.born_ms != server[1]:
            return EngineRecord(server[1])
        return record

    def keep(self, server: tuple[str, int]) -> EngineRecord:
        """Returns the record of an engine's incarnation, to be changed.

        A record of an earlier start of the engine is dropped.
        """
        record = self.get(server)
        self._records[server[0]] = record
        self._records.move_to_end(server[0])
        if len(self._records) > _MAX_ENGINES:
            self._records.popitem(last=False)
        return record
