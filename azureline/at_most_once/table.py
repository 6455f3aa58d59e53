"""In-memory key states and answers of a slot, in bounded memory."""

import collections

from azureline.at_most_once import messages
from azureline.at_most_once import page

_BUCKET_S = 60


class Table:
    """Last state of each key that has not expired.

    Entries are kept packed and grouped by the minute in which their key was
    issued, so that expired entries are dropped a minute at a time.
    """

    def __init__(self):
        self._entries_by_minute: dict[int, dict[bytes, bytes]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def get(self, digest: bytes, issued_s: int) -> page.Entry | None:
        """Returns the entry of a key.

        Args:
          digest: digest of caller and key.
          issued_s: issue time of the key, in Unix seconds.
        """
        minute = self._entries_by_minute.get(issued_s // _BUCKET_S, {})
        packed = minute.get(digest)
        return None if packed is None else page.unpack_entry(packed)

    def put(self, entry: page.Entry) -> None:
        """Adds an entry unless the table has a later state of its key."""
        known = self.get(entry.digest, entry.issued_s)
        if known is None:
            self._size += 1
        entry = page.latest_state(known, entry)
        minute = self._entries_by_minute.setdefault(
            entry.issued_s // _BUCKET_S, {}
        )
        minute[entry.digest] = page.pack_entry(entry)

    def load(self, packed: bytes, floor_s: int) -> None:
        """Adds packed entries.

        Args:
          packed: the concatenated entries in their fixed-size form.
          floor_s: keys issued before this Unix time in seconds are skipped.
        """
        for digest, data in page.split_entries(packed).items():
            issued_s = page.issued_s(data)
            if issued_s < floor_s:
                continue
            minute = self._entries_by_minute.setdefault(
                issued_s // _BUCKET_S, {}
            )
            if digest in minute:
                self.put(page.unpack_entry(data))
            else:
                minute[digest] = data
                self._size += 1

    def clear(self) -> None:
        """Removes all keys."""
        self._entries_by_minute.clear()
        self._size = 0

    def expire(self, floor_s: int) -> None:
        """Drops the minutes that end at or before `floor_s`."""
        floor_minute = floor_s // _BUCKET_S
        for minute in [m for m in self._entries_by_minute if m < floor_minute]:
            self._size -= len(self._entries_by_minute.pop(minute))


class Answers:
    """Cached answers of recent runs; evicts the oldest beyond `max_bytes`."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._answers: collections.OrderedDict[
            tuple[str, str], messages.Answer
        ] = collections.OrderedDict()
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the cached answers in bytes."""
        return self._bytes

    def put(self, caller: str, key: str, answer: messages.Answer) -> None:
        """Caches the answer of a caller's key unless one is cached already."""
        if (caller, key) in self._answers:
            return
        self._answers[caller, key] = answer
        self._bytes += answer_bytes(answer)
        while self._bytes > self._max_bytes:
            _, dropped = self._answers.popitem(floor_minute=False)
            self._bytes -= answer_bytes(dropped)

    def get(self, caller: str, key: str) -> messages.Answer | None:
        """Returns the cached answer of a caller's key, or None."""
        return self._answers.get((caller, key))


def answer_bytes(answer: messages.Answer) -> int:
    """Returns the approximate memory of an answer in bytes."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + 400
