"""What this node holds: engines whose orders it gives, and planning."""

from collections.abc import Iterable

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.relay import allowance
from azureline.relay import asks
from azureline.relay import claims
from azureline.relay import holding
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planning
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import tenancy as tenancies
from azureline.relay import uses

# Between two looks at vacancies, overdue orders and plans.
_STEP_S = 0.2


class Duties:
    """Owns the holders of engines and the planners of this node."""

    def __init__(
        self,
        tools: holding.Tools,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        table: routes.RouteTable,
        peers: peers_lib.Peers,
        tenancy: tenancies.Tenancy,
        ceiling: allowance.Ceiling,
    ):
        """Creates duties that hold nothing."""
        self._tools = tools
        self._clock = clock
        self._catalogue = catalogue
        self._table = table
        self._peers = peers
        self._tenancy = tenancy
        self._vacancies = claims.Vacancies(tools.node)
        self._holders: dict[str, holding.EngineHolder] = {}
        self._planning = planning.Planning(
            clock, catalogue, peers, ceiling, tools.log, tools.counters
        )
        self._loop = task.LoopingCall(self.step)
        self._loop.clock = tools.reactor
        tenancy.on_lost(self._lost)
        peers.on(messages.Target, self._targeted)
        peers.on(messages.EngineDone, self._ended)

    def start(self) -> None:
        """Begins to look after vacancies and orders."""
        self._loop.start(_STEP_S, now=False)

    def idle_ms(self) -> dict[str, int]:
        """Returns milliseconds since the last order, by engine held here."""
        now = self._clock.now()
        return {
            name: holder.idle_ms(now) for name, holder in self._holders.items()
        }

    def close(self) -> None:
        """Gives nothing more."""
        if self._loop.running:
            self._loop.stop()
        for holder in self._holders.values():
            holder.close()
        self._holders = {}

    def wish(
        self, question: messages.EngineAsk, user: uses.User
    ) -> defer.Deferred[asks.Answer] | None:
        """Asks an engine held here for room; None if it is not held here."""
        holder = self._holders.get(question.server_id)
        if holder is None:
            return None
        return holder.wish(question, user)

    def updated(self, server: servers.BackendServer) -> None:
        """Learns that an engine's entry is newer."""
        holder = self._holders.get(server.server_id)
        if holder is None:
            return
        if holder.server.born_ms != server.born_ms:
            # Another start: the books of the one before say nothing of it.
            self._drop(server.server_id)
            self._hold_claimed()
        else:
            holder.update(server)

    def load(self, load: messages.EngineLoad) -> None:
        """Takes what a holder tells of its engine's load."""
        self._planning.load(load)

    def state(self, state: messages.EngineState) -> None:
        """Takes what a holder tells of its engine."""
        self._planning.state(state)

    def removed(self, server_id: str) -> None:
        """Learns that an engine is gone."""
        self._drop(server_id)

    def step(self) -> None:
        """Claims what is due, gives orders that are due, and plans."""
        now = self._clock.now()
        engines = {s.server_id: s for s in self._engines()}
        wanted = [*engines, *(keys.PLANNER + s for s in self._services())]
        held = {
            name: record.node
            for name, record in self._peers.holders.items()
            if not self._left_behind(record)
        }
        due = self._vacancies.due(
            wanted, held, self._peers.last_turns, self._peers.nodes, now
        )
        for name in due:
            self._tenancy.claim(name, urgent=name.startswith(keys.PLANNER))
        self._hold_claimed()
        for holder in list(self._holders.values()):
            holder.step()
        self._plan(now)

    def _left_behind(self, record: keys.HolderRecord) -> bool:
        """Returns whether an earlier process of this VM is the holder."""
        return (
            record.node == self._tools.node
            and record.identity != self._tenancy.identity
        )

    def _hold_claimed(self) -> None:
        for name, turn in self._tenancy.held.items():
            server = self._catalogue.get(name)
            if name in self._holders or server is None:
                continue
            kind = self._kind(server.service)
            if kind is None:
                continue
            self._holders[name] = holding.EngineHolder(
                self._tools,
                server,
                kind,
                turn,
                lambda name=name: self._tenancy.may_act(name),
            )

    def _plan(self, now: float) -> None:
        held = self._tenancy.held
        for service in self._services():
            name = keys.PLANNER + service
            kind = self._kind(service)
            if name in held and kind is not None:
                plan = held[name].token
                self._planning.plan(service, kind, plan, now)
            else:
                self._planning.cease(service)

    def _lost(self, name: str) -> None:
        self._drop(name)

    def _drop(self, name: str) -> None:
        holder = self._holders.pop(name, None)
        if holder is not None:
            holder.close()

    def _targeted(self, target: messages.Target, host: str, port: int) -> None:
        holder = self._holders.get(target.server_id)
        if holder is not None:
            holder.set_target(target)

    def _ended(self, done: messages.EngineDone, host: str, port: int) -> None:
        holder = self._holders.get(done.server_id)
        if holder is not None:
            holder.ended(uses.User(host, port, done.ask))

    def _engines(self) -> Iterable[servers.BackendServer]:
        return [s for s in self._catalogue if self._kind(s.service)]

    def _services(self) -> list[str]:
        config = self._table.config
        if config is None:
            return []
        return [s.name for s in config.services.values() if s.engine]

    def _kind(self, service: str) -> routes.EngineKind | None:
        config = self._table.config
        known = config.services.get(service) if config else None
        return known.engine if known else None
