"""Carries out planned moves, each only while it is safe.

The executor does not rely on the plan for safety.  It orders an unload only
while the model has another ready replica that no order can still unload, and
a load only if the engine has enough free memory and the weight store allows
one more load.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from azureline.fleet import draft as drafts
from azureline.fleet import plan_types

RETRY_S = 15.0
"""Seconds before an order that showed no effect is repeated.

This exceeds the lifetime of any order, so that at most one order of a move is
in flight.
"""

GIVE_UP_S = 180.0
"""Seconds after its adoption after which an unfinished move is dropped."""

_CAUSES_BY_URGENCY = (
    plan_types.Cause.REPAIR,
    plan_types.Cause.DRAIN,
    plan_types.Cause.ROOM,
    plan_types.Cause.VERSION,
    plan_types.Cause.ROLE,
    plan_types.Cause.DEMAND,
    plan_types.Cause.SPREAD,
)


class MoveExecutor:
    """Holds the moves in progress and picks those that are safe to order."""

    def __init__(self, params: plan_types.Params):
        self._params = params
        self._pending: list[drafts.PendingMove] = []
        self._last_changes: dict[tuple[str, str], plan_types.LastChange] = {}

    @property
    def pending(self) -> tuple[drafts.PendingMove, ...]:
        """The adopted moves that have not been seen to be done."""
        return tuple(self._pending)

    @property
    def last_changes(self) -> Mapping[tuple[str, str], plan_types.LastChange]:
        """The times of the last load and unload by engine and model."""
        return self._last_changes

    def set_params(self, params: plan_types.Params) -> None:
        """Replaces the weights and bounds; moves in progress stay."""
        self._params = params

    def add_planned(self, now: float, moves: Iterable[plan_types.Move]) -> None:
        """Adds the moves of a plan that are not in progress yet.

        Args:
          now: time in seconds.
          moves: proposed moves, in order.
        """
        known = {_move_key(p.move) for p in self._pending}
        for move in moves:
            if _move_key(move) not in known:
                known.add(_move_key(move))
                self._pending.append(drafts.PendingMove(move, now))

    def next_moves(
        self,
        now: float,
        models: Sequence[plan_types.Model],
        engines: Sequence[plan_types.Engine],
        permits: int,
    ) -> list[plan_types.Move]:
        """Returns the moves to order now and records them as ordered.

        Args:
          now: time in seconds.
          models: the models to serve.
          engines: the engines that are alive, as their memory accounting
            describes them.
          permits: loads that the weight store allows now.

        Returns:
          Moves to order at once; each is safe once the ones before it in the
          list have been ordered.
        """
        by_name = {engine.name: engine for engine in engines}
        versions = {model.name: model.version for model in models}
        self._drop_finished(now, by_name, versions)
        tally = _Tally(models, engines, self._pending)
        chosen: list[plan_types.Move] = []
        for pending in sorted(self._pending, key=_urgency_rank):
            engine = by_name[pending.move.engine]
            if not _is_due(pending, now, engine):
                continue
            step = self._try_step(pending.move, tally, permits, by_name)
            if not step:
                continue
            permits -= pending.move.kind is plan_types.MoveKind.LOAD
            chosen.append(pending.move)
            self._record_ordered(pending, now)
        return chosen

    def discard(self, move: plan_types.Move) -> None:
        """Drops a refused move; the next plan decides whether to repeat it."""
        self._pending = [p for p in self._pending if p.move != move]

    def _try_step(
        self,
        move: plan_types.Move,
        tally: "_Tally",
        permits: int,
        engines: Mapping[str, plan_types.Engine],
    ) -> bool:
        match move.kind:
            case plan_types.MoveKind.LOAD:
                return permits > 0 and tally.try_load(move)
            case plan_types.MoveKind.UNLOAD:
                return tally.try_unload(move)
            case plan_types.MoveKind.SET_ROLE:
                return not engines[move.engine].replicas

    def _record_ordered(self, pending: drafts.PendingMove, now: float) -> None:
        index = self._pending.index(pending)
        self._pending[index] = pending._replace(issued=now)
        move = pending.move
        key = (move.engine, move.target)
        last = self._last_changes.get(key, plan_types.LastChange())
        if move.kind is plan_types.MoveKind.LOAD:
            self._last_changes[key] = last._replace(loaded=now)
        elif move.kind is plan_types.MoveKind.UNLOAD:
            self._last_changes[key] = last._replace(unloaded=now)
        self._drop_old_changes(now)

    def _drop_old_changes(self, now: float) -> None:
        horizon = now - 2 * self._params.min_stay_s
        for key, last in list(self._last_changes.items()):
            if max(last) < horizon:
                del self._last_changes[key]

    def _drop_finished(
        self,
        now: float,
        engines: Mapping[str, plan_types.Engine],
        versions: Mapping[str, str],
    ) -> None:
        self._pending = [
            pending
            for pending in self._pending
            if now - pending.since < GIVE_UP_S
            and pending.move.engine in engines
            and _is_open(pending.move, engines[pending.move.engine], versions)
        ]


class _Tally:
    """Counts ready replicas and free memory while moves are chosen."""

    def __init__(
        self,
        models: Sequence[plan_types.Model],
        engines: Sequence[plan_types.Engine],
        pending: Sequence[drafts.PendingMove],
    ):
        self._free = {engine.name: engine.free for engine in engines}
        self._models = {model.name: model for model in models}
        leaving = {
            (p.move.engine, p.move.target, p.move.version)
            for p in pending
            if p.issued is not None
            and p.move.kind is plan_types.MoveKind.UNLOAD
        }
        self._ready: dict[str, set[tuple[str, str]]] = {}
        self._present = set()
        for engine in engines:
            for replica in engine.replicas:
                key = (engine.name, replica.model, replica.version)
                self._present.add(key)
                if _serves(engine, replica) and key not in leaving:
                    replicas = self._ready.setdefault(replica.model, set())
                    replicas.add((engine.name, replica.version))

    def try_load(self, move: plan_types.Move) -> bool:
        """Takes the memory for a load if the engine has enough of it."""
        if self._free[move.engine] < move.bytes:
            return False
        self._free[move.engine] -= move.bytes
        return True

    def try_unload(self, move: plan_types.Move) -> bool:
        """Removes a replica if another one of the model stays ready."""
        replicas = self._ready.get(move.target, set())
        replica = (move.engine, move.version)
        key = (move.engine, move.target, move.version)
        if key not in self._present:
            return False
        if move.target in self._models and not replicas - {replica}:
            return False
        replicas.discard(replica)
        return True


def _serves(engine: plan_types.Engine, replica: plan_types.Replica) -> bool:
    return (
        not engine.leaving
        and replica.safe_from_unload
        and replica.state is plan_types.State.READY
    )


def _is_due(
    pending: drafts.PendingMove, now: float, engine: plan_types.Engine
) -> bool:
    if pending.issued is None:
        return True
    move = pending.move
    in_progress = any(
        r.model == move.target
        and r.version == move.version
        and r.state.value == f"{move.kind.value}ing"
        for r in engine.replicas
    )
    return not in_progress and now - pending.issued >= RETRY_S


def _move_key(move: plan_types.Move) -> tuple[str, str, str]:
    return (move.engine, move.target, move.version)


def _urgency_rank(pending: drafts.PendingMove) -> int:
    return _CAUSES_BY_URGENCY.index(pending.move.cause)


def _is_done(move: plan_types.Move, engine: plan_types.Engine) -> bool:
    matching = [
        replica
        for replica in engine.replicas
        if (replica.model, replica.version) == (move.target, move.version)
    ]
    match move.kind:
        case plan_types.MoveKind.LOAD:
            return any(r.state is plan_types.State.READY for r in matching)
        case plan_types.MoveKind.UNLOAD:
            return not matching
        case plan_types.MoveKind.SET_ROLE:
            return engine.role == move.target


def _is_open(
    move: plan_types.Move,
    engine: plan_types.Engine,
    versions: Mapping[str, str],
) -> bool:
    """Returns whether a move is neither done nor made pointless."""
    if _is_done(move, engine):
        return False
    if move.kind is not plan_types.MoveKind.LOAD:
        return True
    return not engine.leaving and versions.get(move.target) == move.version
