"""The engine controllers and planners that this node runs."""

from collections.abc import Iterable

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.relay import adapter_references
from azureline.relay import claims
from azureline.relay import engine_controller
from azureline.relay import granter
from azureline.relay import keys
from azureline.relay import load_rate_limit
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planning
from azureline.relay import reservations
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import store_session
from azureline.util import supervision

# Interval between two checks of claims, orders and plans.
_CHECK_INTERVAL_S = 0.2


class Controllers:
    """Runs this node's engine controllers and planners."""

    def __init__(
        self,
        dependencies: engine_controller.ControllerDependencies,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        table: routes.RouteTable,
        peers: peers_lib.Peers,
        session: store_session.StoreSession,
        ceiling: load_rate_limit.LoadWindowLimit,
    ):
        """Creates an instance without controllers.

        Args:
          dependencies: objects shared by the node's controllers.
          clock: monotonic clock.
          catalogue: the known backend servers.
          table: source of the configuration in force.
          peers: the other nodes.
          session: this node's store session.
          ceiling: rate limit of loads from the weight store.
        """
        self._dependencies = dependencies
        self._clock = clock
        self._catalogue = catalogue
        self._table = table
        self._peers = peers
        self._store_session = session
        self._claim_schedule = claims.ClaimSchedule(dependencies.node)
        self._controllers: dict[str, engine_controller.EngineController] = {}
        self._planning = planning.Planning(
            clock,
            catalogue,
            peers,
            dependencies.eligibility.limits,
            ceiling,
            dependencies.log,
            dependencies.counters,
        )
        supervisor = supervision.Supervisor(
            dependencies.counters, dependencies.log
        )
        self._loop = task.LoopingCall(
            supervisor.guarded("controllers", self.step)
        )
        self._loop.clock = dependencies.reactor
        session.on_lost(self._resource_lost)
        peers.on(messages.PlannedModels, self._target_received)
        peers.on(messages.ReservationRelease, self._release_received)

    def start(self) -> None:
        """Starts the periodic checks of claims, orders and plans."""
        self._loop.start(_CHECK_INTERVAL_S, now=False)

    def idle_ms(self) -> dict[str, int]:
        """Returns milliseconds since the last order, by engine ID."""
        now = self._clock.now()
        return {
            name: controller.idle_ms(now)
            for name, controller in self._controllers.items()
        }

    def close(self) -> None:
        """Stops the checks and closes all controllers."""
        if self._loop.running:
            self._loop.stop()
        for controller in self._controllers.values():
            controller.close()
        self._controllers = {}

    def reserve(
        self,
        request: messages.ReservationRequest,
        reference: adapter_references.ReferenceKey,
    ) -> defer.Deferred[reservations.ReservationResult] | None:
        """Passes a reservation request to the engine's controller.

        Returns None if this node does not control the engine.
        """
        controller = self._controllers.get(request.server_id)
        if controller is None:
            return None
        return controller.reserve(request, reference)

    def standing(self, server_id: str) -> granter.Standing:
        """Returns this node's standing as the lease holder of a server."""
        term = self._store_session.held_terms.get(server_id)
        if term is None:
            return granter.Standing.NONE
        # Calls that an earlier lease holder booked may still be sent.
        settled_at = term.alone_from_s + granter.HORIZON_S
        if (
            self._store_session.is_alone(server_id)
            and self._clock.now() >= settled_at
        ):
            return granter.Standing.CERTAIN
        return granter.Standing.UNCERTAIN

    def entry_updated(self, server: servers.BackendServer) -> None:
        """Applies a newer entry of an engine."""
        controller = self._controllers.get(server.server_id)
        if controller is None:
            return
        if controller.server.born_ms != server.born_ms:
            # The engine restarted, so the accounting of the previous process
            # does not apply.
            self._drop_controller(server.server_id)
            self._create_controllers()
        else:
            controller.update(server)

    def apply_load(self, load: messages.EngineLoad) -> None:
        """Applies the load that a lease holder published for its engine."""
        self._planning.load(load)

    def apply_state(self, state: messages.EngineState) -> None:
        """Applies the state that a lease holder published for its engine."""
        self._planning.state(state)

    def entry_removed(self, server_id: str) -> None:
        """Drops the controller of an engine whose entry was removed."""
        self._drop_controller(server_id)

    def step(self) -> None:
        """Claims resources, sends pending orders and plans."""
        now = self._clock.now()
        engines = {s.server_id: s for s in self._engines()}
        limited = {
            server_id
            for (server_id, _), _ in self._dependencies.eligibility.limits
            if self._catalogue.get(server_id) is not None
        }
        wanted = [
            *engines,
            *(limited - engines.keys()),
            *(keys.PLANNER + s for s in self._services()),
        ]
        held = {
            name: record.node
            for name, record in self._peers.holders.items()
            if not self._is_of_earlier_process(record)
        }
        due = self._claim_schedule.resources_to_claim(
            wanted, held, self._peers.last_turns, self._peers.nodes, now
        )
        for name in due:
            self._store_session.claim(
                name, urgent=name.startswith(keys.PLANNER)
            )
        self._create_controllers()
        for controller in list(self._controllers.values()):
            controller.step()
        self._plan(now)

    def _is_of_earlier_process(self, record: keys.HolderRecord) -> bool:
        """Returns whether an earlier process of this VM is the lease holder."""
        return (
            record.node == self._dependencies.node
            and record.identity != self._store_session.identity
        )

    def _create_controllers(self) -> None:
        for name, turn in self._store_session.held_terms.items():
            server = self._catalogue.get(name)
            if name in self._controllers or server is None:
                continue
            kind = self._kind(server.service)
            if kind is None:
                continue
            self._controllers[name] = engine_controller.EngineController(
                self._dependencies,
                server,
                kind,
                turn,
                lambda name=name: self._store_session.may_send_orders(name),
            )

    def _plan(self, now: float) -> None:
        held = self._store_session.held_terms
        for service in self._services():
            name = keys.PLANNER + service
            kind = self._kind(service)
            if name in held and kind is not None:
                plan = held[name].token
                self._planning.plan(service, kind, plan, now)
            else:
                self._planning.cease(service)

    def _resource_lost(self, name: str) -> None:
        self._drop_controller(name)

    def _drop_controller(self, name: str) -> None:
        controller = self._controllers.pop(name, None)
        if controller is not None:
            controller.close()

    def _target_received(
        self, target: messages.PlannedModels, host: str, port: int
    ) -> None:
        controller = self._controllers.get(target.server_id)
        if controller is not None:
            controller.set_target(target)

    def _release_received(
        self, release: messages.ReservationRelease, host: str, port: int
    ) -> None:
        controller = self._controllers.get(release.server_id)
        if controller is not None:
            controller.release(
                adapter_references.ReferenceKey(
                    host, port, release.reservation_id
                )
            )

    def _engines(self) -> Iterable[servers.BackendServer]:
        return [s for s in self._catalogue if self._kind(s.service)]

    def _services(self) -> list[str]:
        config = self._table.config
        if config is None:
            return []
        return [s.name for s in config.services.values() if s.engine]

    def _kind(self, service: str) -> routes.EngineSpec | None:
        config = self._table.config
        known = config.services.get(service) if config else None
        return known.engine if known else None
