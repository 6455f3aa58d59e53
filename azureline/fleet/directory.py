"""A node's map of backend servers: where they are and what they hold.

The map is fed by the platform's list and by the engines' owners, both through
rumours, so it is late by up to a few seconds.  Routing treats it as a hint:
an engine that no longer holds a model answers so, and the call goes elsewhere.
"""

import functools
import hashlib
from typing import NamedTuple

from azureline.config import schema
from azureline.platform import interface as platform
from azureline.routing import picker

ADAPTER_REPLICAS = 2


class Held(NamedTuple):
    """A model that an engine holds.

    Attributes:
      name: name of the model.
      version: version of its weights.
      state: "loading", "ready" or "unloading".
      bytes_used: memory that it takes.
      sure: whether no order that may still act can take it away.
    """

    name: str
    version: str
    state: str
    bytes_used: int = 0
    sure: bool = True


class EngineView(NamedTuple):
    """What an engine's owner says about it.

    Attributes:
      owner: name of the owner's VM.
      incarnation: the run of the engine that this is about.
      models: the models it holds.
      memory_used: accelerator memory in use, in bytes.
      memory_bytes: accelerator memory in bytes.
      free_bytes: memory that the owner's book allows a load to take.
      running: requests being generated.
      draining: whether it has been told to leave.
      down: whether the owner has lost it.
    """

    owner: str
    incarnation: str
    models: tuple[Held, ...]
    memory_used: int
    memory_bytes: int
    free_bytes: int
    running: int
    draining: bool
    down: bool


class Directory:
    """Looks up engines by model and servers by service."""

    def __init__(self, domain: str):
        """Creates an empty map.

        Args:
          domain: failure domain of this node; its servers come first.
        """
        self._domain = domain
        self._config: schema.Configuration | None = None
        self._vms: dict[str, platform.Vm] = {}
        self._views: dict[str, EngineView] = {}
        self._unreachable: frozenset[str] = frozenset()
        # Filled by requests and emptied by changes, which are rarer by far.
        self._candidates: dict[str, list[picker.Candidate]] = {}
        self._holders: dict[str, set[str]] = {}

    @property
    def vms(self) -> dict[str, platform.Vm]:
        """The backend servers of the platform's list, by name."""
        return dict(self._vms)

    @property
    def views(self) -> dict[str, EngineView]:
        """What the owners said about engines, by name."""
        return dict(self._views)

    def configure(self, config: schema.Configuration) -> None:
        """Puts another configuration in force."""
        self._config = config
        self._candidates.clear()

    def set_vm(self, vm: platform.Vm) -> None:
        """Takes an entry of the platform's list."""
        self._vms[vm.name] = vm
        self._forget_models_of(vm.name)

    def drop_vm(self, name: str) -> None:
        """Forgets a VM that is no longer in the platform's list."""
        self._vms.pop(name, None)
        self._forget_models_of(name)
        view = self._views.pop(name, None)
        for model in _ready_models(view):
            self._holders[model].discard(name)

    def set_view(self, engine: str, view: EngineView) -> None:
        """Takes an owner's word about an engine."""
        self._forget_models_of(engine)
        before = _ready_models(self._views.get(engine))
        after = _ready_models(view)
        for model in before - after:
            self._holders[model].discard(engine)
        for model in after - before:
            self._holders.setdefault(model, set()).add(engine)
        self._views[engine] = view
        self._forget_models_of(engine)

    def models_of(self, engine: str) -> set[str]:
        """Returns the models that an engine holds, ready for requests."""
        return _ready_models(self._views.get(engine))

    def set_unreachable(self, domains: frozenset[str]) -> None:
        """Takes the failure domains that are out of reach as a whole."""
        self._unreachable = domains
        self._candidates.clear()

    def url(self, server: str) -> str:
        """Returns the root URL of a backend server, or "" if unknown."""
        vm = self._vms.get(server)
        return f"http://{vm.host}:{vm.port}" if vm else ""

    def incarnation(self, engine: str) -> str:
        """Returns the known incarnation of an engine, or ""."""
        view = self._views.get(engine)
        return view.incarnation if view else ""

    def candidates(self, model: str) -> list[picker.Candidate]:
        """Returns the engines that hold a model, ready for requests."""
        known = self._candidates.get(model)
        if known is None:
            known = self._candidates[model] = self._find(model)
        return known

    def _find(self, model: str) -> list[picker.Candidate]:
        if self._config is None or model not in self._config.models:
            return []
        max_running = self._config.models[model].max_running
        # An engine that left the configuration is nobody's to manage.
        holders = sorted(
            name
            for name in self._holders.get(model, ())
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
        """Returns the servers of a service that may take new work, sorted."""
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

    def _forget_models_of(self, engine: str) -> None:
        for model in _ready_models(self._views.get(engine)):
            self._candidates.pop(model, None)

    def _state(self, engine: str) -> picker.State:
        vm = self._vms[engine]
        view = self._views[engine]
        if view.down or vm.domain in self._unreachable:
            return picker.State.DOWN
        if vm.leaving or view.draining:
            return picker.State.LEAVING
        return picker.State.SERVING

    def _adapters_by_engine(
        self, model: str, holders: list[str]
    ) -> dict[str, list[str]]:
        """Assigns the model's adapters to its holders by rendezvous hashing.

        Every node computes the same assignment, so an adapter's requests meet
        on the same engines without a message about it.
        """
        assigned: dict[str, list[str]] = {}
        if self._config is None:
            return assigned
        for name, adapter in self._config.adapters.items():
            if adapter.model != model:
                continue
            ranked = sorted(holders, key=functools.partial(_weight, name))
            for engine in ranked[:ADAPTER_REPLICAS]:
                assigned.setdefault(engine, []).append(name)
        return assigned


def _ready_models(view: EngineView | None) -> set[str]:
    if view is None:
        return set()
    return {held.name for held in view.models if held.state == "ready"}


def _weight(adapter: str, engine: str) -> bytes:
    text = f"{engine}\0{adapter}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
