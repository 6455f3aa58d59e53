"""Engine controller: sends the orders of one engine, one at a time.

The node that holds an engine's lease runs its controller.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import entries
from azureline.platform import orders as order_calls
from azureline.platform import site_config
from azureline.relay import adapter_references
from azureline.relay import claims
from azureline.relay import eligibility as eligibilities
from azureline.relay import engine_memory
from azureline.relay import messages
from azureline.relay import orders
from azureline.relay import prefill
from azureline.relay import report_pace
from azureline.relay import requests
from azureline.relay import reservations
from azureline.relay import routes
from azureline.relay import send_counts
from azureline.relay import servers
from azureline.util import events
from azureline.util import http1
from azureline.util import http1_client

# Engines answer orders within milliseconds; an unanswered order is sent again.
_ORDER_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.8
# Nodes treat a lease holder that does not reply within 0.6 s as failed, and
# controllers run a step every 0.2 s, so a reservation request has to be
# answered earlier.
_ADAPTER_WAIT_S = 0.35
# If a model order needs longer than this, adapter reservations are denied:
# another engine may be free.
_MAX_BUSY_WAIT_S = 0.25
# Idle times are capped here; longer ones make no difference to the next lease
# holder.
_MAX_IDLE_S = 60.0
# A smaller change of the prompt reading share changes no routing decision.
_MIN_READING_CHANGE_PERCENT = 10


class ControllerDependencies(NamedTuple):
    """Dependencies that all engine controllers of a node share.

    Attributes:
      reactor: the Twisted reactor.
      clock: monotonic clock.
      client: HTTP client.
      read_tokens_per_s: prompt tokens that an engine reads per second.
      node: name of this VM.
      counters: counts orders by outcome.
      log: event log; receives one entry per order.
      publish: publishes an engine's state or load to all nodes.
      eligibility: engines that asked this node for a pause or name a limit.
      record_call: called with each report and order that is sent, and its
        engine.
      on_response_head: called with the head of each response of an engine and
        the monotonic time, in seconds, at which the call was sent.
    """

    reactor: Any
    clock: clocks.Clock
    client: http1_client.Client
    read_tokens_per_s: float
    node: str
    counters: metrics.Counters
    log: events.Log
    publish: Callable[[messages.EngineState | messages.EngineLoad], None]
    eligibility: eligibilities.Eligibility
    record_call: Callable[[servers.BackendServer, send_counts.Kind], None]
    on_response_head: Callable[[servers.BackendServer, http1.Head, float], None]


class _PendingReservation(NamedTuple):
    adapter: engine_memory.Adapter
    request: messages.ReservationRequest
    reference: adapter_references.ReferenceKey
    received_at: float
    reply: defer.Deferred[reservations.ReservationResult]


class EngineController:
    """Controls one engine: memory accounting, target and reservations."""

    def __init__(
        self,
        dependencies: ControllerDependencies,
        server: servers.BackendServer,
        kind: routes.EngineSpec,
        term: claims.Term,
        may_send_orders: Callable[[], bool],
    ):
        """Creates a controller that has not sent an order.

        Args:
          dependencies: objects shared by the node's controllers.
          server: the engine's entry in the store.
          kind: configuration of the engines of its service.
          term: this node's term as lease holder of the engine.
          may_send_orders: returns whether an order may be sent now.
        """
        self._dependencies = dependencies
        self._server = server
        self._token = term.token
        self._orders_from = term.from_s
        self._may_send_orders = may_send_orders
        self.memory = engine_memory.EngineMemory(
            server, kind, dependencies.clock.now()
        )
        self._prefill = prefill.PrefillQueue(
            dependencies.read_tokens_per_s, kind.cache_tokens
        )
        self._pending: list[_PendingReservation] = []
        self._adapter_references = adapter_references.AdapterReferences()
        self._closed = False
        self._order_in_flight = False
        self._report_in_flight = False
        self._reported_at = float("-inf")
        # An earlier process of this VM may have sent orders until now.
        self._ordered_at = dependencies.clock.now()
        self._plan_number = -1
        self._published: messages.EngineState | None = None
        self._next_serial = 0
        self._request_count = 0
        self._reading_percent = 0

    @property
    def server(self) -> servers.BackendServer:
        """The engine's latest entry."""
        return self._server

    def update(self, server: servers.BackendServer) -> None:
        """Applies a newer entry of the same engine process."""
        self._server = server
        now = self._dependencies.clock.now()
        if server.in_memory or server.on_disk:
            self.memory.set_copies(server.in_memory, server.on_disk)
        self.memory.apply_entry(server.models, now)
        # Publishes the state again, because nodes prefer an entry that is much
        # newer than the last published state.
        self._published = None
        self.step()

    def idle_ms(self, now: float) -> int:
        """Returns milliseconds since the last order, at most 60 s."""
        return int(min(now - self._ordered_at, _MAX_IDLE_S) * 1000)

    def set_target(self, target: messages.PlannedModels) -> None:
        """Sets the models that the engine should hold.

        Ignores targets of an older plan or of another engine process.
        """
        if (
            target.born_ms != self._server.born_ms
            or target.plan < self._plan_number
        ):
            return
        if target.plan > self._plan_number:
            now = self._dependencies.clock.now()
            ready_at = now + target.ready_ms / 1000
            self.memory.set_target(target.models, ready_at)
        self._plan_number = target.plan
        self.step()

    def reserve(
        self,
        request: messages.ReservationRequest,
        reference: adapter_references.ReferenceKey,
    ) -> defer.Deferred[reservations.ReservationResult]:
        """Replies to a reservation request once its adapter is loading.

        A request without an adapter is answered at once.
        """
        now = self._dependencies.clock.now()
        if not request.adapter:
            return defer.succeed(
                self._reserve_prompt(request, reference, 0.0, now)
            )
        adapter = engine_memory.Adapter(request.model, request.adapter)
        left = self.memory.adapter_ready(adapter, now)
        if left is not None:
            return defer.succeed(
                self._reserve_prompt(request, reference, left, now)
            )
        if not self._may_send_orders():
            return defer.succeed(self._orders_not_allowed(now))
        pending = _PendingReservation(
            adapter, request, reference, now, defer.Deferred()
        )
        self._pending.append(pending)
        self.step()
        return pending.reply

    def release(self, reference: adapter_references.ReferenceKey) -> None:
        """Releases the adapter reference of a request that has ended."""
        self._adapter_references.remove(reference)

    def _orders_not_allowed(self, now: float) -> reservations.ReservationResult:
        """Denies a reservation while this node may not send orders."""
        wait_s = max(0.0, self._orders_from - now)
        return reservations.ReservationResult(
            False, wait_s, reason="no right to order"
        )

    def _reserve_prompt(
        self,
        request: messages.ReservationRequest,
        reference: adapter_references.ReferenceKey,
        wait_s: float,
        now: float,
    ) -> reservations.ReservationResult:
        """Reserves a prompt's queue slot if the backlog is short enough."""
        prompt = prefill.Prompt(
            f"{request.model}/{request.adapter}",
            request.tokens,
            tuple(requests.PromptPart(*part) for part in request.shared),
            request.read_time_percent / 100,
        )
        backlog_s = self._prefill.wait_s(prompt, now)
        if backlog_s > request.max_backlog_ms / 1000:
            return reservations.ReservationResult(
                False, wait_s, backlog_s, "prompts wait"
            )
        if request.adapter:
            self._adapter_references.add(
                reference, request.model, request.adapter, now
            )
        nominal_s = self._prefill.nominal_s(prompt)
        wait_s = max(wait_s, self._prefill.reserve(prompt, now))
        return reservations.ReservationResult(
            True, wait_s, backlog_s, reading_s=nominal_s
        )

    def step(self) -> None:
        """Answers reservations, publishes state and sends the next order.

        Only one order is in flight at a time.
        """
        if self._closed:
            return
        now = self._dependencies.clock.now()
        self._answer_pending(now)
        self._publish_state(now)
        if self._order_in_flight or self._pause_left(now) > 0:
            return
        report_interval_s = report_pace.interval_s(self._request_count)
        if (
            self.memory.needs_report(now)
            or now - self._reported_at > report_interval_s
        ):
            self._request_report(now)
        order = self._select_order(now)
        if order is not None and self._may_send_orders():
            self._send(order, now)

    def _pause_left(self, now: float) -> float:
        """Returns seconds until the pause that the engine asked for ends."""
        until = self._dependencies.eligibility.paused_until(self._server, now)
        return 0.0 if until is None else until - now

    def _forward_head(
        self, answer: http1.Answer | http1.Failure, sent_at: float
    ) -> None:
        if isinstance(answer, http1.Answer):
            self._dependencies.on_response_head(
                self._server, answer.head, sent_at
            )

    def close(self) -> None:
        """Sends no more orders, and denies all pending reservation requests."""
        self._closed = True
        for pending in self._pending:
            pending.reply.callback(
                reservations.ReservationResult(False, reason="holder ended")
            )
        self._pending = []

    def _select_order(self, now: float) -> orders.Order | None:
        if self.memory.open_order is not None:
            return self.memory.next_order()
        in_use = self._adapter_references.in_use(now)
        for pending in self._pending:
            order = self.memory.adapter_order(pending.adapter, now, in_use)
            if order is not None:
                return order
        return self.memory.next_order()

    def _send(self, order: orders.Order, now: float) -> None:
        self._order_in_flight = True
        self._dependencies.record_call(self._server, send_counts.Kind.ORDER)
        self._ordered_at = now
        self.memory.record_sent(order)
        if order.verb is orders.Verb.UNLOAD and not order.adapter:
            self._prefill.evict_model(order.model)
        # Published first, so that nodes stop sending requests to a model
        # before the engine unloads it.
        self._publish_state(now)
        server = self._server
        request = order_calls.encode(
            order,
            server.server_id,
            self._dependencies.node,
            self._token,
            server.address,
        )
        call = self._dependencies.client.fetch(
            server.address, request, _ORDER_TIMEOUT_S
        )
        call.addCallback(self._order_answered, order, now)

    def _order_answered(
        self,
        answer: http1.Answer | http1.Failure,
        order: orders.Order,
        sent_at: float,
    ) -> None:
        self._order_in_flight = False
        self._forward_head(answer, sent_at)
        now = self._dependencies.clock.now()
        outcome = order_calls.parse_outcome(answer)
        self.memory.apply_outcome(order, outcome, now)
        self._dependencies.counters.count(f"orders.{outcome.value}")
        self._dependencies.log.info(
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
            self._publish_state(now)

    def _request_report(self, now: float) -> None:
        limit = self._dependencies.eligibility.limits.get(
            self._server.incarnation
        )
        min_interval_s = report_pace.min_interval_s(
            limit, bool(self.memory.models)
        )
        if self._report_in_flight or now - self._reported_at < min_interval_s:
            return
        self._report_in_flight = True
        self._dependencies.record_call(self._server, send_counts.Kind.REPORT)
        self._reported_at = now
        server = self._server
        request = order_calls.build_report_request(
            server.address, server.server_id
        )
        call = self._dependencies.client.fetch(
            server.address, request, _REPORT_TIMEOUT_S
        )
        call.addCallback(self._report_received, now)

    def _report_received(
        self, answer: http1.Answer | http1.Failure, asked_at: float
    ) -> None:
        self._report_in_flight = False
        self._forward_head(answer, asked_at)
        if isinstance(answer, http1.Failure) or answer.head.status != 200:
            return
        report = entries.decode_report(answer.body)
        if isinstance(report, site_config.InvalidDocument):
            self._dependencies.log.warning(
                "report_unreadable",
                server=self._server.server_id,
                where=report.where,
                reason=report.reason,
            )
            return
        if report.born_ms != self._server.born_ms:
            return
        self._publish_load(report.running + report.queued)
        self.memory.set_copies(report.in_memory, report.on_disk)
        self.memory.apply_report(
            report.sequence,
            report.models,
            report.busy,
            asked_at - engine_memory.REPORT_LAG_S,
            self._dependencies.clock.now(),
        )
        self.step()

    def _answer_pending(self, now: float) -> None:
        still_pending = []
        for pending in self._pending:
            left = self.memory.adapter_ready(pending.adapter, now)
            if left is not None:
                pending.reply.callback(
                    self._reserve_prompt(
                        pending.request, pending.reference, left, now
                    )
                )
            elif pending.adapter.model not in self.memory.models:
                pending.reply.callback(
                    reservations.ReservationResult(False, reason="model absent")
                )
            elif (
                self.memory.busy
                and self.memory.remaining_s(now) > _MAX_BUSY_WAIT_S
            ):
                free_s = self.memory.remaining_s(now)
                pending.reply.callback(
                    reservations.ReservationResult(
                        False, free_s, reason="engine busy"
                    )
                )
            elif not self._may_send_orders():
                pending.reply.callback(self._orders_not_allowed(now))
            elif self._pause_left(now) > _ADAPTER_WAIT_S:
                left_s = self._pause_left(now)
                pending.reply.callback(
                    reservations.ReservationResult(
                        False, left_s, reason="engine pauses"
                    )
                )
            elif pending.received_at + _ADAPTER_WAIT_S < now:
                pending.reply.callback(
                    reservations.ReservationResult(False, reason="no place")
                )
            else:
                still_pending.append(pending)
        self._pending = still_pending

    def _publish_load(self, request_count: int) -> None:
        percent = int(
            self._prefill.reading_ratio(self._dependencies.clock.now()) * 100
        )
        changed = (
            abs(percent - self._reading_percent) >= _MIN_READING_CHANGE_PERCENT
        )
        if request_count != self._request_count or changed:
            self._request_count, self._reading_percent = request_count, percent
            self._dependencies.publish(
                messages.EngineLoad(
                    self._server.server_id, request_count, percent
                )
            )

    def _publish_state(self, now: float) -> None:
        model, left = self.memory.next_model(now)
        state = messages.EngineState(
            server_id=self._server.server_id,
            born_ms=self._server.born_ms,
            sequence=self.memory.sequence,
            models=self.memory.usable_models(now),
            loading=model,
            loading_ms=int(left * 1000),
            busy=self.memory.busy,
            orders_after_ms=int(max(0.0, self._orders_from - now) * 1000),
            turn=self._token,
            serial=self._next_serial,
        )
        published = self._published
        if published is not None and _without_volatile_fields(
            published
        ) == _without_volatile_fields(state):
            return
        self._published = state
        self._next_serial += 1
        self._dependencies.publish(state)


def _without_volatile_fields(
    state: messages.EngineState,
) -> messages.EngineState:
    """Returns a state without the fields that change continuously."""
    return state._replace(
        loading_ms=0,
        sequence=0,
        orders_after_ms=state.orders_after_ms > 0,
        serial=0,
    )
