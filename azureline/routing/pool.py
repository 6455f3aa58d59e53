"""The replicas of one model and the calls that wait for them."""

from collections.abc import Sequence
import heapq

from azureline import requests
from azureline.routing import estimates
from azureline.routing import picker as picker_lib
from azureline.routing import queues

_CLASSES = tuple(requests.Priority)


class Pool:
    """Queues, credits and estimates of one model."""

    def __init__(self, shares: Sequence[float], quantum_tokens: float):
        """Creates a pool without replicas.

        Args:
          shares: minimum share of the sent tokens, by class, for classes with
            waiting calls.
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

    def has_precedence_over(self, call: requests.ModelCall) -> bool:
        """Returns whether calls of this or a higher class are waiting."""
        return any(len(q) for q in self._queues[: call.priority + 1])

    def add(self, call: requests.ModelCall, avoid: tuple[str, ...]) -> None:
        """Queues a call."""
        self._queues[call.priority].add(call, avoid)
        latest = call.deadline - self.service.expected_s(call)
        heapq.heappush(self._latest_starts, (latest, call.request_id))

    def remove(self, request_id: str) -> queues.Waiting | None:
        """Removes and returns a waiting call, or None if it is not queued."""
        for queue in self._queues:
            waiting = queue.remove(request_id)
            if waiting is not None:
                return waiting
        return None

    def head(
        self, use_credits: bool = True
    ) -> tuple[int, queues.Waiting] | None:
        """Returns the rank of the next call to send, and the call.

        The rank is the class of the call, or -1 if the class has saved up
        enough credits of its minimum share for the call.

        Args:
          use_credits: whether to consider such credits.

        Returns:
          Rank and call, or None if no call waits.
        """
        best = None
        for priority in _CLASSES:
            first = self._queues[priority].head()
            if first is None:
                self._credits[priority] = 0.0
            elif use_credits and self._credits[priority] >= queues.cost_tokens(
                first.call
            ):
                return -1, first
            elif best is None:
                best = int(priority), first
        return best

    def take(self, now: float, rank: int, waiting: queues.Waiting) -> None:
        """Removes the call that `head` returned and counts it as sent."""
        call = waiting.call
        self._queues[call.priority].take(waiting)
        if rank < 0:
            self._credits[call.priority] -= queues.cost_tokens(call)
        self.sent(now, call)

    def sent(self, now: float, call: requests.ModelCall) -> None:
        """Counts a sent call and credits the classes with waiting calls."""
        self.outstanding += 1
        self._sent[call.priority].add(now)
        for priority in _CLASSES:
            if len(self._queues[priority]):
                share = self._shares[priority]
                self._credits[priority] += share * queues.cost_tokens(call)

    def take_expired(self, now: float) -> list[queues.Waiting]:
        """Removes and returns calls that can no longer meet their deadline."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, request_id = heapq.heappop(self._latest_starts)
            waiting = self.remove(request_id)
            if waiting is not None:
                expired.append(waiting)
        return expired

    def next_expiry(self) -> float | None:
        """Returns the time at which a waiting call next expires.

        Returns:
          Monotonic time in seconds, or None if no call waits.
        """
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
        higher_rate = sum(self._sent[p].per_second(now) for p in higher)
        share = max(self._shares[call.priority], 0.01)
        own_rate = max(share * rate, rate - higher_rate)
        before = sum(len(self._queues[p]) for p in higher)
        ahead = self._queues[call.priority].count_before(call.deadline)
        return before / rate + (ahead + 1) / own_rate

    def load_ratio(self, now: float) -> float:
        """Returns the ratio of the offered to the sent rate, at least 1."""
        sent = sum(rate.per_second(now) for rate in self._sent)
        return 1.0 + self.refused.per_second(now) / max(sent, 0.1)
