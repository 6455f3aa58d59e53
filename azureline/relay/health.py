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


class _Record(NamedTuple):
    failing: float
    failing_at: float
    answer_s: float


class Health:
    """Averages per start of a backend server."""

    def __init__(self):
        self._records: dict[tuple[str, int], _Record] = {}

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

    def penalty(self, server: tuple[str, int], now: float) -> float:
        """Returns a factor, 1 for a server without failures."""
        record = self._records.get(server)
        if record is None:
            return 1.0
        return 1.0 + _FAILURE_WEIGHT * self._failing(record, now)

    def answer_s(self, server: tuple[str, int]) -> float:
        """Returns the average time to an answer."""
        record = self._records.get(server)
        return record.answer_s if record else _UNKNOWN_S

    def forget(self, server: tuple[str, int]) -> None:
        """Drops what is known of a server that is gone."""
        self._records.pop(server, None)

    def _failing(self, record: _Record, now: float) -> float:
        age = max(0.0, now - record.failing_at)
        return record.failing * math.exp(-age / _FORGIVE_S)
