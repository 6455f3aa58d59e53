"""How backend servers have served of late, as one node sees it."""

import math
from typing import NamedTuple

# Weight of the newest answer in the averages.
_NEWEST = 0.25
# Failures are forgiven with this time constant, so that a server that has
# recovered gets work again.
_FORGIVE_S = 3.0
# A server that fails every request counts as this many times as loaded.
_FAILURE_WEIGHT = 12.0
# Time-to-answer assumed of a server that has not answered yet.
_UNKNOWN_S = 0.1


# Answers that begin later than this show an engine that is slow or crowded ...
_FIRST_S = 0.5
# ... and each second beyond counts as so many times as loaded.
_SLOW_WEIGHT = 5.0
# A server that was seen to end gets work only if there is no other, for so
# long; its next start is not affected.
_ENDED_S = 3.0
_ENDED_WEIGHT = 1000.0


class _Record(NamedTuple):
    failing: float
    failing_at: float
    answer_s: float


class _First(NamedTuple):
    average_s: float
    at: float


class Health:
    """Averages per start of a backend server."""

    def __init__(self):
        self._records: dict[tuple[str, int], _Record] = {}
        self._firsts: dict[tuple[str, int], _First] = {}
        self._ended: dict[tuple[str, int], float] = {}

    def note(
        self, server: tuple[str, int], ok: bool, answer_s: float, now: float
    ) -> None:
        """Counts an attempt.

        Args:
          server: the server's incarnation.
          ok: whether it answered as it should.
          answer_s: seconds until the answer or the failure.
          now: monotonic time in seconds.
        """
        record = self._records.get(server)
        if record is None:
            record = _Record(0.0, now, answer_s if ok else _UNKNOWN_S)
        failing = self._failing(record, now)
        failing += ((0.0 if ok else 1.0) - failing) * _NEWEST
        answer = record.answer_s
        if ok:
            answer += (answer_s - answer) * _NEWEST
        self._records[server] = _Record(failing, now, answer)

    def note_first(
        self, server: tuple[str, int], first_s: float, now: float
    ) -> None:
        """Counts the time until an answer began.

        Args:
          server: the server's incarnation.
          first_s: seconds from the send to the first part.
          now: monotonic time in seconds.
        """
        average_s = self._first_s(server, now)
        average_s += (first_s - average_s) * _NEWEST
        self._firsts[server] = _First(average_s, now)

    def note_ended(self, server: tuple[str, int], now: float) -> None:
        """Learns that a server has ended."""
        self._ended[server] = now
        for old, at in list(self._ended.items()):
            if now - at >= _ENDED_S:
                del self._ended[old]

    def has_ended(self, server: tuple[str, int], now: float) -> bool:
        """Returns whether a server was seen to end just now."""
        at = self._ended.get(server)
        return at is not None and now - at < _ENDED_S

    def penalty(self, server: tuple[str, int], now: float) -> float:
        """Returns a factor, 1 for a server without failures."""
        slow_s = max(0.0, self._first_s(server, now) - _FIRST_S)
        penalty = 1.0 + _SLOW_WEIGHT * slow_s
        record = self._records.get(server)
        if record is not None:
            penalty += _FAILURE_WEIGHT * self._failing(record, now)
        if self.has_ended(server, now):
            penalty += _ENDED_WEIGHT
        return penalty

    def forget(self, server: tuple[str, int]) -> None:
        """Drops what is known of a server that is gone."""
        self._records.pop(server, None)
        self._firsts.pop(server, None)

    def _first_s(self, server: tuple[str, int], now: float) -> float:
        first = self._firsts.get(server)
        if first is None:
            return 0.0
        age = max(0.0, now - first.at)
        return first.average_s * math.exp(-age / _FORGIVE_S)

    def _failing(self, record: _Record, now: float) -> float:
        age = max(0.0, now - record.failing_at)
        return record.failing * math.exp(-age / _FORGIVE_S)
