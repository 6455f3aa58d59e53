"""Runs all generations of one node.

Combines admission, retries and the quarantine of crash suspects.
"""

from collections.abc import Callable
from typing import Any

from absl import logging
from twisted.internet import task

from azureline import requests
from azureline.backends import http
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.fleet import directory as directories
from azureline.metrics import counters as metrics
from azureline.routing import admission as admission_lib
from azureline.routing import loads
from azureline.routing import outcome as outcomes
from azureline.routing import picker
from azureline.routing import retry
from azureline.routing import stream
from azureline.routing import suspects as suspects_lib
from azureline.routing import verdicts
from azureline.serving import adapters as adapters_lib
from azureline.serving import generation
from azureline.util import memory_budget

TICK_S = 0.05
QUARANTINE_RETRY_S = 0.2


class Generations:
    """Runs the generations of a node from arrival to final answer."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        admission: admission_lib.Admission,
        retries: retry.RetryPolicy,
        suspects: suspects_lib.SuspectTable,
        directory: directories.Directory,
        adapters: adapters_lib.AdapterLoader,
        backends: http.BackendClient,
        counters: metrics.Counters,
        settings: stream.Settings = stream.DEFAULTS,
        answer_budget: memory_budget.MemoryBudget | None = None,
    ):
        """Creates an empty collection.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          admission: decides when and to which engine each call is sent.
          retries: decides whether a failed attempt is repeated.
          suspects: records the requests that may have crashed engines.
          directory: the addresses and states of engines.
          adapters: requests adapter loads before calls are sent.
          backends: sends calls to engines.
          counters: counts refusals and retries by reason.
          settings: settings of the stream relays.
          answer_budget: memory for what is held of answers; None if it is not
            counted.
        """
        self._reactor = reactor
        self._clock = clock
        self._admission = admission
        self._retries = retries
        self._suspects = suspects
        self._directory = directory
        self._adapters = adapters
        self._backends = backends
        self._counters = counters
        self._settings = settings
        self._answer_budget = answer_budget
        self._active: dict[str, generation.Generation] = {}
        self._crashed_incarnations: dict[str, str] = {}
        self._suspects_handler: Callable[[], None] = lambda: None
        self._answer_handler: Callable[[str, int], None] = lambda m, n: None
        self._tick_loop = task.LoopingCall(self._on_tick)
        self._tick_loop.clock = reactor

    @property
    def active(self) -> int:
        """The number of generations that have no final answer yet."""
        return len(self._active)

    def on_suspects(self, handler: Callable[[], None]) -> None:
        """Sets the handler that is called when there are new suspects."""
        self._suspects_handler = handler

    def on_answered(self, handler: Callable[[str, int], None]) -> None:
        """Sets the handler of the model and tokens of each whole answer."""
        self._answer_handler = handler

    def close(self) -> None:
        """Stops the timer."""
        if self._tick_loop.running:
            self._tick_loop.stop()

    def start(
        self,
        call: requests.ModelCall,
        messages: list[dict[str, str]],
        answer: generation.Answer,
    ) -> None:
        """Starts a call.

        Args:
          call: the call.
          messages: the messages of the prompt.
          answer: receives the stream; finished or refused at the end, unless
            the caller disconnects before the call is sent.
        """
        gen = generation.Generation(
            self,
            call,
            messages,
            answer,
            self._backends,
            self._clock,
            self._settings,
            self._answer_budget,
        )
        self._active[call.request_id] = gen
        if not self._tick_loop.running:
            self._tick_loop.start(TICK_S, now=False)
        self._counters.count("requests.model")
        self._schedule(gen)

    def on_engine_crashed(self, engine: str, incarnation: str) -> None:
        """Handles a crash of the engine's process with this incarnation.

        Reports of the same incarnation after the first one are ignored.
        """
        if self._crashed_incarnations.get(engine) == incarnation:
            return
        self._crashed_incarnations[engine] = incarnation
        self._suspects.crashed(self._clock.wall(), engine, incarnation)
        self._counters.count("engines.crashed")
        self._suspects_handler()
        for gen in list(self._active.values()):
            if gen.engine == engine:
                gen.on_engine_crashed()

    def on_engine_unreachable(self, engine: str) -> None:
        """Handles a refused connection: no process listens at the address."""
        incarnation = self._directory.incarnation(engine)
        logging.warning(
            "event=engine_gone engine=%s incarnation=%s", engine, incarnation
        )
        self.on_engine_crashed(engine, incarnation)

    def update_replicas(self, models: list[str]) -> None:
        """Updates the replicas of these models from the directory."""
        for model in models:
            self._admission.set_candidates(
                model, self._directory.candidates(model)
            )
        self._process_queue()

    def on_attempt_ended(
        self, gen: generation.Generation, result: generation.AttemptResult
    ) -> None:
        """Finishes, refuses or retries a call whose attempt has ended."""
        self._release(
            gen.call, gen.engine, result.sample, result.hint, result.may_run
        )
        if result.sample.outcome is outcomes.Outcome.WHOLE:
            self._finish(gen, result.sample)
        elif result.refusal is not None:
            self._refuse(gen, result.refusal)
        else:
            self._handle_failure(gen, result.reason)
        self._process_queue()

    def record_latency(
        self,
        gen: generation.Generation,
        first_token_s: float | None,
        token_gap_s: float | None,
    ) -> None:
        """Records how fast an engine answers a call in flight.

        Args:
          gen: the generation.
          first_token_s: seconds to the first token, or None.
          token_gap_s: mean seconds between tokens, or None.
        """
        self._admission.record_progress(
            self._clock.now(), gen.call.request_id, first_token_s, token_gap_s
        )
        if first_token_s is not None and self._admission.waiting:
            self._process_queue()

    def on_caller_disconnected(self, gen: generation.Generation) -> None:
        """Cancels a queued call whose caller disconnected."""
        self._admission.cancel(gen.call.request_id)
        self._counters.count("refused.caller_gone")
        self._active.pop(gen.call.request_id, None)

    def _schedule(self, gen: generation.Generation) -> None:
        """Submits a call to admission unless it has ended or is a suspect."""
        if gen.call.request_id not in self._active:
            return
        match self._check_suspect(gen):
            case verdicts.Allowed():
                self._submit(gen, tuple(gen.tried))
            case verdicts.Quarantine(server):
                self._send_quarantined(gen, server)
            case verdicts.Wait(until):
                self._counters.count("suspects.held")
                wait_s = until - self._clock.wall()
                self._schedule_at(self._clock.now() + wait_s, gen)
            case errors.Refusal() as refusal:
                self._refuse(gen, refusal)

    def _check_suspect(
        self, gen: generation.Generation
    ) -> (
        verdicts.Allowed | verdicts.Quarantine | verdicts.Wait | errors.Refusal
    ):
        candidates = self._directory.candidates(gen.call.model)
        usable = [
            c.engine for c in candidates if c.state is picker.State.SERVING
        ]
        return self._suspects.check(
            self._clock.wall(),
            gen.call,
            [c.engine for c in candidates],
            usable,
        )

    def _send_quarantined(
        self, gen: generation.Generation, server: str
    ) -> None:
        """Sends a suspect to its quarantine engine, or retries later."""
        now = self._clock.now()
        if self._admission.admit_to(now, gen.call, server) is None:
            self._schedule_at(now + QUARANTINE_RETRY_S, gen)
        else:
            self._send(gen, server)

    def _submit(
        self, gen: generation.Generation, avoid: tuple[str, ...]
    ) -> None:
        match self._admission.submit(self._clock.now(), gen.call, avoid):
            case admission_lib.Admitted(engine=engine, reason=reason):
                self._counters.count(f"picked.{reason}")
                self._send(gen, engine)
            case admission_lib.Queued():
                self._counters.count("requests.queued")
            case errors.Refusal() as refusal:
                self._refuse(gen, refusal)

    def _send(self, gen: generation.Generation, engine: str) -> None:
        if gen.attempt == 0:
            self._retries.add_first_send()
        self._suspects.started(engine, gen.call)
        url = self._directory.url(engine)

        def on_adapter(ready: bool) -> None:
            if gen.call.request_id not in self._active:
                self._release_unused(gen, engine)
            elif ready:
                gen.send(engine, url)
            else:
                gen.skip(engine, retry.Reason.BUSY)

        self._adapters.ensure(engine, gen.call.adapter, on_adapter)

    def _send_queued(self, gen: generation.Generation, engine: str) -> None:
        """Sends a queued call unless it became a suspect while it waited."""
        if isinstance(self._check_suspect(gen), verdicts.Allowed):
            self._send(gen, engine)
            return
        self._release_unused(gen, engine)
        self._schedule(gen)

    def _release_unused(self, gen: generation.Generation, engine: str) -> None:
        """Releases an engine's slot for which nothing was sent."""
        unused = outcomes.Sample(outcomes.Outcome.CANCELLED, 0.0)
        self._release(gen.call, engine, unused, None)

    def _release(
        self,
        call: requests.ModelCall,
        engine: str,
        sample: outcomes.Sample,
        hint: loads.LoadHint | None,
        may_run: bool = False,
    ) -> None:
        """Removes a call from an engine in admission and in the suspects."""
        now, wall = self._clock.now(), self._clock.wall()
        whole = sample.outcome is outcomes.Outcome.WHOLE
        self._admission.finish(now, call.request_id, sample, hint)
        self._suspects.finished(wall, engine, call, whole, may_run)

    def _handle_failure(
        self, gen: generation.Generation, reason: retry.Reason | None
    ) -> None:
        now = self._clock.now()
        reason = reason or retry.Reason.STREAM_GONE
        if gen.call.adapter:
            self._adapters.invalidate(gen.engine, gen.call.adapter)
        decision = self._retries.decide(
            now, gen.call.deadline, gen.attempt, reason
        )
        match decision:
            case retry.RetryAt(at, counter):
                self._counters.count(counter)
                self._schedule_at(at, gen)
            case errors.Refusal() as refusal:
                if not gen.may_have_run:
                    refusal = refusal._replace(ran=errors.Ran.NO)
                self._refuse(gen, refusal)

    def _schedule_at(self, at: float, gen: generation.Generation) -> None:
        if at >= gen.call.deadline:
            refusal = errors.Refusal(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                "The next attempt would start after the deadline.",
            )
            self._refuse(gen, refusal)
            return
        delay = max(0.0, at - self._clock.now())
        self._reactor.callLater(delay, self._schedule, gen)

    def _finish(
        self, gen: generation.Generation, sample: outcomes.Sample
    ) -> None:
        self._active.pop(gen.call.request_id, None)
        self._counters.count("answered.model")
        self._counters.count("tokens", sample.tokens)
        self._answer_handler(gen.call.model, sample.tokens)
        if sample.first_token_s is not None:
            self._counters.timing("first_token", sample.first_token_s)
        if sample.token_gap_s is not None:
            self._counters.timing("token_gap", sample.token_gap_s)
        gen.answer.finish()

    def _refuse(
        self, gen: generation.Generation, refusal: errors.Refusal
    ) -> None:
        if gen.may_have_run:
            refusal = retry.with_unknown_execution(refusal)
        self._active.pop(gen.call.request_id, None)
        self._counters.count(refusal.counter)
        logging.info(
            "event=refused request=%s kind=%s engine=%s attempt=%d detail=%r",
            gen.call.request_id,
            refusal.kind.value,
            gen.engine,
            gen.attempt,
            refusal.detail,
        )
        gen.answer.refuse(refusal)

    def _on_tick(self) -> None:
        now = self._clock.now()
        for gen in list(self._active.values()):
            gen.tick(now)
        wake_at = self._admission.wake_at(now)
        if wake_at is not None and now >= wake_at:
            self._process_queue()
        if not self._active:
            # Ticks would use most of an idle node's CPU budget for control.
            self._tick_loop.stop()

    def _process_queue(self) -> None:
        """Sends the calls that admission admits; refuses those it drops."""
        for item in self._admission.next(self._clock.now()):
            gen = self._active.get(item.call.request_id)
            match item:
                case admission_lib.Admitted(engine=engine) if gen:
                    self._send_queued(gen, engine)
                case admission_lib.Dropped(refusal=refusal) if gen:
                    self._refuse(gen, refusal)
