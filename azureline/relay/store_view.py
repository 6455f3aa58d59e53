"""Applies items of the platform's store to the cached state of this node."""

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.platform import entries
from azureline.platform import names
from azureline.platform import site_config
from azureline.platform import store as store_lib
from azureline.relay import config_copy as config_copies
from azureline.relay import controllers as controllers_lib
from azureline.relay import crash_detection
from azureline.relay import keys
from azureline.relay import peers as peers_lib
from azureline.relay import residency as residencies
from azureline.relay import retry_budget as retry_budgets
from azureline.relay import routes
from azureline.relay import scheduler as scheduler_lib
from azureline.relay import server_notices
from azureline.relay import servers
from azureline.relay import service_versions
from azureline.relay import store_session
from azureline.relay import stream_versions
from azureline.relay import suspect_store
from azureline.util import events
from azureline.util import supervision

# Nodes whose records the store has forgotten write them again within this time.
_NODE_RENEWAL_S = 4.0
_CONFIG_KEYS = (names.CONFIG_KEY, keys.CONFIG_COPY)


class StoreView:
    """Distributes changes of the store to the components of a node.

    Attributes:
      servers_known: whether the store has been listed at least once.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        table: routes.RouteTable,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        peers: peers_lib.Peers,
        session: store_session.StoreSession,
        controllers: controllers_lib.Controllers,
        scheduler: scheduler_lib.Scheduler,
        retry_budget: retry_budgets.RetryBudget,
        crash_detector: crash_detection.CrashDetector,
        notices: server_notices.ServerNotices,
        suspects: suspect_store.SuspectStore,
        config_copy: config_copies.ConfigCopy,
        versions: service_versions.ServiceVersions,
        streams: stream_versions.StreamVersions,
        log: events.Log,
        counters: metrics.Counters,
    ):
        """Creates a view before the first listing."""
        self._clock = clock
        self._table = table
        self._catalogue = catalogue
        self._residency = residency
        self._peers = peers
        self._store_session = session
        self._controllers = controllers
        self._scheduler = scheduler
        self._retry_budget = retry_budget
        self._crash_detector = crash_detector
        self._notices = notices
        self._suspects = suspects
        self._config_copy = config_copy
        self._versions = versions
        self._streams = streams
        self._log = log
        self._counters = counters
        # One item that cannot be applied must not keep others from being.
        self._supervisor = supervision.Supervisor(counters, log)
        self.servers_known = False
        self._returned_at = float("-inf")
        # Nodes whose records are missing since the store's return.
        self._missing_nodes: set[str] = set()

    def listed(self, items: tuple[store_lib.Item, ...]) -> None:
        """Replaces all known items; those not in `items` are gone."""
        present = {item.key for item in items}
        # The configuration comes first: it defines which services have engines.
        for item in sorted(items, key=lambda i: i.key not in _CONFIG_KEYS):
            self.changed(item)
        for key in self._known_keys():
            if key not in present:
                self.removed(key)
        self.servers_known = True

    def changed(self, item: store_lib.Item) -> None:
        """Applies an item that was written."""
        self._supervisor.guarded("store item", self._apply)(item)

    def removed(self, key: str) -> None:
        """Applies the removal of a key."""
        self._supervisor.guarded("store item", self._apply_removal)(key)

    def _apply(self, item: store_lib.Item) -> None:
        key = item.key
        if key in _CONFIG_KEYS:
            self._apply_config(item)
        elif key.startswith(names.SERVERS_PREFIX):
            self._apply_server(item)
        elif key.startswith(keys.NODES):
            self._apply_node(item)
        elif key.startswith(keys.HOLDERS):
            name = key.removeprefix(keys.HOLDERS)
            record = keys.holder_record(item.value)
            self._peers.set_holder(name, record)
            self._store_session.holder_changed(name, record, item.revision)
        elif key.startswith(keys.TERMS):
            turn = keys.term_record(item.value)
            if turn is not None:
                name = key.removeprefix(keys.TERMS)
                self._peers.set_last_turn(name, turn)
        elif key == keys.SUSPECTS:
            self._suspects.changed(item)
        elif key == keys.SOFTWARE_VERSIONS:
            self._versions.changed(item)

    def _apply_removal(self, key: str) -> None:
        if key.startswith(names.SERVERS_PREFIX):
            server = self._catalogue.remove(
                entries.server_id(key), self._clock.now()
            )
            if server is not None:
                self._remove_server(server)
        elif key.startswith(keys.NODES):
            name = key.removeprefix(keys.NODES)
            if self._clock.now() < self._returned_at + _NODE_RENEWAL_S:
                self._missing_nodes.add(name)
            else:
                self._drop_node(name)
        elif key.startswith(keys.HOLDERS):
            name = key.removeprefix(keys.HOLDERS)
            self._peers.set_holder(name, None)
            self._store_session.holder_changed(name, None, 0)
        elif key == keys.SUSPECTS:
            self._suspects.removed()
        elif key == keys.CONFIG_COPY:
            self._config_copy.copy_removed()
        elif key == keys.SOFTWARE_VERSIONS:
            self._versions.removed()

    def returned(self, era: int) -> None:
        """Records that the store has come back from an older copy.

        Args:
          era: the era that began with the return.
        """
        self._counters.count("store.returns")
        self._log.warning(
            "store_returned", era=era, version=self._table.version
        )
        self._returned_at = self._clock.now()
        self._catalogue.store_returned()
        self._store_session.store_returned(era, len(self._peers.nodes))
        self._suspects.store_returned()
        self._config_copy.store_returned()
        self._versions.removed()

    def away(self) -> None:
        """Records that the store does not answer."""
        self._catalogue.store_away()

    def back(self, since: float) -> None:
        """Records that the store has answered since a monotonic time."""
        self._catalogue.store_back(since)

    def expire(self) -> None:
        """Removes servers whose entries expired without a renewal."""
        now = self._clock.now()
        self._versions.expire()
        self._streams.expire()
        for server in self._catalogue.accept_doubtful(now):
            self._log.info(
                "server_confirmed",
                server=server.server_id,
                service=server.service,
                beat=server.beat,
            )
            self._server_updated(server)
        for server in self._catalogue.expire(now):
            self._remove_server(server)
        if now >= self._returned_at + _NODE_RENEWAL_S:
            for name in self._missing_nodes:
                self._drop_node(name)
            self._missing_nodes.clear()

    def _known_keys(self) -> list[str]:
        known = [names.SERVERS_PREFIX + s.server_id for s in self._catalogue]
        known += [keys.NODES + name for name in self._peers.nodes]
        known += [keys.HOLDERS + name for name in self._peers.holders]
        return [
            *known,
            keys.SUSPECTS,
            keys.CONFIG_COPY,
            keys.SOFTWARE_VERSIONS,
        ]

    def _apply_config(self, item: store_lib.Item) -> None:
        config = site_config.decode(item.value)
        if isinstance(config, site_config.InvalidDocument):
            self._counters.count("config.unreadable")
            self._log.error(
                "config_unreadable",
                where=config.where,
                reason=config.reason,
                revision=item.revision,
                version=self._table.version,
            )
            return
        is_copy = item.key == keys.CONFIG_COPY
        # A copy never replaces the operators' own write of the same version.
        if self._table.put_in_force(config, 0 if is_copy else item.revision):
            self._config_copy.put_in_force(config.version, item.value)
            self._counters.count("config.in_force")
            self._log.info(
                "config_in_force",
                version=config.version,
                revision=item.revision,
                routes=len(config.routes),
                key=item.key,
            )
        if is_copy:
            self._config_copy.copy_changed(config.version, item.revision)
        else:
            self._config_copy.operators_changed(config.version)

    def _apply_server(self, item: store_lib.Item) -> None:
        entry = entries.decode(item.key, item.value)
        if isinstance(entry, site_config.InvalidDocument):
            self._counters.count("servers.unreadable")
            self._log.warning(
                "server_unreadable", where=entry.where, reason=entry.reason
            )
            return
        self._versions.server_seen(entry)
        known = self._catalogue.get(entry.server_id)
        if (
            known is not None
            and known.software_version != entry.software_version
        ):
            self._streams.server_replaced(entry)
        if not self._catalogue.update(entry):
            self._counters.count("servers.older_entry")
            return
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
        self._server_updated(entry)

    def _server_updated(self, entry: servers.BackendServer) -> None:
        self._residency.entered(entry.server_id, self._clock.now())
        self._crash_detector.server_started(entry)
        self._notices.server_started(entry)
        self._controllers.entry_updated(entry)
        self._scheduler.wake_waiting()

    def _remove_server(self, server: servers.BackendServer) -> None:
        self._log.info(
            "server_gone", server=server.server_id, service=server.service
        )
        self._crash_detector.server_removed(server)
        self._residency.forget(server.server_id)
        self._controllers.entry_removed(server.server_id)

    def _drop_node(self, name: str) -> None:
        self._peers.drop_node(name)
        self._retry_budget.set_nodes(len(self._peers.nodes))
        self._store_session.node_removed(name)

    def _apply_node(self, item: store_lib.Item) -> None:
        record = keys.node_record(item.value)
        if record is not None:
            self._missing_nodes.discard(record.name)
            self._peers.set_node(record)
            self._retry_budget.set_nodes(len(self._peers.nodes))
