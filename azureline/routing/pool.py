"""The replicas of one model and the calls that wait for them."""

from collections.abc import Sequence
import heapq

from azureline import requests
from azureline.routing import estimates
from azureline.routing import picker as picker_lib
from azureline.routing import queues

_CLASSES = tuple(requests.Priority)


class Pool:
    """Order of service and estimates of one model."""

    def __init__(self, shares: Sequence[float], quantum_tokens: float):
        """Creates a pool without replicas.

        Args:
          shares: least share of the tokens sent for each class that waits.
          quantum_tokens: see `queues.ClassQueue`.
        """
        self.candidates: tuple[picker_lib.Candidate, ...] = ()
        self.service = estimates.ServiceTime()
        self.outstanding = 0
        self.unusable_since: float | None = None
        self.refused = estimates.Rate()
        self._shares = tuple(shares)
        self._queues = tuple(
            queues.ClassQueue(quantum_tokens) for _ in _CLASSES
        )
        self._credits = [0.0 for _ in _CLASSES]
        self._sent = tuple(estimates.Rate() for _ in _CLASSES)
        self._latest_starts: list[tuple[float, str]] = []

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return sum(len(q) for q in self._queues)

    def queue(self, priority: requests.Priority) -> queues.ClassQueue:
        """Returns the queue of a class."""
        return self._queues[priority]

    def ahead_of(self, call: requests.ModelCall) -> bool:
        """Returns whether a call waits that must go before a new one."""
        return any(len(q) for q in self._queues[: call.priority + 1])

    def add(self, call: requests.ModelCall, avoid: tuple[str, ...]) -> None:
        """Lets a call wait."""
        self._queues[call.priority].add(call, avoid)
        latest = call.deadline - self.service.expected_s(call)
        heapq.heappush(self._latest_starts, (latest, call.request_id))

    def remove(self, request_id: str) -> queues.Waiting | None:
        """Removes a waiting call, or returns None if it does not wait."""
        for queue in self._queues:
            waiting = queue.remove(request_id)
            if waiting is not None:
                return waiting
        return None

    def head(self, owed: bool = True) -> tuple[int, queues.Waiting] | None:
        """Returns the call that goes next and the rank of its claim.

        The rank is its class, or -1 for a class that is owed its share.

        Args:
          owed: whether to look at shares that are owed.
        """
        best = None
        for priority in _CLASSES:
            first = self._queues[priority].head()
            if first is None:
                self._credits[priority] = 0.0
            elif owed and self._credits[priority] >= queues.cost(first.call):
                return -1, first
            elif best is None:
                best = int(priority), first
        return best

    def take(self, now: float, rank: int, waiting: queues.Waiting) -> None:
        """Removes the call that `head` returned, since it is sent."""
        call = waiting.call
        self._queues[call.priority].take(waiting)
        if rank < 0:
            self._credits[call.priority] -= queues.cost(call)
        self.sent(now, call)

    def sent(self, now: float, call: requests.ModelCall) -> None:
        """Counts a call that is sent and credits the classes that wait."""
        self.outstanding += 1
        self._sent[call.priority].add(now)
        for priority in _CLASSES:
            if len(self._queues[priority]):
                share = self._shares[priority]
                self._credits[priority] += share * queues.cost(call)

    def overdue(self, now: float) -> list[queues.Waiting]:
        """Removes and returns the calls that can no longer be in time."""
        late = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, request_id = heapq.heappop(self._latest_starts)
            waiting = self.remove(request_id)
            if waiting is not None:
                late.append(waiting)
        return late

    def next_overdue(self) -> float | None:
        """Returns when a waiting call next becomes overdue."""
        if not self.waiting:
            self._latest_starts.clear()
        return self._latest_starts[0][0] if self._latest_starts else None

    def wait_s(self, now: float, call: requests.ModelCall) -> float:
        """Returns the estimated seconds until a new call would be sent."""
        mean_s = self.service.mean_s
        if mean_s <= 0.0:
            return 0.0
        rate = max(1, self.outstanding) / mean_s
        higher = range(call.priority)
        taken = sum(self._sent[p].per_second(now) for p in higher)
        share = max(self._shares[call.priority], 0.01)
        own_rate = max(share * rate, rate - taken)
        before = sum(len(self._queues[p]) for p in higher)
        ahead = self._queues[call.priority].ahead_of(call.deadline)
        return before / rate + (ahead + 1) / own_rate

    def pressure(self, now: float) -> float:
        """Returns offered work relative to sent work, at least 1."""
        sent = sum(rate.per_second(now) for rate in self._sent)
        return 1.0 + self.refused.per_second(now) / max(sent, 0.1)
