"""What the owner of an engine knows of the adapters that are asked of it."""

from azureline.backends import interface

REPORT_LAG_S = 3.0
IDLE_S = 30.0


class AdapterLoads:
    """The adapters of one engine: wanted, being loaded, and loaded of late.

    A load takes milliseconds and a report lags by half a second or more, so
    an adapter that was just loaded counts as held until reports can show it.
    """

    def __init__(self):
        self._wanted: dict[str, set[str]] = {}
        self._loading: set[str] = set()
        self._loaded: dict[str, float] = {}
        self._used: dict[str, float] = {}

    @property
    def wanted(self) -> list[str]:
        """The adapters that nodes wait for."""
        return list(self._wanted)

    def want(self, now: float, adapter: str, node: str) -> None:
        """Notes that a node waits for an adapter."""
        self._used[adapter] = now
        self._wanted.setdefault(adapter, set()).add(node)

    def waiting(self, adapter: str) -> set[str]:
        """Returns and forgets the nodes that wait for an adapter."""
        return self._wanted.pop(adapter, set())

    def is_loading(self, adapter: str) -> bool:
        """Returns whether a load is under way."""
        return adapter in self._loading

    def started(self, adapter: str) -> None:
        """Notes that a load was ordered."""
        self._loading.add(adapter)

    def ended(self, adapter: str) -> None:
        """Notes that a load is over, whatever came of it."""
        self._loading.discard(adapter)

    def loaded(self, now: float, adapter: str) -> None:
        """Notes that an adapter should be held by now."""
        self._loaded[adapter] = now

    def restarted(self) -> None:
        """Forgets what the engine's former run had loaded."""
        self._loaded.clear()

    def holds(
        self,
        now: float,
        report: interface.Report | None,
        adapter: str,
        version: str,
    ) -> bool:
        """Returns whether an adapter is held, by report or just loaded."""
        loaded_at = self._loaded.get(adapter)
        if loaded_at is not None:
            if now - loaded_at < REPORT_LAG_S:
                return True
            del self._loaded[adapter]
        return report is not None and any(
            r.name == adapter and r.version == version and r.state == "ready"
            for r in report.adapters
        )

    def idle(
        self, now: float, report: interface.Report | None
    ) -> interface.Resident | None:
        """Returns the adapter that was wanted least recently, if idle."""
        idle = [
            r
            for r in (report.adapters if report else ())
            if r.state == "ready" and now - self._used.get(r.name, 0.0) > IDLE_S
        ]
        if not idle:
            return None
        oldest = min(idle, key=lambda r: self._used.get(r.name, 0.0))
        self._loaded.pop(oldest.name, None)
        return oldest
