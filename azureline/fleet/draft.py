"""A working copy of the fleet on which a plan tries its moves."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from azureline.fleet import balance
from azureline.fleet import layout


class Pending(NamedTuple):
    """A move that is agreed but not yet seen to be done.

    Attributes:
      move: the move.
      since: time in seconds at which it was agreed.
      issued: time in seconds of its last order; None before the first.
    """

    move: layout.Move
    since: float
    issued: float | None = None


class Fleet(NamedTuple):
    """What a plan starts from.

    Attributes:
      models: the models to serve.
      engines: the engines that are alive.
      pending: moves that are under way.
      touched: last load and unload by engine and model.
    """

    models: tuple[layout.Model, ...]
    engines: tuple[layout.Engine, ...]
    pending: tuple[Pending, ...] = ()
    touched: Mapping[tuple[str, str], layout.Touched] = {}


class Spare(NamedTuple):
    """A replica that can go because its model stays reachable.

    Attributes:
      model: name of the model.
      version: its version.
      bytes: memory that it takes.
    """

    model: str
    version: str
    bytes: int


class Draft:
    """The fleet as it will be after the pending and the proposed moves."""

    def __init__(self, fleet: Fleet, work: Mapping[str, float]):
        """Copies the fleet.

        Args:
          fleet: what is there and under way.
          work: engine units of work by model.
        """
        self.models = {model.name: model for model in fleet.models}
        self.engines = {engine.name: engine for engine in fleet.engines}
        self.work = work
        self.moves: list[layout.Move] = []
        self.free = {engine.name: engine.free for engine in fleet.engines}
        self.where: dict[str, set[str]] = {name: set() for name in self.models}
        self.old: dict[str, dict[str, layout.Replica]] = {}
        self.ready: dict[str, set[str]] = {name: set() for name in self.models}
        self.usable = [e for e in fleet.engines if not e.leaving]
        self._held: dict[str, set[str]] = {e.name: set() for e in fleet.engines}
        self._outdated: dict[str, set[str]] = {}
        self._live: dict[str, int] = dict.fromkeys(self.models, 0)
        self._touched = fleet.touched
        for engine in fleet.engines:
            self._read(engine)
        for pending in fleet.pending:
            self._foresee(pending)
        self._split: balance.Split | None = None

    @property
    def split(self) -> balance.Split:
        """The predicted loads; later moves change them locally."""
        if self._split is None:
            speeds = {e.name: e.speed for e in self.usable}
            serving = {name: self.serving(name) for name in self.models}
            self._split = balance.split(serving, self.work, speeds)
        return self._split

    def serving(self, model: str) -> set[str]:
        """Returns the engines that serve a model in any version and stay."""
        stay = self.where[model]
        older = self.old.get(model)
        if not older:
            return stay
        return stay | {e for e in older if not self.engines[e].leaving}

    def held(self, engine: str) -> set[str]:
        """Returns the models in the wanted version on an engine."""
        return self._held[engine]

    def domains(self, names: Iterable[str]) -> set[str]:
        """Returns the failure domains of some engines."""
        return {self.engines[name].domain for name in names}

    def load(self, model: str, engine: str, cause: layout.Cause) -> None:
        """Adds the load of a model's wanted version."""
        spec = self.models[model]
        self._put(spec, engine)
        self.free[engine] -= spec.bytes
        self.moves.append(
            layout.Move(
                layout.MoveKind.LOAD,
                engine,
                model,
                spec.version,
                spec.bytes,
                cause,
            )
        )

    def unload(
        self, model: str, version: str, engine: str, cause: layout.Cause
    ) -> None:
        """Adds the unload of one version of a model."""
        size = self._take(model, version, engine)
        self.moves.append(
            layout.Move(
                layout.MoveKind.UNLOAD, engine, model, version, size, cause
            )
        )

    def replace(
        self,
        model: str,
        engine: str,
        evicted: Iterable[Spare],
        cause: layout.Cause,
    ) -> None:
        """Adds a load and, before it, the unloads that make room for it."""
        for spare in evicted:
            self.unload(spare.model, spare.version, engine, layout.Cause.ROOM)
        self.load(model, engine, cause)

    def just_unloaded(
        self, engine: str, model: str, now: float, no_undo_s: float
    ) -> bool:
        """Returns whether a load would undo a recent unload."""
        return now - self.touched(engine, model).unloaded < no_undo_s

    def surplus(self, engine: str, now: float, no_undo_s: float) -> list[Spare]:
        """Returns the replicas that an engine may give up.

        Outdated versions come first, then the models that use it least.

        Args:
          engine: name of the engine.
          now: time in seconds.
          no_undo_s: age in seconds below which a load is not undone.
        """
        older = [
            Spare(name, replica.version, replica.bytes)
            for name in sorted(self._outdated.get(engine, ()))
            if (replica := self.old[name].get(engine)) is not None
            and (name not in self.models or self._live[name] > 1)
        ]
        names = [
            name
            for name in self._held[engine]
            if self._can_spare(name)
            and engine in self.ready[name]
            and now - self.touched(engine, name).loaded >= no_undo_s
        ]
        names.sort(key=lambda name: (self.share(name, engine), name))
        specs = [self.models[name] for name in names]
        return older + [Spare(m.name, m.version, m.bytes) for m in specs]

    def share(self, model: str, engine: str) -> float:
        """Returns the engine units that a model is predicted to use."""
        return self.split.shares.get(model, {}).get(engine, 0.0)

    def touched(self, engine: str, model: str) -> layout.Touched:
        """Returns when a model was last moved on an engine."""
        return self._touched.get((engine, model), layout.Touched())

    def room(
        self, engine: str, size: int, spares: Sequence[Spare]
    ) -> list[Spare] | None:
        """Returns which spares make room on an engine; None if too few."""
        short = size - self.free[engine]
        chosen: list[Spare] = []
        for spare in spares:
            if short <= 0:
                break
            chosen.append(spare)
            short -= spare.bytes
        return chosen if short <= 0 else None

    def _can_spare(self, name: str) -> bool:
        left = self._live[name] - 1
        return left >= max(1, self.models[name].min_replicas)

    def _read(self, engine: layout.Engine) -> None:
        for replica in engine.replicas:
            if replica.state is layout.State.UNLOADING:
                continue
            spec = self.models.get(replica.model)
            current = spec is not None and replica.version == spec.version
            if engine.leaving or not current:
                self._read_old(engine, replica)
            else:
                self._put(spec, engine.name)
                if _is_sure(replica):
                    self.ready[replica.model].add(engine.name)
                    self._live[replica.model] += 1

    def _read_old(self, engine: layout.Engine, replica: layout.Replica) -> None:
        self.old.setdefault(replica.model, {})[engine.name] = replica
        if engine.leaving:
            return
        self._outdated.setdefault(engine.name, set()).add(replica.model)
        if replica.model in self.models and _is_sure(replica):
            self._live[replica.model] += 1

    def _foresee(self, pending: Pending) -> None:
        move = pending.move
        if move.engine not in self.engines:
            return
        if move.kind is layout.MoveKind.UNLOAD:
            self._take(move.target, move.version, move.engine)
        elif move.kind is layout.MoveKind.LOAD:
            if pending.issued is None:
                self.free[move.engine] -= move.bytes
            spec = self.models.get(move.target)
            stays = not self.engines[move.engine].leaving
            if spec is not None and spec.version == move.version and stays:
                self._put(spec, move.engine)

    def _put(self, spec: layout.Model, engine: str) -> None:
        self.where[spec.name].add(engine)
        self._held[engine].add(spec.name)

    def _take(self, model: str, version: str, engine: str) -> int:
        older = self.old.get(model, {}).get(engine)
        if older is not None and older.version == version:
            del self.old[model][engine]
            self.free[engine] += older.bytes
            stays = not self.engines[engine].leaving
            if model in self._live and stays and _is_sure(older):
                self._live[model] -= 1
            return older.bytes
        spec = self.models.get(model)
        if spec is None or engine not in self.where[model]:
            return 0
        self.where[model].discard(engine)
        self._live[model] -= engine in self.ready[model]
        self.ready[model].discard(engine)
        self._held[engine].discard(model)
        self.free[engine] += spec.bytes
        return spec.bytes


def _is_sure(replica: layout.Replica) -> bool:
    return replica.sure and replica.state is layout.State.READY
