"""Recent failures and latencies of backend servers, as one node sees them."""

import math
from typing import NamedTuple

# Weight of the newest answer in the exponential averages.
_NEWEST_WEIGHT = 0.25
# Time constant with which failures decay, so that a server that has recovered
# gets requests again.
_DECAY_S = 3.0
# Penalty added for a server that fails every request.
_FAILURE_WEIGHT = 12.0
# Answer time assumed for a server that has not answered yet.
_INITIAL_ANSWER_S = 0.1


# An average time to the first part above this shows a slow or busy engine ...
_SLOW_FIRST_PART_S = 0.5
# ... and each second above it adds this much to the penalty.
_SLOW_WEIGHT = 5.0
# For this time after a server crashed or stopped it gets requests only if there
# is no other server.  Its next start is not affected.
_ENDED_S = 3.0
_ENDED_WEIGHT = 1000.0


class _Record(NamedTuple):
    failing: float
    failing_at: float
    answer_s: float


class _FirstPart(NamedTuple):
    average_s: float
    at: float


class ServerHealth:
    """Averages per incarnation (one start) of a backend server."""

    def __init__(self):
        self._records: dict[tuple[str, int], _Record] = {}
        self._first_parts: dict[tuple[str, int], _FirstPart] = {}
        self._ended_at: dict[tuple[str, int], float] = {}
        self._answered_at: dict[tuple[str, int], float] = {}

    def record_attempt(
        self, server: tuple[str, int], ok: bool, answer_s: float, now: float
    ) -> None:
        """Records the outcome of an attempt.

        Args:
          server: the server's incarnation.
          ok: whether the attempt delivered an answer.
          answer_s: seconds until the answer or the failure.
          now: monotonic time in seconds.
        """
        if ok:
            self._answered_at[server] = now
        record = self._records.get(server)
        if record is None:
            record = _Record(0.0, now, answer_s if ok else _INITIAL_ANSWER_S)
        failing = self._decayed_failing(record, now)
        failing += ((0.0 if ok else 1.0) - failing) * _NEWEST_WEIGHT
        answer = record.answer_s
        if ok:
            answer += (answer_s - answer) * _NEWEST_WEIGHT
        self._records[server] = _Record(failing, now, answer)

    def record_first_part(
        self, server: tuple[str, int], first_s: float, now: float
    ) -> None:
        """Records the time until an answer began.

        Args:
          server: the server's incarnation.
          first_s: seconds from the send to the first part.
          now: monotonic time in seconds.
        """
        self._answered_at[server] = now
        average_s = self._decayed_first_s(server, now)
        average_s += (first_s - average_s) * _NEWEST_WEIGHT
        self._first_parts[server] = _FirstPart(average_s, now)

    def record_unanswered(
        self, server: tuple[str, int], waited_s: float, now: float
    ) -> None:
        """Records an attempt whose deadline passed.

        It counts as failed if the server has answered no request meanwhile.

        Args:
          server: the server's incarnation.
          waited_s: seconds since the request was sent.
          now: monotonic time in seconds.
        """
        answered_at = self._answered_at.get(server, -math.inf)
        if answered_at < now - waited_s:
            self.record_attempt(server, False, waited_s, now)

    def note_ended(self, server: tuple[str, int], now: float) -> None:
        """Records that a server has crashed or stopped."""
        self._ended_at[server] = now
        for old, ended_at in list(self._ended_at.items()):
            if now - ended_at >= _ENDED_S:
                del self._ended_at[old]

    def has_ended(self, server: tuple[str, int], now: float) -> bool:
        """Returns whether a server crashed or stopped in the last seconds."""
        ended_at = self._ended_at.get(server)
        return ended_at is not None and now - ended_at < _ENDED_S

    def penalty(self, server: tuple[str, int], now: float) -> float:
        """Returns the factor on a server's load; 1 for a healthy server."""
        slow_s = max(
            0.0, self._decayed_first_s(server, now) - _SLOW_FIRST_PART_S
        )
        penalty = 1.0 + _SLOW_WEIGHT * slow_s
        record = self._records.get(server)
        if record is not None:
            penalty += _FAILURE_WEIGHT * self._decayed_failing(record, now)
        if self.has_ended(server, now):
            penalty += _ENDED_WEIGHT
        return penalty

    def forget(self, server: tuple[str, int]) -> None:
        """Removes the averages of a server that is gone."""
        self._records.pop(server, None)
        self._first_parts.pop(server, None)
        self._answered_at.pop(server, None)

    def _decayed_first_s(self, server: tuple[str, int], now: float) -> float:
        first_part = self._first_parts.get(server)
        if first_part is None:
            return 0.0
        age = max(0.0, now - first_part.at)
        return first_part.average_s * math.exp(-age / _DECAY_S)

    def _decayed_failing(self, record: _Record, now: float) -> float:
        age = max(0.0, now - record.failing_at)
        return record.failing * math.exp(-age / _DECAY_S)
