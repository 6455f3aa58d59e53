"""Waiting calls of one class, by deadline and fair between callers.

Within a class the earliest deadline goes first, but a caller that has had
more than a quantum of tokens over another that waits comes after it (start
tags as in Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996).
"""

import heapq
import itertools
from typing import NamedTuple

from azureline import requests


class Waiting(NamedTuple):
    """A waiting call.

    Attributes:
      deadline: monotonic time by which its answer must be whole.
      order: number by arrival, which decides between equal deadlines.
      call: the generation.
      avoid: engines to avoid.
    """

    deadline: float
    order: int
    call: requests.ModelCall
    avoid: tuple[str, ...]


def cost(call: requests.ModelCall) -> float:
    """Returns what a call counts for between callers and classes."""
    return float(max(1, call.max_tokens))


class ClassQueue:
    """The waiting calls of one model and class."""

    def __init__(self, quantum_tokens: float):
        """Creates an empty queue.

        Args:
          quantum_tokens: tokens by which one caller may be ahead of another
            before deadlines no longer decide.
        """
        self._quantum = quantum_tokens
        self._calls: dict[str, Waiting] = {}
        self._heaps: dict[str, list[Waiting]] = {}
        self._counts: dict[str, int] = {}
        self._served: dict[str, float] = {}
        self._floor = 0.0
        self._orders = itertools.count()

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: requests.ModelCall, avoid: tuple[str, ...]) -> None:
        """Adds a call."""
        waiting = Waiting(call.deadline, next(self._orders), call, avoid)
        self._calls[call.request_id] = waiting
        heapq.heappush(self._heaps.setdefault(call.caller, []), waiting)
        self._counts[call.caller] = self.waiting_of(call.caller) + 1
        served = self._served.get(call.caller, 0.0)
        self._served[call.caller] = max(served, self._floor)

    def waiting_of(self, caller: str) -> int:
        """Returns the number of waiting calls of a caller."""
        return self._counts.get(caller, 0)

    def ahead_of(self, deadline: float) -> int:
        """Returns the number of waiting calls with an earlier deadline."""
        return sum(1 for w in self._calls.values() if w.deadline <= deadline)

    def head(self) -> Waiting | None:
        """Returns the call that goes next."""
        best = None
        best_key = None
        for caller in list(self._heaps):
            first = self._first(caller)
            if first is None:
                continue
            rounds = self._served[caller] // self._quantum
            key = (rounds, first.deadline, first.order)
            if best_key is None or key < best_key:
                best, best_key = first, key
        return best

    def take(self, waiting: Waiting) -> None:
        """Removes a call that is sent and charges its caller."""
        caller = waiting.call.caller
        self._floor = max(self._floor, self._least_served())
        self._served[caller] += cost(waiting.call)
        self.remove(waiting.call.request_id)

    def remove(self, request_id: str) -> Waiting | None:
        """Removes a call, or returns None if it does not wait here."""
        waiting = self._calls.pop(request_id, None)
        if waiting is not None:
            self._counts[waiting.call.caller] -= 1
            self._first(waiting.call.caller)
        return waiting

    def crowding(self) -> Waiting:
        """Returns the last call of the caller with the most waiting."""
        caller = max(self._counts, key=lambda c: self._counts[c])
        return max(w for w in self._heaps[caller] if self._is_waiting(w))

    def calls(self) -> list[Waiting]:
        """Returns all waiting calls."""
        return list(self._calls.values())

    def _is_waiting(self, waiting: Waiting) -> bool:
        return self._calls.get(waiting.call.request_id) is waiting

    def _first(self, caller: str) -> Waiting | None:
        """Returns a caller's earliest call and forgets idle callers."""
        heap = self._heaps.get(caller, [])
        while heap and not self._is_waiting(heap[0]):
            heapq.heappop(heap)
        if heap:
            return heap[0]
        self._heaps.pop(caller, None)
        self._counts.pop(caller, None)
        self._forget_even()
        return None

    def _forget_even(self) -> None:
        """Forgets the service of idle callers that are ahead of nobody."""
        for caller in list(self._served):
            if caller not in self._heaps and (
                not self._heaps or self._served[caller] <= self._floor
            ):
                del self._served[caller]

    def _least_served(self) -> float:
        return min((self._served[c] for c in self._heaps), default=self._floor)
