"""A model of batching engines on a virtual clock, for benches and tests.

An engine gives every running request one token per step; a step takes longer
the more requests run.  Requests beyond its batch wait in it by priority.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
from typing import NamedTuple

from azureline import requests
from azureline.routing import loads


class Loop:
    """Runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past means now."""
        event = (max(when, self.now), next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Runs all callbacks up to a time and moves the clock there."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = max(self.now, until)


class Spec(NamedTuple):
    """Properties of an engine.

    Attributes:
      name: name of the engine.
      domain: its failure domain.
      base_gap_s: seconds per step with an empty batch.
      slope_s: seconds that each running request adds to a step.
      max_running: largest batch.
      prefill_tokens_s: prompt tokens that it reads per second.
    """

    name: str
    domain: str = "d1"
    base_gap_s: float = 0.03
    slope_s: float = 0.001
    max_running: int = 64
    prefill_tokens_s: float = 20000.0

    def gap_s(self, running: int) -> float:
        """Returns the seconds per step with this many running."""
        return self.base_gap_s + self.slope_s * running

    def capacity(self, token_gap_s: float) -> tuple[int, float]:
        """Returns the largest batch within a token gap and its tokens/s."""
        fitting = int((token_gap_s - self.base_gap_s) / self.slope_s + 1e-9)
        batch = max(1, min(self.max_running, fitting))
        return batch, batch / self.gap_s(batch)


@dataclasses.dataclass
class Job:
    """A generation at an engine.

    Attributes:
      call: the request.
      tokens: length of its answer.
      ended: called once with the job when it ends in any way.
      engine: name of the engine that received it.
      sent_at: virtual time at which the engine received it.
      first_at: virtual time of its first token, or None.
      whole: whether it ended by generating its last token.
    """

    call: requests.ModelCall
    tokens: int
    ended: Callable[["Job"], None]
    engine: str = ""
    sent_at: float = 0.0
    first_at: float | None = None
    whole: bool = False
    open: bool = True


class Engine:
    """One engine."""

    def __init__(self, loop: Loop, spec: Spec, priorities: bool = True):
        """Creates an idle engine.

        Args:
          loop: the virtual clock.
          spec: its properties.
          priorities: whether waiting jobs go by class or by arrival.
        """
        self._priorities = priorities
        self.spec = spec
        self.tokens_made = 0.0
        self.incarnation = 1
        self._loop = loop
        self._running: dict[str, Job] = {}
        self._ends: list[tuple[float, int, Job]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._progress = 0.0
        self._moved_at = 0.0
        self._epoch = 0
        self._queued = 0

    @property
    def load(self) -> loads.LoadHint:
        """The load as the engine would tell it now."""
        return loads.LoadHint(len(self._running), self._queued)

    @property
    def jobs(self) -> list[Job]:
        """The jobs that run or wait."""
        waiting = [job for *_, job in self._waiting if job.open]
        return [*self._running.values(), *waiting]

    def submit(self, job: Job) -> None:
        """Takes a job; it runs at once or waits by priority."""
        job.sent_at = self._loop.now
        job.engine = self.spec.name
        rank = int(job.call.priority) if self._priorities else 0
        order = (rank, next(self._sequence), job)
        heapq.heappush(self._waiting, order)
        self._queued += 1
        self._move()

    def cancel(self, request_id: str) -> None:
        """Drops a job without an answer."""
        for job in self.jobs:
            if job.call.request_id == request_id:
                self._advance()
                self._close(job)
                self._move()
                return

    def crash(self) -> list[Job]:
        """Ends all jobs unfinished and returns them; it restarts empty."""
        self._advance()
        lost = self.jobs
        self.incarnation += 1
        for job in lost:
            self._close(job)
        self._move()
        return lost

    def _move(self) -> None:
        """Brings progress up to now, ends and starts jobs."""
        self._advance()
        while self._ends and self._ends[0][0] <= self._progress + 1e-9:
            _, _, job = heapq.heappop(self._ends)
            if job.open:
                job.whole = True
                self._close(job)
        while self._waiting and len(self._running) < self.spec.max_running:
            _, _, job = heapq.heappop(self._waiting)
            if job.open:
                self._queued -= 1
                self._start(job)
        self._schedule()

    def _advance(self) -> None:
        elapsed = self._loop.now - self._moved_at
        steps = elapsed / self.spec.gap_s(len(self._running))
        self._progress += steps
        self.tokens_made += steps * len(self._running)
        self._moved_at = self._loop.now

    def _start(self, job: Job) -> None:
        prefill_s = job.call.prompt_tokens / self.spec.prefill_tokens_s
        job.first_at = self._loop.now + prefill_s
        self._running[job.call.request_id] = job
        prefill_steps = prefill_s / self.spec.gap_s(len(self._running))
        end = self._progress + prefill_steps + job.tokens
        heapq.heappush(self._ends, (end, next(self._sequence), job))

    def _close(self, job: Job) -> None:
        if self._running.pop(job.call.request_id, None) is None:
            self._queued -= 1
        job.open = False
        # Told after the engine's own bookkeeping, as a message would be.
        self._loop.at(self._loop.now, lambda: job.ended(job))

    def _schedule(self) -> None:
        while self._ends and not self._ends[0][2].open:
            heapq.heappop(self._ends)
        self._epoch += 1
        if not self._ends:
            return
        steps = max(0.0, self._ends[0][0] - self._progress)
        when = self._loop.now + steps * self.spec.gap_s(len(self._running))
        epoch = self._epoch
        self._loop.at(when, lambda: self._wake(epoch))

    def _wake(self, epoch: int) -> None:
        if epoch == self._epoch:
            self._move()
