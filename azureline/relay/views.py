"""Turns items of the platform's store into what this node believes."""

from collections.abc import Callable

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import entries
from azureline.platform import names
from azureline.platform import operator
from azureline.platform import store as store_lib
from azureline.relay import budget
from azureline.relay import duties as duties_lib
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import places as places_lib
from azureline.relay import residency as residencies
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import tenancy as tenancies
from azureline.util import events


class _Receiver:
    """Takes the items under one prefix."""

    def __init__(
        self,
        taken: Callable[[store_lib.Item], None],
        dropped: Callable[[str], None],
        listed: Callable[[set[str]], None],
        away: Callable[[], None],
        back: Callable[[], None],
    ):
        self._taken = taken
        self._dropped = dropped
        self._listed = listed
        self.away = away
        self.back = back

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Takes all items; others that were known are gone."""
        for item in items:
            self._taken(item)
        self._listed({item.key for item in items})

    def changed(self, item: store_lib.Item) -> None:
        """Takes an item that was written."""
        self._taken(item)

    def removed(self, key: str) -> None:
        """Learns that a key is gone."""
        self._dropped(key)


class StoreView:
    """Keeps the parts of a node up to date with the store."""

    def __init__(
        self,
        clock: clocks.Clock,
        table: routes.RouteTable,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        peers: peers_lib.Peers,
        tenancy: tenancies.Tenancy,
        duties: duties_lib.Duties,
        places: places_lib.Places,
        repeats: budget.RepeatBudget,
        log: events.Log,
        counters: metrics.Counters,
    ):
        """Creates a view that has seen nothing."""
        self._clock = clock
        self._table = table
        self._catalogue = catalogue
        self._residency = residency
        self._peers = peers
        self._tenancy = tenancy
        self._duties = duties
        self._places = places
        self._repeats = repeats
        self._log = log
        self._counters = counters
        self.servers_known = False

    def receiver(self, prefix: str) -> _Receiver:
        """Returns what takes the items under a prefix."""
        match prefix:
            case names.OPERATOR_PREFIX:
                return _Receiver(
                    self._config, _ignore, _ignore, _nothing, _nothing
                )
            case names.SERVERS_PREFIX:
                return _Receiver(
                    self._server,
                    self._server_gone,
                    self._servers_listed,
                    self._catalogue.store_away,
                    lambda: self._catalogue.store_back(self._clock.now()),
                )
            case _:
                return _Receiver(
                    self._own,
                    self._own_gone,
                    self._own_listed,
                    _nothing,
                    _nothing,
                )

    def expire(self) -> None:
        """Forgets servers whose entries lapsed and were not renewed."""
        for server in self._catalogue.expire(self._clock.now()):
            self._forget(server)

    def _config(self, item: store_lib.Item) -> None:
        if item.key != names.CONFIG_KEY:
            return
        config = operator.decode(item.value)
        if isinstance(config, operator.Unreadable):
            self._counters.count("config.unreadable")
            self._log.error(
                "config_unreadable",
                where=config.where,
                reason=config.reason,
                revision=item.revision,
                version=self._table.version,
            )
            return
        if self._table.put_in_force(config):
            self._counters.count("config.in_force")
            self._log.info(
                "config_in_force",
                version=config.version,
                revision=item.revision,
                routes=len(config.routes),
            )

    def _server(self, item: store_lib.Item) -> None:
        entry = entries.decode(item.key, item.value)
        if isinstance(entry, operator.Unreadable):
            self._counters.count("servers.unreadable")
            self._log.warning(
                "server_unreadable", where=entry.where, reason=entry.reason
            )
            return
        known = self._catalogue.get(entry.server_id)
        self._catalogue.update(entry)
        if known is None or known.leaving != entry.leaving:
            self._log.info(
                "server",
                server=entry.server_id,
                service=entry.service,
                address=f"{entry.address.host}:{entry.address.port}",
                domain=entry.domain,
                leaving=entry.leaving,
                beat=entry.beat,
                models=[r.name for r in entry.models],
                in_memory=list(entry.in_memory),
                on_disk=list(entry.on_disk),
                revision=item.revision,
            )
        self._residency.entered(entry.server_id, self._clock.now())
        self._duties.updated(entry)
        self._places.changed()

    def _server_gone(self, key: str) -> None:
        server_id = entries.server_id(key)
        server = self._catalogue.remove(server_id, self._clock.now())
        if server is not None:
            self._forget(server)

    def _servers_listed(self, present: set[str]) -> None:
        ids = {entries.server_id(key) for key in present}
        for server in list(self._catalogue):
            if server.server_id not in ids:
                self._server_gone(names.SERVERS_PREFIX + server.server_id)
        self.servers_known = True

    def _forget(self, server: servers.BackendServer) -> None:
        self._log.info(
            "server_gone", server=server.server_id, service=server.service
        )
        self._residency.forget(server.server_id)
        self._duties.removed(server.server_id)

    def _own(self, item: store_lib.Item) -> None:
        if item.key.startswith(keys.NODES):
            record = keys.node_record(item.value)
            if record is not None:
                self._peers.set_node(record)
                self._repeats.set_nodes(len(self._peers.nodes))
        elif item.key.startswith(keys.HOLDERS):
            name = item.key.removeprefix(keys.HOLDERS)
            record = keys.holder_record(item.value)
            self._peers.set_holder(name, record)
            self._tenancy.taken(name, record, item.revision)

    def _own_gone(self, key: str) -> None:
        if key.startswith(keys.NODES):
            name = key.removeprefix(keys.NODES)
            self._peers.drop_node(name)
            self._repeats.set_nodes(len(self._peers.nodes))
            self._tenancy.node_removed(name)
        elif key.startswith(keys.HOLDERS):
            name = key.removeprefix(keys.HOLDERS)
            self._peers.set_holder(name, None)
            self._tenancy.taken(name, None, 0)

    def _own_listed(self, present: set[str]) -> None:
        for name in list(self._peers.nodes):
            if keys.NODES + name not in present:
                self._peers.drop_node(name)
        for name in list(self._peers.holders):
            if keys.HOLDERS + name not in present:
                self._peers.set_holder(name, None)
                self._tenancy.taken(name, None, 0)


def _ignore(_: object) -> None:
    return None


def _nothing() -> None:
    return None
