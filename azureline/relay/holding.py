"""Gives the orders of one engine, one after another."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import entries
from azureline.platform import operator
from azureline.platform import orders as order_calls
from azureline.relay import asks
from azureline.relay import book as books
from azureline.relay import claims
from azureline.relay import eligibility as eligibilities
from azureline.relay import messages
from azureline.relay import orders
from azureline.relay import prefill
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import uses
from azureline.util import events
from azureline.util import http1

# Engines answer orders within milliseconds; one without an answer is given
# again.
_ORDER_S = 0.5
_REPORT_S = 0.8
# An adapter is not waited for longer: askers take a holder that says nothing
# for 0.6 s to be gone, and holders look after their engines every 0.2 s.
_ADAPTER_PATIENCE_S = 0.35
# Longer work on a model is not waited for: another engine may be free.
_BUSY_PATIENCE_S = 0.25
# Longer idleness makes no difference to a successor.
_LONG_IDLE_S = 60.0
# Reports are asked for no more often, as each costs a probe.
_REPORT_EVERY_S = 0.4
# Also without need, for the load figures that nodes route by.
_LOADED_EVERY_S = 0.9
_IDLE_EVERY_S = 2.5
# A smaller change of the time that an engine reads changes no decision.
_TELLING_PERCENT = 10


class Tools(NamedTuple):
    """What holders share.

    Attributes:
      reactor: the Twisted reactor.
      clock: source of time.
      client: owner of connections.
      read_tokens_per_s: tokens of prompts that an engine reads a second.
      node: name of this VM.
      counters: counts orders by outcome.
      log: takes a line for each order.
      tell: takes what all nodes shall know of an engine.
      eligibility: tells engines that asked this node for a pause.
      heard: takes the heads of engines' answers.
    """

    reactor: Any
    clock: clocks.Clock
    client: http1.Client
    read_tokens_per_s: float
    node: str
    counters: metrics.Counters
    log: events.Log
    tell: Callable[[messages.EngineState | messages.EngineLoad], None]
    eligibility: eligibilities.Eligibility
    heard: Callable[[servers.BackendServer, http1.Head], None]


class _Wish(NamedTuple):
    adapter: books.Adapter
    question: messages.EngineAsk
    user: uses.User
    since: float
    answer: defer.Deferred[asks.Answer]


class EngineHolder:
    """Holds one engine: its book, its target and the wishes for adapters."""

    def __init__(
        self,
        tools: Tools,
        server: servers.BackendServer,
        kind: routes.EngineKind,
        turn: claims.Turn,
        may_act: Callable[[], bool],
    ):
        """Creates a holder that has given no order.

        Args:
          tools: what holders share.
          server: the engine's entry.
          kind: what the engines of its service are like.
          turn: this node's turn.
          may_act: whether an order may be sent at this moment.
        """
        self._tools = tools
        self._server = server
        self._token = turn.token
        self._orders_from = turn.from_s
        self._may_act = may_act
        self.book = books.EngineBook(server, kind, tools.clock.now())
        self._prefill = prefill.PrefillBook(
            tools.read_tokens_per_s, kind.cache_tokens
        )
        self._wishes: list[_Wish] = []
        self._uses = uses.Uses()
        self._calling = False
        self._reporting = False
        self._reported_at = float("-inf")
        # An earlier process of this VM may have ordered until now.
        self._ordered_at = tools.clock.now()
        self._plan = -1
        self._told: messages.EngineState | None = None
        self._serial = 0
        self._load = 0
        self._reading_percent = 0

    @property
    def server(self) -> servers.BackendServer:
        """The engine's newest entry."""
        return self._server

    def update(self, server: servers.BackendServer) -> None:
        """Takes a newer entry of the same start of the engine."""
        self._server = server
        now = self._tools.clock.now()
        if server.in_memory or server.on_disk:
            self.book.copies(server.in_memory, server.on_disk)
        self.book.observe(server.models, now)
        # Told again, so that nodes prefer it to the entry.
        self._told = None
        self.step()

    def idle_ms(self, now: float) -> int:
        """Returns milliseconds since the last order was sent."""
        return int(min(now - self._ordered_at, _LONG_IDLE_S) * 1000)

    def set_target(self, target: messages.Target) -> None:
        """Takes the models that the engine shall hold."""
        if target.born_ms != self._server.born_ms or target.plan < self._plan:
            return
        if target.plan > self._plan:
            now = self._tools.clock.now()
            ready_at = now + target.ready_ms / 1000
            self.book.set_target(target.models, ready_at)
        self._plan = target.plan
        self.step()

    def wish(
        self, question: messages.EngineAsk, user: uses.User
    ) -> defer.Deferred[asks.Answer]:
        """Answers a request for room, once its adapter is on its way."""
        now = self._tools.clock.now()
        if not question.adapter:
            return defer.succeed(self._room(question, user, 0.0, now))
        adapter = books.Adapter(question.model, question.adapter)
        left = self.book.adapter_ready(adapter, now)
        if left is not None:
            return defer.succeed(self._room(question, user, left, now))
        if not self._may_act():
            return defer.succeed(self._barred(now))
        wish = _Wish(adapter, question, user, now, defer.Deferred())
        self._wishes.append(wish)
        self.step()
        return wish.answer

    def ended(self, user: uses.User) -> None:
        """Learns that a request that was granted an adapter has ended."""
        self._uses.end(user)

    def _barred(self, now: float) -> asks.Answer:
        """Answers a wish while this node may give no orders."""
        wait_s = max(0.0, self._orders_from - now)
        return asks.Answer(False, wait_s, reason="no right to order")

    def _room(
        self,
        question: messages.EngineAsk,
        user: uses.User,
        wait_s: float,
        now: float,
    ) -> asks.Answer:
        """Grants a prompt its place in the queue, if that is short enough."""
        prompt = prefill.Prompt(
            f"{question.model}/{question.adapter}",
            question.tokens,
            tuple(requests.PromptPart(*part) for part in question.shared),
            question.pace_percent / 100,
        )
        backlog_s = self._prefill.wait_s(prompt, now)
        if backlog_s > question.most_ms / 1000:
            return asks.Answer(False, wait_s, backlog_s, "prompts wait")
        if question.adapter:
            self._uses.begin(user, question.model, question.adapter, now)
        nominal_s = self._prefill.nominal_s(prompt)
        wait_s = max(wait_s, self._prefill.reserve(prompt, now))
        return asks.Answer(True, wait_s, backlog_s, reading_s=nominal_s)

    def step(self) -> None:
        """Sends the next order if there is one and none is on its way."""
        now = self._tools.clock.now()
        self._answer_wishes(now)
        self._tell(now)
        if self._calling or self._pause_left(now) > 0:
            return
        every_s = _LOADED_EVERY_S if self._load > 1 else _IDLE_EVERY_S
        if self.book.overdue(now) or now - self._reported_at > every_s:
            self._ask_report(now)
        order = self._next(now)
        if order is not None and self._may_act():
            self._send(order, now)

    def _pause_left(self, now: float) -> float:
        """Returns seconds in which the engine wants nothing of this node."""
        until = self._tools.eligibility.paused_until(self._server, now)
        return 0.0 if until is None else until - now

    def _hear(self, answer: http1.Answer | http1.Failed) -> None:
        if isinstance(answer, http1.Answer):
            self._tools.heard(self._server, answer.head)

    def close(self) -> None:
        """Ends the waiting for adapters."""
        for wish in self._wishes:
            wish.answer.callback(asks.Answer(False, reason="holder ended"))
        self._wishes = []

    def _next(self, now: float) -> orders.Order | None:
        if self.book.open_order is not None:
            return self.book.open_order
        in_use = self._uses.adapters(now)
        for wish in self._wishes:
            order = self.book.adapter_order(wish.adapter, now, in_use)
            if order is not None:
                return order
        return self.book.next_order()

    def _send(self, order: orders.Order, now: float) -> None:
        self._calling = True
        self._ordered_at = now
        self.book.sent(order)
        if order.verb is orders.Verb.UNLOAD and not order.adapter:
            self._prefill.forget(order.model)
        # Nodes stop sending to a model before it goes.
        self._tell(now)
        server = self._server
        request = order_calls.encode(
            order,
            server.server_id,
            self._tools.node,
            self._token,
            server.address,
        )
        calling = self._tools.client.fetch(server.address, request, _ORDER_S)
        calling.addCallback(self._answered, order)

    def _answered(
        self, answer: http1.Answer | http1.Failed, order: orders.Order
    ) -> None:
        self._calling = False
        self._hear(answer)
        now = self._tools.clock.now()
        outcome = order_calls.outcome(answer)
        self.book.answered(order, outcome, now)
        self._tools.counters.count(f"orders.{outcome.value}")
        self._tools.log.info(
            "order",
            server=self._server.server_id,
            verb=order.verb.value,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            token=self._token,
            outcome=outcome.value,
        )
        if outcome in (orders.Outcome.ACCEPTED, orders.Outcome.HOLDS):
            self.step()
        else:
            self._tell(now)

    def _ask_report(self, now: float) -> None:
        if self._reporting or now - self._reported_at < _REPORT_EVERY_S:
            return
        self._reporting = True
        self._reported_at = now
        server = self._server
        request = order_calls.report_request(server.address, server.server_id)
        asking = self._tools.client.fetch(server.address, request, _REPORT_S)
        asking.addCallback(self._report_came, now)

    def _report_came(
        self, answer: http1.Answer | http1.Failed, asked_at: float
    ) -> None:
        self._reporting = False
        self._hear(answer)
        if isinstance(answer, http1.Failed) or answer.head.status != 200:
            return
        report = entries.decode_report(answer.body)
        if isinstance(report, operator.Unreadable):
            self._tools.log.warning(
                "report_unreadable",
                server=self._server.server_id,
                where=report.where,
                reason=report.reason,
            )
            return
        if report.born_ms != self._server.born_ms:
            return
        self._tell_load(report.running + report.queued)
        self.book.copies(report.in_memory, report.on_disk)
        self.book.settle(
            report.sequence,
            report.models,
            report.busy,
            asked_at - books.REPORT_LAG_S,
            self._tools.clock.now(),
        )
        self.step()

    def _answer_wishes(self, now: float) -> None:
        waiting = []
        for wish in self._wishes:
            left = self.book.adapter_ready(wish.adapter, now)
            if left is not None:
                wish.answer.callback(
                    self._room(wish.question, wish.user, left, now)
                )
            elif wish.adapter.model not in self.book.models:
                wish.answer.callback(asks.Answer(False, reason="model absent"))
            elif self.book.busy and self.book.free_s(now) > _BUSY_PATIENCE_S:
                free_s = self.book.free_s(now)
                wish.answer.callback(
                    asks.Answer(False, free_s, reason="engine busy")
                )
            elif not self._may_act():
                wish.answer.callback(self._barred(now))
            elif self._pause_left(now) > _ADAPTER_PATIENCE_S:
                left_s = self._pause_left(now)
                wish.answer.callback(
                    asks.Answer(False, left_s, reason="engine pauses")
                )
            elif wish.since + _ADAPTER_PATIENCE_S < now:
                wish.answer.callback(asks.Answer(False, reason="no place"))
            else:
                waiting.append(wish)
        self._wishes = waiting

    def _tell_load(self, requests: int) -> None:
        percent = int(self._prefill.share(self._tools.clock.now()) * 100)
        changed = abs(percent - self._reading_percent) >= _TELLING_PERCENT
        if requests != self._load or changed:
            self._load, self._reading_percent = requests, percent
            self._tools.tell(
                messages.EngineLoad(self._server.server_id, requests, percent)
            )

    def _tell(self, now: float) -> None:
        model, left = self.book.upcoming(now)
        state = messages.EngineState(
            server_id=self._server.server_id,
            born_ms=self._server.born_ms,
            sequence=self.book.sequence,
            models=self.book.usable(now),
            coming=model,
            coming_ms=int(left * 1000),
            busy=self.book.busy,
            held_ms=int(max(0.0, self._orders_from - now) * 1000),
            turn=self._token,
            serial=self._serial,
        )
        told = self._told
        if told is not None and _lasting(told) == _lasting(state):
            return
        self._told = state
        self._serial += 1
        self._tools.tell(state)


def _lasting(state: messages.EngineState) -> messages.EngineState:
    """Returns a state without what changes all the time."""
    return state._replace(
        coming_ms=0, sequence=0, held_ms=state.held_ms > 0, serial=0
    )
