"""What engines are believed to cache, as one node learnt from replies."""

import collections
from typing import NamedTuple

from azureline.engine_choice import options

# Upper limit of beliefs of one node.
_MAX_BELIEFS = 4096


class _Entry(NamedTuple):
    """One belief.

    Attributes:
      tokens: tokens of the cached prefix.
      at: monotonic time in seconds at which it was learnt.
      born_ms: start of the engine to which it applies.
      prefill_mark_s: seconds of prefill that the engine had done by then.
    """

    tokens: int
    at: float
    born_ms: int
    prefill_mark_s: float


class Beliefs:
    """Beliefs of one node, by prefix and engine; the oldest are evicted."""

    def __init__(self):
        self._entries: collections.OrderedDict[tuple[str, str], _Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def learn(
        self,
        prefix: options.Prefix,
        server: tuple[str, int],
        prefill_mark_s: float,
        now: float,
    ) -> None:
        """Records that an engine has cached a prefix.

        Args:
          prefix: the prefix.
          server: the engine's incarnation.
          prefill_mark_s: seconds of prefill that the engine has done so far.
          now: monotonic time in seconds.
        """
        server_id, born_ms = server
        key = (prefix.key, server_id)
        self._entries[key] = _Entry(prefix.tokens, now, born_ms, prefill_mark_s)
        self._entries.move_to_end(key)
        if len(self._entries) > _MAX_BELIEFS:
            self._entries.popitem(last=False)

    def find(
        self,
        prefixes: tuple[options.Prefix, ...],
        server: tuple[str, int],
        prefill_mark_s: float,
    ) -> options.Belief | None:
        """Returns the belief about the longest prefix; None without one.

        Beliefs about an earlier start of the engine do not count.

        Args:
          prefixes: prefixes of one prompt, the longest first.
          server: the engine's incarnation.
          prefill_mark_s: seconds of prefill that the engine has done so far.
        """
        server_id, born_ms = server
        for prefix in prefixes:
            entry = self._entries.get((prefix.key, server_id))
            if entry is None or entry.born_ms != born_ms:
                continue
            prefilled_s = max(0.0, prefill_mark_s - entry.prefill_mark_s)
            return options.Belief(entry.tokens, entry.at, prefilled_s)
        return None
