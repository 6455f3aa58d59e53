"""What an owner remembers of the keys of its slot, in bounded memory."""

import collections

from azureline.once import messages
from azureline.once import page

_BUCKET_S = 60


class Table:
    """The last state of each key that has not expired.

    Entries are kept packed and grouped by the minute in which their key was
    issued, so that expired ones are dropped a minute at a time.
    """

    def __init__(self):
        self._minutes: dict[int, dict[bytes, bytes]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def get(self, digest: bytes, issued_s: int) -> page.Entry | None:
        """Returns the entry of a key.

        Args:
          digest: digest of caller and key.
          issued_s: the key's own time.
        """
        minute = self._minutes.get(issued_s // _BUCKET_S, {})
        packed = minute.get(digest)
        return None if packed is None else page.unpack_entry(packed)

    def put(self, entry: page.Entry) -> None:
        """Adds an entry unless a later state of its key is known."""
        known = self.get(entry.digest, entry.issued_s)
        if known is None:
            self._size += 1
        entry = page.later(known, entry)
        minute = self._minutes.setdefault(entry.issued_s // _BUCKET_S, {})
        minute[entry.digest] = page.pack_entry(entry)

    def load(self, packed: bytes, floor_s: int) -> None:
        """Adds entries in their fixed-size form.

        Args:
          packed: the entries, one after another.
          floor_s: keys issued before this time are left out.
        """
        for digest, data in page.split(packed).items():
            issued_s = page.issued_s(data)
            if issued_s < floor_s:
                continue
            minute = self._minutes.setdefault(issued_s // _BUCKET_S, {})
            if digest in minute:
                self.put(page.unpack_entry(data))
            else:
                minute[digest] = data
                self._size += 1

    def clear(self) -> None:
        """Forgets all keys."""
        self._minutes.clear()
        self._size = 0

    def expire(self, floor_s: int) -> None:
        """Drops the minutes that lie wholly before `floor_s`."""
        last = floor_s // _BUCKET_S
        for minute in [m for m in self._minutes if m < last]:
            self._size -= len(self._minutes.pop(minute))


class Answers:
    """The answers of recent runs; the oldest go when space runs out."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._answers: collections.OrderedDict[
            tuple[str, str], messages.Answer
        ] = collections.OrderedDict()
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """Bytes that the kept answers take."""
        return self._bytes

    def put(self, caller: str, key: str, answer: messages.Answer) -> None:
        """Keeps the first answer of a caller's key."""
        if (caller, key) in self._answers:
            return
        self._answers[caller, key] = answer
        self._bytes += answer_bytes(answer)
        while self._bytes > self._max_bytes:
            _, dropped = self._answers.popitem(last=False)
            self._bytes -= answer_bytes(dropped)

    def get(self, caller: str, key: str) -> messages.Answer | None:
        """Returns the answer of a caller's key if it is still kept."""
        return self._answers.get((caller, key))


def answer_bytes(answer: messages.Answer) -> int:
    """Returns about how many bytes an answer takes in memory."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + 400
