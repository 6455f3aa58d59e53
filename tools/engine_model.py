"""A model of batching engines on a virtual clock, for benches and tests.

An engine generates one token per step for every running request.  A step takes
longer the more requests run.  Requests beyond the largest batch wait in the
engine's queue, by priority or by arrival.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
from typing import NamedTuple

from azureline import requests
from azureline.routing import loads


class Loop:
    """An event loop that runs callbacks in the order of their virtual times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time in the past means now."""
        event = (max(when, self.now), next(self._sequence), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Runs all callbacks up to a time and advances the clock to it."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = max(self.now, until)


class Spec(NamedTuple):
    """Properties of an engine.

    Attributes:
      name: name of the engine.
      domain: failure domain of the engine.
      base_gap_s: seconds per step with an empty batch.
      slope_s: seconds that each running request adds to a step.
      max_running: largest batch.
      prefill_tokens_s: prompt tokens processed per second.
    """

    name: str
    domain: str = "d1"
    base_gap_s: float = 0.03
    slope_s: float = 0.001
    max_running: int = 64
    prefill_tokens_s: float = 20000.0

    def gap_s(self, running: int) -> float:
        """Returns the seconds per step with `running` requests."""
        return self.base_gap_s + self.slope_s * running

    def capacity(self, token_gap_s: float) -> tuple[int, float]:
        """Returns the largest batch within a token gap, and its tokens/s."""
        fitting = int((token_gap_s - self.base_gap_s) / self.slope_s + 1e-9)
        batch = max(1, min(self.max_running, fitting))
        return batch, batch / self.gap_s(batch)


@dataclasses.dataclass
class Job:
    """A request that an engine serves.

    Attributes:
      call: the request.
      tokens: length of the answer.
      ended: called once with the job when it completes, is cancelled or is
        lost in a crash.
      engine: name of the engine that received it.
      sent_at: virtual time at which the engine received it.
      first_at: virtual time of its first token; None before it starts.
      whole: whether its last token was generated.
      open: whether the job waits or runs.
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
    """A modelled engine."""

    def __init__(self, loop: Loop, spec: Spec, priorities: bool = True):
        """Creates an idle engine.

        Args:
          loop: the virtual clock.
          spec: properties of the engine.
          priorities: whether the queue is ordered by priority class and then
            by arrival, or by arrival alone.
        """
        self._priorities = priorities
        self.spec = spec
        self.tokens_made = 0.0
        self.incarnation = 1
        self._loop = loop
        self._running: dict[str, Job] = {}
        self._completions: list[tuple[float, int, Job]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._steps_done = 0.0
        self._advanced_at = 0.0
        self._wake_up_number = 0
        self._queued = 0

    @property
    def load(self) -> loads.LoadHint:
        """The load that the engine would report now."""
        return loads.LoadHint(len(self._running), self._queued)

    @property
    def jobs(self) -> list[Job]:
        """The jobs that run or wait."""
        waiting = [job for *_, job in self._waiting if job.open]
        return [*self._running.values(), *waiting]

    def submit(self, job: Job) -> None:
        """Queues a job, which starts at once if the batch has a free slot."""
        job.sent_at = self._loop.now
        job.engine = self.spec.name
        rank = int(job.call.priority) if self._priorities else 0
        order = (rank, next(self._sequence), job)
        heapq.heappush(self._waiting, order)
        self._queued += 1
        self._update()

    def cancel(self, request_id: str) -> None:
        """Ends a job before it completes; ignores unknown request ids."""
        for job in self.jobs:
            if job.call.request_id == request_id:
                self._advance()
                self._end_job(job)
                self._update()
                return

    def crash(self) -> list[Job]:
        """Ends all jobs before they complete and restarts the engine.

        Returns:
          The lost jobs.
        """
        self._advance()
        lost_jobs = self.jobs
        self.incarnation += 1
        for job in lost_jobs:
            self._end_job(job)
        self._update()
        return lost_jobs

    def _update(self) -> None:
        """Advances to now, completes finished jobs and starts queued ones."""
        self._advance()
        while (
            self._completions
            and self._completions[0][0] <= self._steps_done + 1e-9
        ):
            _, _, job = heapq.heappop(self._completions)
            if job.open:
                job.whole = True
                self._end_job(job)
        while self._waiting and len(self._running) < self.spec.max_running:
            _, _, job = heapq.heappop(self._waiting)
            if job.open:
                self._queued -= 1
                self._start(job)
        self._schedule()

    def _advance(self) -> None:
        elapsed = self._loop.now - self._advanced_at
        steps = elapsed / self.spec.gap_s(len(self._running))
        self._steps_done += steps
        self.tokens_made += steps * len(self._running)
        self._advanced_at = self._loop.now

    def _start(self, job: Job) -> None:
        prefill_s = job.call.prompt_tokens / self.spec.prefill_tokens_s
        job.first_at = self._loop.now + prefill_s
        self._running[job.call.request_id] = job
        prefill_steps = prefill_s / self.spec.gap_s(len(self._running))
        end = self._steps_done + prefill_steps + job.tokens
        heapq.heappush(self._completions, (end, next(self._sequence), job))

    def _end_job(self, job: Job) -> None:
        if self._running.pop(job.call.request_id, None) is None:
            self._queued -= 1
        job.open = False
        # The callback runs after the engine has updated its state, as a
        # message from a real engine would arrive afterwards.
        self._loop.at(self._loop.now, lambda: job.ended(job))

    def _schedule(self) -> None:
        while self._completions and not self._completions[0][2].open:
            heapq.heappop(self._completions)
        self._wake_up_number += 1
        if not self._completions:
            return
        steps = max(0.0, self._completions[0][0] - self._steps_done)
        when = self._loop.now + steps * self.spec.gap_s(len(self._running))
        number = self._wake_up_number
        self._loop.at(when, lambda: self._on_wake_up(number))

    def _on_wake_up(self, number: int) -> None:
        if number == self._wake_up_number:
            self._update()
