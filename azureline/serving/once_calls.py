"""Runs non-idempotent calls on the node that received them.

The node dispatches a call only after the owner of the call's slot has granted
it; see `azureline.at_most_once`.
"""

import random
from typing import Any
from typing import NamedTuple

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.at_most_once import entry_call
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import messages
from azureline.callers import site
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.serving import services as services_lib

TICK_S = 0.02
MAX_PENDING = 2048
_CONTENT_TYPE = "Content-Type"
_REPLIES = (
    messages.Granted,
    messages.InProgress,
    messages.Replay,
    messages.RanWithoutAnswer,
    messages.Refused,
    messages.NotOwner,
    messages.OutcomeTaken,
)


class _Pending(NamedTuple):
    call: entry_call.Call
    request: site.ServiceRequest
    done: defer.Deferred
    slot: int
    replayed: list[bool]


class OnceCalls:
    """Runs the entry node's part of each non-idempotent call."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        holder_of: Any,
        services: services_lib.Services,
        counters: metrics.Counters,
    ):
        """Creates an empty collection and subscribes to the replies.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of jitter.
          neighbours: sends messages to the owners of slots.
          holder_of: returns the node that owns a slot, by the slot's name, or
            "" if it is unknown.
          services: dispatches granted calls.
          counters: counts calls.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._holder_of = holder_of
        self._services = services
        self._counters = counters
        self._pending: dict[str, _Pending] = {}
        self._tick_loop = task.LoopingCall(self._on_tick)
        self._tick_loop.clock = reactor
        for cls in _REPLIES:
            neighbours.on_message(cls, self._on_reply)

    @property
    def active(self) -> int:
        """The number of calls not yet finished for the caller and the owner."""
        return len(self._pending)

    def on_holder_changed(self, name: str) -> None:
        """Handles a new holder of a slot."""
        now = self._clock.now()
        for pending in self._pending.values():
            if f"once/{pending.slot}" == name:
                pending.call.owner_changed(now)

    def on_caller_disconnected(self, request_id: str) -> None:
        """Handles a caller's disconnect; a call that is running continues."""
        pending = self._pending.get(request_id)
        if pending is not None:
            now = self._clock.now()
            self._apply(pending, pending.call.caller_disconnected(now))

    def close(self) -> None:
        """Stops the timer."""
        if self._tick_loop.running:
            self._tick_loop.stop()

    async def run(
        self, request: site.ServiceRequest
    ) -> site.ServiceAnswer | errors.Refusal:
        """Runs a call at most once for its idempotency key."""
        if len(self._pending) >= MAX_PENDING:
            return errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                f"{MAX_PENDING} non-idempotent calls are in flight here.",
            )
        now = self._clock.now()
        key = key_lib.parse(request.call.key, self._clock.wall())
        if isinstance(key, errors.Refusal):
            return key
        claim = messages.Claim(
            slot=key_lib.slot(request.call.caller, key.text),
            caller=request.call.caller,
            key=key.text,
            content=request.call.content,
            budget_s=request.call.deadline - now,
            node=self._neighbours.membership.name,
            request_id=request.call.request_id,
        )
        call = entry_call.Call(claim, now, self._rng)
        done: defer.Deferred = defer.Deferred()
        pending = _Pending(call, request, done, claim.slot, [])
        self._pending[claim.request_id] = pending
        if not self._tick_loop.running:
            self._tick_loop.start(TICK_S, now=False)
        self._counters.count("requests.once")
        self._apply(pending, call.start(now))
        return await done

    def _on_reply(self, sender: str, message: Any) -> None:
        pending = self._pending.get(message.request_id)
        if pending is None:
            return
        if isinstance(message, messages.Replay):
            pending.replayed.append(True)
        now = self._clock.now()
        self._apply(pending, pending.call.reply(now, message))

    def _on_tick(self) -> None:
        now = self._clock.now()
        for request_id, pending in list(self._pending.items()):
            if now >= pending.call.wake_at():
                self._apply(pending, pending.call.tick(now))
            if pending.call.done and pending.done.called:
                self._pending.pop(request_id, None)
        if not self._pending:
            # Ticks would use most of an idle node's CPU budget for control.
            self._tick_loop.stop()

    def _apply(
        self, pending: _Pending, effects: list[entry_call.Effect]
    ) -> None:
        for effect in effects:
            match effect:
                case entry_call.SendToOwner(message):
                    owner = self._holder_of(f"once/{message.slot}")
                    if owner:
                        self._neighbours.send(owner, message)
                case entry_call.Dispatch():
                    defer.ensureDeferred(self._dispatch(pending))
                case entry_call.Finish(result):
                    self._finish(pending, result)

    async def _dispatch(self, pending: _Pending) -> None:
        call = pending.call
        if not call.try_dispatch(self._clock.now()):
            return
        result = await self._services.call_non_idempotent(pending.request)
        now = self._clock.now()
        match result:
            case site.ServiceAnswer(status, content_type, body):
                headers = ((_CONTENT_TYPE, content_type),)
                answer = messages.Answer(status, headers, body)
                effects = call.ran(now, answer)
            case services_lib.NotStarted(refusal):
                effects = call.not_run(now, refusal)
            case services_lib.OutcomeUnknown(reason):
                logging.warning(
                    "event=outcome_unknown request=%s reason=%r",
                    pending.request.call.request_id,
                    reason,
                )
                effects = call.unknown(
                    now,
                    errors.Refusal(
                        errors.ErrorKind.MAY_HAVE_RUN,
                        "The backend server's answer was lost.",
                    ),
                )
        self._apply(pending, effects)

    def _finish(
        self,
        pending: _Pending,
        result: messages.Answer | errors.Refusal,
    ) -> None:
        if pending.done.called:
            return
        if isinstance(result, errors.Refusal):
            pending.done.callback(result)
            return
        self._counters.count("answered.once")
        content_type = dict(result.headers).get(_CONTENT_TYPE, "")
        pending.done.callback(
            site.ServiceAnswer(
                result.status,
                content_type,
                result.body,
                bool(pending.replayed),
            )
        )
