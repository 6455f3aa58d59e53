"""Which engines probably hold a prompt prefix in their cache.

The table is fed by whole runs and by engines' cache events, which come late
and with gaps.  A wrong entry costs a cache miss.
"""

import collections

ENGINES_PER_PREFIX = 4


class PrefixTable:
    """A bounded table from prefix to the engines seen with it."""

    def __init__(self, size: int, ttl_s: float):
        """Creates an empty table.

        Args:
          size: prefixes that are remembered; the least recent goes first.
          ttl_s: seconds after which an entry no longer counts.
        """
        self._size = size
        self._ttl_s = ttl_s
        self._engines: collections.OrderedDict[bytes, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, now: float, engine: str, prefix: bytes) -> None:
        """Notes that an engine holds a prefix."""
        if not prefix:
            return
        engines = self._engines.setdefault(prefix, {})
        engines.pop(engine, None)
        engines[engine] = now
        if len(engines) > ENGINES_PER_PREFIX:
            del engines[next(iter(engines))]
        self._engines.move_to_end(prefix)
        if len(self._engines) > self._size:
            self._engines.popitem(last=False)

    def remove(self, engine: str, prefix: bytes) -> None:
        """Notes that an engine dropped a prefix."""
        self._engines.get(prefix, {}).pop(engine, None)

    def forget(self, engine: str) -> None:
        """Drops all that is known of an engine."""
        for engines in self._engines.values():
            engines.pop(engine, None)

    def holders(self, now: float, prefix: bytes) -> set[str]:
        """Returns the engines that probably hold a prefix."""
        engines = self._engines.get(prefix)
        if not engines:
            return set()
        oldest = now - self._ttl_s
        return {e for e, at in engines.items() if at >= oldest}
