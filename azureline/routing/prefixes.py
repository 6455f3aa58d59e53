"""Table of the engines that probably have a prompt prefix in their cache.

Complete runs and the engines' cache events update the table.  Cache events
arrive late and some are lost, so entries may be wrong; a wrong entry costs a
cache miss.
"""

import collections

ENGINES_PER_PREFIX = 4


class PrefixTable:
    """A bounded table from prefix to the engines that cached it."""

    def __init__(self, size: int, ttl_s: float):
        """Creates an empty table.

        Args:
          size: maximum number of prefixes; the least recently added one is
            evicted first.
          ttl_s: seconds after which an entry expires.
        """
        self._size = size
        self._ttl_s = ttl_s
        self._engines: collections.OrderedDict[bytes, dict[str, float]] = (
            collections.OrderedDict()
        )

    def add(self, now: float, engine: str, prefix: bytes) -> None:
        """Records that an engine has a prefix in its cache."""
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
        """Records that an engine evicted a prefix."""
        self._engines.get(prefix, {}).pop(engine, None)

    def remove_engine(self, engine: str) -> None:
        """Removes all entries of an engine."""
        for engines in self._engines.values():
            engines.pop(engine, None)

    def engines_with(self, now: float, prefix: bytes) -> set[str]:
        """Returns the engines that probably have a prefix in their cache."""
        engines = self._engines.get(prefix)
        if not engines:
            return set()
        oldest = now - self._ttl_s
        return {e for e, at in engines.items() if at >= oldest}
