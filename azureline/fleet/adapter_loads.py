"""The adapters of one engine as its controller tracks them."""

from azureline.backends import interface

REPORT_LAG_S = 3.0
IDLE_S = 30.0


class AdapterLoads:
    """The adapters of one engine: requested, loading and recently loaded.

    A load takes milliseconds and a report lags by half a second or more, so a
    recently loaded adapter counts as held for `REPORT_LAG_S` even if no report
    shows it.
    """

    def __init__(self):
        self._waiting_nodes: dict[str, set[str]] = {}
        self._loading: set[str] = set()
        self._loaded_at: dict[str, float] = {}
        self._requested_at: dict[str, float] = {}

    @property
    def requested(self) -> list[str]:
        """The names of the adapters that nodes wait for."""
        return list(self._waiting_nodes)

    def add_waiting_node(self, now: float, adapter: str, node: str) -> None:
        """Records that a node waits for an adapter."""
        self._requested_at[adapter] = now
        self._waiting_nodes.setdefault(adapter, set()).add(node)

    def pop_waiting_nodes(self, adapter: str) -> set[str]:
        """Returns and forgets the nodes that wait for an adapter."""
        return self._waiting_nodes.pop(adapter, set())

    def is_loading(self, adapter: str) -> bool:
        """Returns whether a load of the adapter is in progress."""
        return adapter in self._loading

    def started(self, adapter: str) -> None:
        """Records that a load was ordered."""
        self._loading.add(adapter)

    def ended(self, adapter: str) -> None:
        """Records that a load ended, successfully or not."""
        self._loading.discard(adapter)

    def loaded(self, now: float, adapter: str) -> None:
        """Records that a load of the adapter has presumably completed."""
        self._loaded_at[adapter] = now

    def restarted(self) -> None:
        """Forgets the recently loaded adapters after an engine restart."""
        self._loaded_at.clear()

    def is_held(
        self,
        now: float,
        report: interface.Report | None,
        adapter: str,
        version: str,
    ) -> bool:
        """Returns whether an adapter is reported ready or recently loaded."""
        loaded_at = self._loaded_at.get(adapter)
        if loaded_at is not None:
            if now - loaded_at < REPORT_LAG_S:
                return True
            del self._loaded_at[adapter]
        return report is not None and any(
            r.name == adapter and r.version == version and r.state == "ready"
            for r in report.adapters
        )

    def pop_idle_adapter(
        self, now: float, report: interface.Report | None
    ) -> interface.ResidentModel | None:
        """Returns the least recently requested adapter that is idle, or None.

        An adapter is idle if no node has requested it for `IDLE_S`.  The
        returned adapter no longer counts as recently loaded.
        """
        idle = [
            r
            for r in (report.adapters if report else ())
            if r.state == "ready"
            and now - self._requested_at.get(r.name, 0.0) > IDLE_S
        ]
        if not idle:
            return None
        oldest = min(idle, key=lambda r: self._requested_at.get(r.name, 0.0))
        self._loaded_at.pop(oldest.name, None)
        return oldest
