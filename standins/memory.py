"""The memory of the engine stand-in and the orders that change it."""

from collections.abc import Callable
from typing import Any

from azureline.backends import interface
from standins import options

UNLOAD_S = 0.05
_RESULTS_KEPT = 10_000

Loader = Callable[[interface.OrderKind, int, Callable[[], None]], None]


class EngineMemory:
    """Loaded models and adapters, and the results of orders."""

    def __init__(
        self,
        reactor: Any,
        engine_options: options.EngineOptions,
        load: Loader,
        batch: Any = None,
    ):
        """Creates an empty memory.

        Args:
          reactor: source of time and timers.
          engine_options: the memory size and which checks apply.
          load: transfers the bytes of an order and calls back when done.
          batch: the streams, which occupy cache and keep models in use.
        """
        self.options = engine_options
        self.batch = batch
        self.fence = 0
        self.last_order_id = ""
        self.role = ""
        self.overcommits = 0
        self.models: dict[tuple[str, str], interface.ResidentModel] = {}
        self.adapters: dict[tuple[str, str], interface.ResidentModel] = {}
        self._reactor = reactor
        self._load = load
        self._results: dict[str, interface.OrderResult] = {}

    @property
    def used_bytes(self) -> int:
        """Memory in use in bytes."""
        residents = (*self.models.values(), *self.adapters.values())
        return self.batch.cache_bytes + sum(r.bytes_used for r in residents)

    def reserve(self, size: int) -> bool:
        """Whether `size` more bytes may be allocated.

        Without the memory check it always allows them and counts an
        overcommit if they exceed the memory.
        """
        if self.used_bytes + size <= self.options.memory_bytes:
            return True
        if self.options.memory_check:
            return False
        self.overcommits += 1
        return True

    def is_ready(self, model: str, adapter: str) -> bool:
        """Whether a model, and an adapter unless "", are ready."""
        return _ready(self.models, model) and (
            not adapter or _ready(self.adapters, adapter)
        )

    def add(self, name: str, version: str, size: int) -> None:
        """Adds a ready model without an order."""
        resident = interface.ResidentModel(name, version, size, "ready")
        self.models[name, version] = resident

    def execute(
        self, order: interface.Order, sent_age_s: float
    ) -> interface.OrderResult:
        """Executes an order; a repeated order gets its first result."""
        known = self._results.get(order.order_id)
        if known is not None:
            return known
        result = self._check(order, sent_age_s)
        if result is interface.OrderResult.ACCEPTED:
            self.last_order_id = order.order_id
            self.fence = max(self.fence, order.fence)
            self._begin(order)
        self._results[order.order_id] = result
        if len(self._results) > _RESULTS_KEPT:
            del self._results[next(iter(self._results))]
        return result

    def free_unloading(self) -> None:
        """Retries to free models whose unload had to wait for their streams."""
        for key, resident in list(self.models.items()):
            if resident.state == "unloading":
                self._free_later(self.models, key)

    def _check(
        self, order: interface.Order, sent_age_s: float
    ) -> interface.OrderResult:
        if order.expires_in_s - sent_age_s <= 0:
            return interface.OrderResult.REFUSED_EXPIRED
        if self.options.fences and order.fence < self.fence:
            return interface.OrderResult.REFUSED_FENCE
        if _is_load(order) and not self._loaded(order):
            fits = self.reserve(order.bytes_needed)
            if not fits:
                return interface.OrderResult.REFUSED_MEMORY
        return interface.OrderResult.ACCEPTED

    def _loaded(self, order: interface.Order) -> bool:
        return (order.target, order.version) in self._residents(order.kind)

    def _residents(self, kind: interface.OrderKind) -> dict[Any, Any]:
        return self.models if kind.value.endswith("_model") else self.adapters

    def _begin(self, order: interface.Order) -> None:
        key = (order.target, order.version)
        match order.kind:
            case interface.OrderKind.SET_ROLE:
                self.role = order.target
            case _ if _is_load(order):
                self._begin_load(order, key)
            case _:
                self._begin_unload(self._residents(order.kind), key)

    def _begin_load(self, order: interface.Order, key: tuple[str, str]) -> None:
        residents = self._residents(order.kind)
        if key in residents:
            if residents[key].state == "unloading":
                residents[key] = residents[key]._replace(state="ready")
            return
        residents[key] = interface.ResidentModel(
            *key, order.bytes_needed, "loading"
        )

        def loaded() -> None:
            if key in residents and residents[key].state == "loading":
                residents[key] = residents[key]._replace(state="ready")

        self._load(order.kind, order.bytes_needed, loaded)

    def _begin_unload(
        self, residents: dict[Any, Any], key: tuple[str, str]
    ) -> None:
        name, version = key
        for resident_key in list(residents):
            if resident_key[0] == name and version in ("", resident_key[1]):
                residents[resident_key] = residents[resident_key]._replace(
                    state="unloading"
                )
                self._free_later(residents, resident_key)

    def _free_later(
        self, residents: dict[Any, Any], key: tuple[str, str]
    ) -> None:
        """Frees a resident after `UNLOAD_S` unless a stream still uses it."""

        def free() -> None:
            resident = residents.get(key)
            if resident is None or resident.state != "unloading":
                return
            if residents is self.models and self.batch.is_model_in_use(key[0]):
                return
            del residents[key]

        self._reactor.callLater(UNLOAD_S, free)


def _is_load(order: interface.Order) -> bool:
    return order.kind in (
        interface.OrderKind.LOAD_MODEL,
        interface.OrderKind.LOAD_ADAPTER,
    )


def _ready(residents: dict[Any, interface.ResidentModel], name: str) -> bool:
    return any(
        key[0] == name and resident.state == "ready"
        for key, resident in residents.items()
    )
