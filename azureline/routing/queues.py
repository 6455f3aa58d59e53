"""Queue of the waiting calls of one class, fair between callers.

Within a class the earliest deadline goes first.  However, a caller that has
received over a quantum of tokens more than another waiting caller goes after it
(start tags as in Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996).
"""

import heapq
import itertools
from typing import NamedTuple

from azureline import requests


class Waiting(NamedTuple):
    """A waiting call.

    Attributes:
      deadline: monotonic time in seconds by which its answer must be
        complete.
      order: arrival number, which breaks ties between equal deadlines.
      call: the generation.
      avoid: engines to avoid if there are others.
    """

    deadline: float
    order: int
    call: requests.ModelCall
    avoid: tuple[str, ...]


def cost_tokens(call: requests.ModelCall) -> float:
    """Returns the tokens charged for a call to its caller and class."""
    return float(max(1, call.max_tokens))


class ClassQueue:
    """The waiting calls of one model and class."""

    def __init__(self, quantum_tokens: float):
        """Creates an empty queue.

        Args:
          quantum_tokens: number of tokens that one caller may have received
            more than another before fairness overrides deadline order.
        """
        self._quantum = quantum_tokens
        self._calls: dict[str, Waiting] = {}
        self._heaps: dict[str, list[Waiting]] = {}
        self._counts: dict[str, int] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._arrival_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: requests.ModelCall, avoid: tuple[str, ...]) -> None:
        """Adds a call."""
        waiting = Waiting(
            call.deadline, next(self._arrival_numbers), call, avoid
        )
        self._calls[call.request_id] = waiting
        heapq.heappush(self._heaps.setdefault(call.caller, []), waiting)
        self._counts[call.caller] = self.waiting_of(call.caller) + 1
        start_tag = self._start_tags.get(call.caller, 0.0)
        self._start_tags[call.caller] = max(start_tag, self._virtual_time)

    def waiting_of(self, caller: str) -> int:
        """Returns the number of waiting calls of a caller."""
        return self._counts.get(caller, 0)

    def count_before(self, deadline: float) -> int:
        """Returns the number of waiting calls with an earlier deadline."""
        return sum(1 for w in self._calls.values() if w.deadline <= deadline)

    def head(self) -> Waiting | None:
        """Returns the next call to send, or None if the queue is empty."""
        best = None
        best_key = None
        for caller in list(self._heaps):
            first = self._first(caller)
            if first is None:
                continue
            rounds = self._start_tags[caller] // self._quantum
            key = (rounds, first.deadline, first.order)
            if best_key is None or key < best_key:
                best, best_key = first, key
        return best

    def take(self, waiting: Waiting) -> None:
        """Removes a call that is sent and charges it to its caller."""
        caller = waiting.call.caller
        self._virtual_time = max(self._virtual_time, self._least_start_tag())
        self._start_tags[caller] += cost_tokens(waiting.call)
        self.remove(waiting.call.request_id)

    def remove(self, request_id: str) -> Waiting | None:
        """Removes and returns a call, or None if it is not in the queue."""
        waiting = self._calls.pop(request_id, None)
        if waiting is not None:
            self._counts[waiting.call.caller] -= 1
            self._first(waiting.call.caller)
        return waiting

    def eviction_candidate(self) -> Waiting:
        """Returns the call to evict from a full queue.

        It is the call with the latest deadline of the caller with the most
        waiting calls.
        """
        caller = max(self._counts, key=lambda c: self._counts[c])
        return max(w for w in self._heaps[caller] if self._is_waiting(w))

    def calls(self) -> list[Waiting]:
        """Returns all waiting calls."""
        return list(self._calls.values())

    def _is_waiting(self, waiting: Waiting) -> bool:
        return self._calls.get(waiting.call.request_id) is waiting

    def _first(self, caller: str) -> Waiting | None:
        """Returns a caller's first call, or None.

        It removes the state of callers that have no waiting calls.
        """
        heap = self._heaps.get(caller, [])
        while heap and not self._is_waiting(heap[0]):
            heapq.heappop(heap)
        if heap:
            return heap[0]
        self._heaps.pop(caller, None)
        self._counts.pop(caller, None)
        self._forget_idle()
        return None

    def _forget_idle(self) -> None:
        """Removes start tags of idle callers that cannot affect the order."""
        for caller in list(self._start_tags):
            if caller not in self._heaps and (
                not self._heaps
                or self._start_tags[caller] <= self._virtual_time
            ):
                del self._start_tags[caller]

    def _least_start_tag(self) -> float:
        return min(
            (self._start_tags[c] for c in self._heaps),
            default=self._virtual_time,
        )
