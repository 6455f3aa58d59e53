"""A node's directory of backend servers, their addresses and their models.

Its sources are the platform's VM list and the engine views of slot owners.
Both arrive as gossip entries, so the directory lags by up to a few seconds.
Routing treats it as a hint: an engine that no longer holds a model rejects the
call, which then goes to another engine.
"""

import functools
import hashlib
from typing import NamedTuple

from azureline.config import schema
from azureline.platform import interface as platform
from azureline.routing import picker

ADAPTER_REPLICAS = 2


class HeldModel(NamedTuple):
    """A model that an engine holds.

    Attributes:
      name: name of the model.
      version: version of its weights.
      state: "loading", "ready" or "unloading".
      bytes_used: memory that it uses, in bytes.
      safe_from_unload: whether no order that can still take effect would
        unload it.
    """

    name: str
    version: str
    state: str
    bytes_used: int = 0
    safe_from_unload: bool = True


class EngineView(NamedTuple):
    """The state of an engine as published by its slot owner.

    Attributes:
      owner: name of the slot owner's VM.
      incarnation: identity of the engine's run that the view describes.
      models: the models that it holds.
      memory_used: accelerator memory in use, in bytes.
      memory_bytes: accelerator memory in bytes.
      free_bytes: memory in bytes that the owner's memory accounting allows a
        load to use.
      running: number of requests that it is generating.
      draining: whether it was ordered to drain.
      unreachable: whether the owner missed too many of its reports in a row.
    """

    owner: str
    incarnation: str
    models: tuple[HeldModel, ...]
    memory_used: int
    memory_bytes: int
    free_bytes: int
    running: int
    draining: bool
    unreachable: bool


class Directory:
    """Looks up engines by model and servers by service."""

    def __init__(self, domain: str):
        """Creates an empty directory.

        Args:
          domain: failure domain of this node; its servers are preferred.
        """
        self._domain = domain
        self._config: schema.Configuration | None = None
        self._vms: dict[str, platform.Vm] = {}
        self._views: dict[str, EngineView] = {}
        self._unreachable: frozenset[str] = frozenset()
        # Cache that requests fill and changes invalidate; changes are far
        # rarer than requests.
        self._candidates: dict[str, list[picker.Candidate]] = {}
        self._engines_by_model: dict[str, set[str]] = {}

    @property
    def vms(self) -> dict[str, platform.Vm]:
        """The backend servers in the platform's VM list, by name."""
        return dict(self._vms)

    @property
    def views(self) -> dict[str, EngineView]:
        """The latest views of engines from their slot owners, by name."""
        return dict(self._views)

    def configure(self, config: schema.Configuration) -> None:
        """Applies a new configuration."""
        self._config = config
        self._candidates.clear()

    def update_vm(self, vm: platform.Vm) -> None:
        """Adds or updates a VM of the platform's list."""
        self._vms[vm.name] = vm
        self._invalidate_candidates_of(vm.name)

    def remove_vm(self, name: str) -> None:
        """Removes a VM that is no longer in the platform's list."""
        self._vms.pop(name, None)
        self._invalidate_candidates_of(name)
        view = self._views.pop(name, None)
        for model in _ready_models(view):
            self._engines_by_model[model].discard(name)

    def update_view(self, engine: str, view: EngineView) -> None:
        """Stores a slot owner's view of an engine."""
        self._invalidate_candidates_of(engine)
        before = _ready_models(self._views.get(engine))
        after = _ready_models(view)
        for model in before - after:
            self._engines_by_model[model].discard(engine)
        for model in after - before:
            self._engines_by_model.setdefault(model, set()).add(engine)
        self._views[engine] = view
        self._invalidate_candidates_of(engine)

    def ready_models(self, engine: str) -> set[str]:
        """Returns the models that are ready for requests on an engine."""
        return _ready_models(self._views.get(engine))

    def set_unreachable(self, domains: frozenset[str]) -> None:
        """Sets the failure domains that are unreachable as a whole."""
        self._unreachable = domains
        self._candidates.clear()

    def url(self, server: str) -> str:
        """Returns the root URL of a backend server, or "" if unknown."""
        vm = self._vms.get(server)
        return f"http://{vm.host}:{vm.port}" if vm else ""

    def incarnation(self, engine: str) -> str:
        """Returns the last known incarnation of an engine, or ""."""
        view = self._views.get(engine)
        return view.incarnation if view else ""

    def candidates(self, model: str) -> list[picker.Candidate]:
        """Returns the engines on which a model is ready for requests."""
        cached = self._candidates.get(model)
        if cached is None:
            cached = self._candidates[model] = self._compute_candidates(model)
        return cached

    def _compute_candidates(self, model: str) -> list[picker.Candidate]:
        if self._config is None or model not in self._config.models:
            return []
        max_running = self._config.models[model].max_running
        # No node manages an engine that the configuration no longer contains.
        holders = sorted(
            name
            for name in self._engines_by_model.get(model, ())
            if name in self._vms and name in self._config.engines
        )
        adapters = self._adapters_by_engine(model, holders)
        return [
            picker.Candidate(
                engine=name,
                domain=self._vms[name].domain,
                adapters=frozenset(adapters.get(name, ())),
                max_running=max_running,
                state=self._state(name),
            )
            for name in holders
        ]

    def is_near(self, server: str) -> bool:
        """Returns whether a server is in this node's failure domain."""
        vm = self._vms.get(server)
        return vm is not None and vm.domain == self._domain

    def servers(self, service: str) -> list[str]:
        """Returns the sorted names of a service's servers that accept new work.

        VMs that are leaving or in unreachable failure domains are left out.
        """
        if self._config is None or service not in self._config.services:
            return []
        entry = self._config.services[service]
        names = [
            vm.name
            for vm in self._vms.values()
            if vm.role == entry.role
            and entry.is_served_by(vm.name)
            and not vm.leaving
            and vm.domain not in self._unreachable
        ]
        return sorted(names)

    def _invalidate_candidates_of(self, engine: str) -> None:
        for model in _ready_models(self._views.get(engine)):
            self._candidates.pop(model, None)

    def _state(self, engine: str) -> picker.State:
        vm = self._vms[engine]
        view = self._views[engine]
        if view.unreachable or vm.domain in self._unreachable:
            return picker.State.DOWN
        if vm.leaving or view.draining:
            return picker.State.LEAVING
        return picker.State.SERVING

    def _adapters_by_engine(
        self, model: str, holders: list[str]
    ) -> dict[str, list[str]]:
        """Assigns the model's adapters to its holders by rendezvous hashing.

        Every node computes the same assignment, so an adapter's requests reach
        the same engines without coordination between nodes.
        """
        assigned: dict[str, list[str]] = {}
        if self._config is None:
            return assigned
        for name, adapter in self._config.adapters.items():
            if adapter.model != model:
                continue
            ranked = sorted(
                holders, key=functools.partial(_rendezvous_hash, name)
            )
            for engine in ranked[:ADAPTER_REPLICAS]:
                assigned.setdefault(engine, []).append(name)
        return assigned


def _ready_models(view: EngineView | None) -> set[str]:
    if view is None:
        return set()
    return {held.name for held in view.models if held.state == "ready"}


def _rendezvous_hash(adapter: str, engine: str) -> bytes:
    text = f"{engine}\0{adapter}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
