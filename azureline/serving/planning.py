"""Reports demand from each node; runs the planner on its slot's owner."""

from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline import requests
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.fleet import demand_aggregation
from azureline.fleet import directory as directories
from azureline.fleet import engine_messages
from azureline.fleet import limits
from azureline.fleet import membership as membership_lib
from azureline.fleet import planner as planner_lib
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.serving import slot_manager

INITIAL_ANSWER_TOKENS = 128.0
ANSWER_TOKENS_SMOOTHING = 0.05


class Planning:
    """Reports this node's demand; plans while the node owns the slot."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        neighbours: neighbours_lib.Neighbours,
        directory: directories.Directory,
        slots: slot_manager.SlotManager,
        counters: metrics.Counters,
    ):
        """Subscribes to reports, results of moves and share requests.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: carries reports and requests.
          directory: the addresses and states of engines.
          slots: the owners of slots.
          counters: counts moves.
        """
        self._reactor = reactor
        self._clock = clock
        self._neighbours = neighbours
        self._directory = directory
        self._slots = slots
        self._counters = counters
        self._aggregator = demand_aggregation.DemandAggregator(
            neighbours.membership.name
        )
        self._config: schema.Configuration | None = None
        self._model_names: list[str] = []
        self._indices: dict[str, int] = {}
        self._answer_tokens: dict[str, float] = {}
        self._planner: planner_lib.Planner | None = None
        self._report_loop = task.LoopingCall(self._report)
        self._report_loop.clock = reactor
        neighbours.on_message(demand_aggregation.DemandReport, self._on_report)
        neighbours.on_message(engine_messages.MoveDone, self._on_done)
        neighbours.on_message(limits.ShareRequest, self._on_share_request)

    def configure(self, version: int, config: schema.Configuration) -> None:
        """Applies the configuration in force.

        Args:
          version: its version; reports of other versions are dropped.
          config: the configuration.
        """
        self._config = config
        self._model_names = sorted(config.models)
        self._indices = {name: i for i, name in enumerate(self._model_names)}
        self._aggregator.configure(self._clock.now(), version)
        if self._planner is not None:
            self._planner.post(planner_lib.Configure(config))
        if not self._report_loop.running:
            self._report_loop.start(demand_aggregation.PERIOD_S, now=False)

    def count_demand(self, call: requests.ModelCall) -> None:
        """Counts a call as demand, whether or not it is served later."""
        index = self._indices.get(call.model)
        if index is not None:
            expected_tokens = self._answer_tokens.get(
                call.model, INITIAL_ANSWER_TOKENS
            )
            self._aggregator.add_demand(
                index, min(expected_tokens, call.max_tokens)
            )

    def record_answer(self, model: str, tokens: int) -> None:
        """Updates the moving average of a model's answer length, in tokens."""
        mean_tokens = self._answer_tokens.get(model, INITIAL_ANSWER_TOKENS)
        self._answer_tokens[model] = mean_tokens + ANSWER_TOKENS_SMOOTHING * (
            tokens - mean_tokens
        )

    def acquired(self, name: str, epoch: int) -> None:
        """Starts the planner."""
        self.lost(name)
        max_transit_s = (
            planner_lib.MAX_REQUEST_TRAVEL_S + slot_manager.MAX_ORDER_LIFETIME_S
        )
        self._planner = planner_lib.Planner(
            self._reactor,
            epoch,
            self._slots.predecessor_done_at(name, epoch, max_transit_s),
            self._clock,
            self._peers(name),
            self._counters,
        )
        self._planner.start()
        self._planner.post(planner_lib.Configure(self._config))

    def renewed(self, name: str, until: float) -> None:
        """Does nothing: the planner checks the lease before each request."""

    def lost(self, name: str) -> None:
        """Stops the planner."""
        planner, self._planner = self._planner, None
        if planner is not None:
            planner.stop()

    def close(self) -> defer.Deferred[None]:
        """Stops reporting and planning."""
        if self._report_loop.running:
            self._report_loop.stop()
        planner, self._planner = self._planner, None
        return planner.stop() if planner else defer.succeed(None)

    def _peers(self, slot: str) -> planner_lib.FleetAccess:
        membership = self._neighbours.membership
        return planner_lib.FleetAccess(
            directory=self._directory,
            rates=self._rates,
            owner_of=self._slots.owner_of,
            send=self._neighbours.send,
            arrives_within_lease=lambda max_transit_s: self._slots.may_act(
                slot, max_transit_s
            ),
            reachable=lambda d: d not in membership.unreachable_domains,
        )

    def _rates(self) -> dict[str, float]:
        rates = self._aggregator.rates(self._clock.now())
        return {
            self._model_names[i]: rate
            for i, rate in rates.items()
            if i < len(self._model_names)
        }

    def _report(self) -> None:
        """Ends a period and sends its totals towards the planner."""
        report = self._aggregator.report(self._clock.now())
        planner = self._slots.holder(slot_manager.PLANNER_SLOT)
        own = self._neighbours.membership.name
        if not planner or planner == own:
            return
        target = demand_aggregation.report_target(own, self._nodes(), planner)
        self._neighbours.send(target, report)

    def _nodes(self) -> list[demand_aggregation.ReportingNode]:
        membership = self._neighbours.membership
        nodes = [
            demand_aggregation.ReportingNode(m.name, m.info.domain)
            for m in membership.members
            if m.state is not membership_lib.State.DEAD
        ]
        nodes.append(
            demand_aggregation.ReportingNode(
                membership.name, membership.info.domain
            )
        )
        return nodes

    def _on_report(
        self, sender: str, report: demand_aggregation.DemandReport
    ) -> None:
        if not self._aggregator.add_report(self._clock.now(), report):
            self._counters.count("demand.other_configuration")

    def _on_done(self, sender: str, done: engine_messages.MoveDone) -> None:
        if self._planner is not None:
            self._planner.post(planner_lib.MoveReply(done))

    def _on_share_request(
        self, sender: str, request: limits.ShareRequest
    ) -> None:
        if self._planner is not None:
            self._planner.post(planner_lib.ShareRequested(sender, request))
