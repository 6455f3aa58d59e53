"""Limits that backend servers name, as one node knows them.

A limit is in force from the first answer that names it until answers have not
named it for a while.  It belongs to one start of a server.
"""

from typing import NamedTuple

# Limits below this are treated as this rate: answers are the only source of
# news about a limit, so some calls have to be sent under a limit of 0.
MIN_PER_S = 0.1
# A limit ends once this many answers in a row do not name it, the last of them
# to a call sent this long after an answer that did.
_END_AFTER_S = 2.0
_END_ANSWERS = 2
# News of the same answer through several nodes differ by less than this; of
# different limits in this time the lowest counts.
_SAME_NEWS_S = 0.1
# Limits of servers without an entry in the store are kept for this time.
_RETENTION_S = 60.0

Incarnation = tuple[str, int]


class Limit(NamedTuple):
    """A limit in force.

    Attributes:
      per_s: calls a second that the server takes from all nodes together.
      named_at: monotonic time in seconds at which an answer named it last.
      missing: answers in a row that did not name it.
    """

    per_s: float
    named_at: float
    missing: int = 0


class ServerLimits:
    """The limits in force, by server and start."""

    def __init__(self):
        """Creates an instance without limits."""
        self._limits: dict[Incarnation, Limit] = {}
        self._ended_at: dict[Incarnation, float] = {}

    def __iter__(self):
        return iter(list(self._limits.items()))

    def get(self, incarnation: Incarnation) -> Limit | None:
        """Returns the limit in force, or None."""
        return self._limits.get(incarnation)

    def named(self, incarnation: Incarnation, per_s: float, at: float) -> bool:
        """Records that an answer named a limit.

        Args:
          incarnation: the server's start.
          per_s: the limit in calls a second.
          at: monotonic time in seconds of the answer; older news is ignored.

        Returns:
          Whether the limit is new or has changed.
        """
        known = self._limits.get(incarnation)
        if known is None:
            ended_at = self._ended_at.get(incarnation, float("-inf"))
            if at < ended_at + _SAME_NEWS_S:
                return False
            self._limits[incarnation] = Limit(per_s, at)
            return True
        if at < known.named_at:
            return False
        if at < known.named_at + _SAME_NEWS_S and per_s >= known.per_s:
            return False
        self._limits[incarnation] = Limit(per_s, at)
        return known.per_s != per_s

    def missing(self, incarnation: Incarnation, sent_at: float) -> bool:
        """Records that an answer did not name a limit.

        Args:
          incarnation: the server's start.
          sent_at: monotonic time in seconds at which the call was sent.

        Returns:
          Whether the limit has ended with this answer; it stays in force
          until `ended` is called.
        """
        known = self._limits.get(incarnation)
        if known is None or sent_at < known.named_at:
            return False
        missing = known.missing + 1
        self._limits[incarnation] = known._replace(missing=missing)
        return (
            missing >= _END_ANSWERS and sent_at >= known.named_at + _END_AFTER_S
        )

    def ended(self, incarnation: Incarnation, at: float) -> bool:
        """Records that a limit has ended.

        Args:
          incarnation: the server's start.
          at: monotonic time in seconds of the end; a limit that an answer has
            named since stays in force.

        Returns:
          Whether a limit was in force.
        """
        known = self._limits.get(incarnation)
        if known is None or at < known.named_at:
            return False
        del self._limits[incarnation]
        self._ended_at[incarnation] = at
        return True

    def expire(self, born_ms: dict[str, int], now: float) -> None:
        """Removes limits of earlier starts and of servers that are gone.

        Args:
          born_ms: start of each server in the store, by its id.
          now: monotonic time in seconds.
        """
        for incarnation, limit in self:
            current = born_ms.get(incarnation[0])
            is_gone = current is None and (now >= limit.named_at + _RETENTION_S)
            if is_gone or (current is not None and current > incarnation[1]):
                del self._limits[incarnation]
        self._ended_at = {
            i: at for i, at in self._ended_at.items() if now < at + _RETENTION_S
        }
