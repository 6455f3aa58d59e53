"""A working copy of the fleet state to which a plan applies its moves."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from azureline.fleet import balance
from azureline.fleet import plan_types


class PendingMove(NamedTuple):
    """A planned move that no engine report confirms yet.

    Attributes:
      move: the move.
      since: time in seconds at which the move was adopted.
      issued: time in seconds at which it was last ordered; None before the
        first order.
    """

    move: plan_types.Move
    since: float
    issued: float | None = None


class PlanInput(NamedTuple):
    """The input of a plan.

    Attributes:
      models: the models to serve.
      engines: the engines that are alive.
      pending: moves that are in progress.
      last_changes: times of the last load and unload by (engine, model).
    """

    models: tuple[plan_types.Model, ...]
    engines: tuple[plan_types.Engine, ...]
    pending: tuple[PendingMove, ...] = ()
    last_changes: Mapping[tuple[str, str], plan_types.LastChange] = {}


class EvictableReplica(NamedTuple):
    """A replica that may be evicted because its model stays reachable.

    Attributes:
      model: name of the model.
      version: its version.
      bytes: memory that it uses, in bytes.
    """

    model: str
    version: str
    bytes: int


class Draft:
    """The expected fleet after all pending and proposed moves.

    Attributes:
      models: the configured models by name.
      engines: the engines by name.
      work: engine units of work by model.
      moves: the proposed moves, in order.
      free_bytes: free memory in bytes by engine.
      engines_by_model: the engines that hold or load the configured version,
        by model; pending and proposed loads count.
      outdated: other replicas, by model and then by engine: those of other
        versions and all those on draining engines.
      ready_engines: the engines on which the configured version serves
        requests and no order in flight can unload it, by model.
      usable: the engines that are not draining.
    """

    def __init__(self, fleet: PlanInput, work: Mapping[str, float]):
        """Builds the draft and applies the pending moves to it.

        Args:
          fleet: the current replicas and the pending moves.
          work: engine units of work by model.
        """
        self.models = {model.name: model for model in fleet.models}
        self.engines = {engine.name: engine for engine in fleet.engines}
        self.work = work
        self.moves: list[plan_types.Move] = []
        self.free_bytes = {engine.name: engine.free for engine in fleet.engines}
        self.engines_by_model: dict[str, set[str]] = {
            name: set() for name in self.models
        }
        self.outdated: dict[str, dict[str, plan_types.Replica]] = {}
        self.ready_engines: dict[str, set[str]] = {
            name: set() for name in self.models
        }
        self.usable = [e for e in fleet.engines if not e.leaving]
        self._held_by_engine: dict[str, set[str]] = {
            e.name: set() for e in fleet.engines
        }
        self._outdated_models: dict[str, set[str]] = {}
        self._ready_counts: dict[str, int] = dict.fromkeys(self.models, 0)
        self._last_changes = fleet.last_changes
        for engine in fleet.engines:
            self._add_engine(engine)
        for pending in fleet.pending:
            self._apply_pending(pending)
        self._split: balance.Split | None = None

    @property
    def split(self) -> balance.Split:
        """The predicted loads; computed once, then adjusted by later moves."""
        if self._split is None:
            speeds = {e.name: e.speed for e in self.usable}
            serving = {name: self.serving(name) for name in self.models}
            self._split = balance.split(serving, self.work, speeds)
        return self._split

    def serving(self, model: str) -> set[str]:
        """Returns the engines that serve any version of a model.

        Draining engines are left out.
        """
        stay = self.engines_by_model[model]
        older = self.outdated.get(model)
        if not older:
            return stay
        return stay | {e for e in older if not self.engines[e].leaving}

    def models_on(self, engine: str) -> set[str]:
        """Returns the models whose configured version is on an engine."""
        return self._held_by_engine[engine]

    def domains(self, names: Iterable[str]) -> set[str]:
        """Returns the failure domains of the given engines."""
        return {self.engines[name].domain for name in names}

    def load(self, model: str, engine: str, cause: plan_types.Cause) -> None:
        """Adds a load of a model's configured version."""
        spec = self.models[model]
        self._add_replica(spec, engine)
        self.free_bytes[engine] -= spec.bytes
        self.moves.append(
            plan_types.Move(
                plan_types.MoveKind.LOAD,
                engine,
                model,
                spec.version,
                spec.bytes,
                cause,
            )
        )

    def unload(
        self, model: str, version: str, engine: str, cause: plan_types.Cause
    ) -> None:
        """Adds an unload of one version of a model."""
        size = self._remove_replica(model, version, engine)
        self.moves.append(
            plan_types.Move(
                plan_types.MoveKind.UNLOAD, engine, model, version, size, cause
            )
        )

    def replace(
        self,
        model: str,
        engine: str,
        evicted: Iterable[EvictableReplica],
        cause: plan_types.Cause,
    ) -> None:
        """Adds a load, preceded by the unloads that free memory for it."""
        for replica in evicted:
            self.unload(
                replica.model, replica.version, engine, plan_types.Cause.ROOM
            )
        self.load(model, engine, cause)

    def recently_unloaded(
        self, engine: str, model: str, now: float, min_stay_s: float
    ) -> bool:
        """Returns whether a load would undo a recent unload."""
        return now - self.last_change(engine, model).unloaded < min_stay_s

    def evictable_replicas(
        self, engine: str, now: float, min_stay_s: float
    ) -> list[EvictableReplica]:
        """Returns the replicas that may be evicted from an engine.

        Outdated versions come first, then the models that use the engine least.

        Args:
          engine: name of the engine.
          now: time in seconds.
          min_stay_s: seconds for which a replica stays after its load.
        """
        older = [
            EvictableReplica(name, replica.version, replica.bytes)
            for name in sorted(self._outdated_models.get(engine, ()))
            if (replica := self.outdated[name].get(engine)) is not None
            and (name not in self.models or self._ready_counts[name] > 1)
        ]
        names = [
            name
            for name in self._held_by_engine[engine]
            if self._is_evictable(name)
            and engine in self.ready_engines[name]
            and now - self.last_change(engine, name).loaded >= min_stay_s
        ]
        names.sort(key=lambda name: (self.share(name, engine), name))
        specs = [self.models[name] for name in names]
        return older + [
            EvictableReplica(m.name, m.version, m.bytes) for m in specs
        ]

    def share(self, model: str, engine: str) -> float:
        """Returns the engine units of work predicted for a model and engine."""
        return self.split.shares.get(model, {}).get(engine, 0.0)

    def last_change(self, engine: str, model: str) -> plan_types.LastChange:
        """Returns the times of the last load and unload on an engine."""
        return self._last_changes.get((engine, model), plan_types.LastChange())

    def evictions_for(
        self, engine: str, size: int, evictable: Sequence[EvictableReplica]
    ) -> list[EvictableReplica] | None:
        """Returns the evictions that free enough memory on an engine.

        Args:
          engine: name of the engine.
          size: memory to free up to, in bytes.
          evictable: replicas that may be evicted, in order of preference.

        Returns:
          The first of them that together suffice, or None if all of
          them are too few.
        """
        missing_bytes = size - self.free_bytes[engine]
        chosen: list[EvictableReplica] = []
        for replica in evictable:
            if missing_bytes <= 0:
                break
            chosen.append(replica)
            missing_bytes -= replica.bytes
        return chosen if missing_bytes <= 0 else None

    def _is_evictable(self, name: str) -> bool:
        remaining = self._ready_counts[name] - 1
        return remaining >= max(1, self.models[name].min_replicas)

    def _add_engine(self, engine: plan_types.Engine) -> None:
        for replica in engine.replicas:
            if replica.state is plan_types.State.UNLOADING:
                continue
            spec = self.models.get(replica.model)
            current = spec is not None and replica.version == spec.version
            if engine.leaving or not current:
                self._add_outdated_replica(engine, replica)
            else:
                self._add_replica(spec, engine.name)
                if _is_ready_and_safe(replica):
                    self.ready_engines[replica.model].add(engine.name)
                    self._ready_counts[replica.model] += 1

    def _add_outdated_replica(
        self, engine: plan_types.Engine, replica: plan_types.Replica
    ) -> None:
        self.outdated.setdefault(replica.model, {})[engine.name] = replica
        if engine.leaving:
            return
        self._outdated_models.setdefault(engine.name, set()).add(replica.model)
        if replica.model in self.models and _is_ready_and_safe(replica):
            self._ready_counts[replica.model] += 1

    def _apply_pending(self, pending: PendingMove) -> None:
        move = pending.move
        if move.engine not in self.engines:
            return
        if move.kind is plan_types.MoveKind.UNLOAD:
            self._remove_replica(move.target, move.version, move.engine)
        elif move.kind is plan_types.MoveKind.LOAD:
            if pending.issued is None:
                self.free_bytes[move.engine] -= move.bytes
            spec = self.models.get(move.target)
            stays = not self.engines[move.engine].leaving
            if spec is not None and spec.version == move.version and stays:
                self._add_replica(spec, move.engine)

    def _add_replica(self, spec: plan_types.Model, engine: str) -> None:
        self.engines_by_model[spec.name].add(engine)
        self._held_by_engine[engine].add(spec.name)

    def _remove_replica(self, model: str, version: str, engine: str) -> int:
        older = self.outdated.get(model, {}).get(engine)
        if older is not None and older.version == version:
            del self.outdated[model][engine]
            self.free_bytes[engine] += older.bytes
            stays = not self.engines[engine].leaving
            if (
                model in self._ready_counts
                and stays
                and _is_ready_and_safe(older)
            ):
                self._ready_counts[model] -= 1
            return older.bytes
        spec = self.models.get(model)
        if spec is None or engine not in self.engines_by_model[model]:
            return 0
        self.engines_by_model[model].discard(engine)
        self._ready_counts[model] -= engine in self.ready_engines[model]
        self.ready_engines[model].discard(engine)
        self._held_by_engine[engine].discard(model)
        self.free_bytes[engine] += spec.bytes
        return spec.bytes


def _is_ready_and_safe(replica: plan_types.Replica) -> bool:
    return replica.safe_from_unload and replica.state is plan_types.State.READY
