"""All generations of one node: admission, retries and suspicion together."""

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
from azureline.serving import adapters as adapters_lib
from azureline.serving import generation

TICK_S = 0.05
LANE_RETRY_S = 0.2


class Generations:
    """Owns the generations of a node from arrival to final answer."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        admission: admission_lib.Admission,
        retries: retry.Retries,
        suspects: suspects_lib.Suspects,
        directory: directories.Directory,
        adapters: adapters_lib.Adapters,
        backends: http.BackendClient,
        counters: metrics.Counters,
        settings: stream.Settings = stream.DEFAULTS,
    ):
        """Creates an empty collection.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          admission: decides when each call is sent, and where.
          retries: decides on failed attempts.
          suspects: knows the requests that crash engines.
          directory: says where engines are.
          adapters: has adapters loaded before calls are sent.
          backends: sends to engines.
          counters: counts refusals and retries by reason.
          settings: settings of the relays.
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
        self._active: dict[str, generation.Generation] = {}
        self._ended_runs: dict[str, str] = {}
        self._on_suspects: Callable[[], None] = lambda: None
        self._on_answered: Callable[[str, int], None] = lambda m, n: None
        self._ticker = task.LoopingCall(self._on_tick)
        self._ticker.clock = reactor

    @property
    def active(self) -> int:
        """The number of generations that have no final answer yet."""
        return len(self._active)

    def on_suspects(self, handler: Callable[[], None]) -> None:
        """Has `handler` called when there are new suspects."""
        self._on_suspects = handler

    def on_answered(self, handler: Callable[[str, int], None]) -> None:
        """Has the model and tokens of each whole answer handed over."""
        self._on_answered = handler

    def close(self) -> None:
        """Stops the timer."""
        if self._ticker.running:
            self._ticker.stop()

    def begin(
        self,
        call: requests.ModelCall,
        messages: list[dict[str, str]],
        answer: generation.Answer,
    ) -> None:
        """Takes a call; its answer is finished or refused in the end."""
        gen = generation.Generation(
            self,
            call,
            messages,
            answer,
            self._backends,
            self._clock,
            self._settings,
        )
        self._active[call.request_id] = gen
        if not self._ticker.running:
            self._ticker.start(TICK_S, now=False)
        self._counters.count("requests.model")
        self._place(gen)

    def engine_restarted(self, engine: str, incarnation: str) -> None:
        """Learns that the run of an engine with this incarnation has died."""
        if self._ended_runs.get(engine) == incarnation:
            return
        self._ended_runs[engine] = incarnation
        self._suspects.crashed(self._clock.wall(), engine, incarnation)
        self._counters.count("engines.crashed")
        self._on_suspects()
        for gen in list(self._active.values()):
            if gen.engine == engine:
                gen.engine_lost()

    def engine_gone(self, engine: str) -> None:
        """Learns that no process listens where an engine was."""
        incarnation = self._directory.incarnation(engine)
        logging.warning(
            "event=engine_gone engine=%s incarnation=%s", engine, incarnation
        )
        self.engine_restarted(engine, incarnation)

    def refresh(self, models: list[str]) -> None:
        """Takes over the directory's present replicas of these models."""
        for model in models:
            self._admission.set_candidates(
                model, self._directory.candidates(model)
            )
        self._pump()

    def attempt_ended(
        self, gen: generation.Generation, ended: generation.Ended
    ) -> None:
        """Ends a call, or sends it again."""
        self._release(gen.call, gen.engine, ended.sample, ended.hint)
        if ended.sample.outcome is outcomes.Outcome.WHOLE:
            self._finish(gen, ended.sample)
        elif ended.refusal is not None:
            self._refuse(gen, ended.refusal)
        else:
            self._failed(gen, ended.reason)
        self._pump()

    def observed(
        self,
        gen: generation.Generation,
        first_token_s: float | None,
        token_gap_s: float | None,
    ) -> None:
        """Learns how fast an engine answers a call in flight."""
        self._admission.observed(
            self._clock.now(), gen.call.request_id, first_token_s, token_gap_s
        )
        if first_token_s is not None and self._admission.waiting:
            self._pump()

    def caller_left(self, gen: generation.Generation) -> None:
        """Drops a call that waits."""
        self._admission.cancel(gen.call.request_id)
        self._counters.count("refused.caller_gone")
        self._active.pop(gen.call.request_id, None)

    def _place(self, gen: generation.Generation) -> None:
        """Offers a call to admission unless it is gone or suspected."""
        if gen.call.request_id not in self._active:
            return
        match self._verdict(gen):
            case suspects_lib.Clear():
                self._offer(gen, tuple(gen.tried))
            case suspects_lib.Quarantine(server):
                self._claim(gen, server)
            case suspects_lib.Wait(until):
                self._counters.count("suspects.held")
                wait_s = until - self._clock.wall()
                self._later(self._clock.now() + wait_s, gen)
            case errors.Refusal() as refusal:
                self._refuse(gen, refusal)

    def _verdict(
        self, gen: generation.Generation
    ) -> (
        suspects_lib.Clear
        | suspects_lib.Quarantine
        | suspects_lib.Wait
        | errors.Refusal
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

    def _claim(self, gen: generation.Generation, server: str) -> None:
        """Sends a suspect to its own engine, or tries again soon."""
        now = self._clock.now()
        if self._admission.claim(now, gen.call, server) is None:
            self._later(now + LANE_RETRY_S, gen)
        else:
            self._send(gen, server)

    def _offer(
        self, gen: generation.Generation, avoid: tuple[str, ...]
    ) -> None:
        match self._admission.offer(self._clock.now(), gen.call, avoid):
            case admission_lib.Admitted(engine=engine, reason=reason):
                self._counters.count(f"picked.{reason}")
                self._send(gen, engine)
            case admission_lib.Queued():
                self._counters.count("requests.queued")
            case errors.Refusal() as refusal:
                self._refuse(gen, refusal)

    def _send(self, gen: generation.Generation, engine: str) -> None:
        if gen.attempt == 0:
            self._retries.sent_first()
        self._suspects.started(engine, gen.call)
        url = self._directory.url(engine)

        def loaded(ready: bool) -> None:
            if gen.call.request_id not in self._active:
                self._give_back(gen, engine)
            elif ready:
                gen.send(engine, url)
            else:
                gen.skip(engine, retry.Reason.BUSY)

        self._adapters.ensure(engine, gen.call.adapter, loaded)

    def _send_waited(self, gen: generation.Generation, engine: str) -> None:
        """Sends a call that has waited, unless it is a suspect by now."""
        if isinstance(self._verdict(gen), suspects_lib.Clear):
            self._send(gen, engine)
            return
        self._give_back(gen, engine)
        self._place(gen)

    def _give_back(self, gen: generation.Generation, engine: str) -> None:
        """Gives up a place at an engine to which nothing was sent."""
        unused = outcomes.Sample(outcomes.Outcome.CANCELLED, 0.0)
        self._release(gen.call, engine, unused, None)

    def _release(
        self,
        call: requests.ModelCall,
        engine: str,
        sample: outcomes.Sample,
        hint: loads.LoadHint | None,
    ) -> None:
        """Tells the decisions that a call is no longer at an engine."""
        now, wall = self._clock.now(), self._clock.wall()
        whole = sample.outcome is outcomes.Outcome.WHOLE
        self._admission.done(now, call.request_id, sample, hint)
        self._suspects.finished(wall, engine, call, whole)

    def _failed(
        self, gen: generation.Generation, reason: retry.Reason | None
    ) -> None:
        now = self._clock.now()
        reason = reason or retry.Reason.STREAM_GONE
        if gen.call.adapter:
            self._adapters.forget(gen.engine, gen.call.adapter)
        decided = self._retries.decide(
            now, gen.call.deadline, gen.attempt, reason
        )
        match decided:
            case retry.RetryAt(at, counter):
                self._counters.count(counter)
                self._later(at, gen)
            case errors.Refusal() as refusal:
                if not gen.may_have_run:
                    refusal = refusal._replace(ran=errors.Ran.NO)
                self._refuse(gen, refusal)

    def _later(self, at: float, gen: generation.Generation) -> None:
        if at >= gen.call.deadline:
            late = errors.Refusal(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                "The next try would come after the deadline.",
            )
            self._refuse(gen, late)
            return
        delay = max(0.0, at - self._clock.now())
        self._reactor.callLater(delay, self._place, gen)

    def _finish(
        self, gen: generation.Generation, sample: outcomes.Sample
    ) -> None:
        self._active.pop(gen.call.request_id, None)
        self._counters.count("answered.model")
        self._counters.count("tokens", sample.tokens)
        self._on_answered(gen.call.model, sample.tokens)
        if sample.first_token_s is not None:
            self._counters.timing("first_token", sample.first_token_s)
        if sample.token_gap_s is not None:
            self._counters.timing("token_gap", sample.token_gap_s)
        gen.answer.finish()

    def _refuse(
        self, gen: generation.Generation, refusal: errors.Refusal
    ) -> None:
        if gen.may_have_run:
            refusal = retry.may_have_run(refusal)
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
            self._pump()
        if not self._active:
            # An idle node would spend most of its control budget on ticks.
            self._ticker.stop()

    def _pump(self) -> None:
        """Sends and drops what admission says."""
        for item in self._admission.next(self._clock.now()):
            gen = self._active.get(item.call.request_id)
            match item:
                case admission_lib.Admitted(engine=engine) if gen:
                    self._send_waited(gen, engine)
                case admission_lib.Dropped(refusal=refusal) if gen:
                    self._refuse(gen, refusal)
