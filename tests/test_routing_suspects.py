"""Tests of the watch for crashing requests."""

import itertools
import random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.routing import outcome
from azureline.routing import suspects
from tests import builders_routing as build
from tools import engine_model

WALL = 1.7e9
_ENGINES = tuple(f"e{i}" for i in range(6))
_CRASH_AFTER_S = 0.3
_RESTART_S = 5.0

_crashes = st.builds(
    suspects.Crash,
    st.sampled_from(_ENGINES),
    st.sampled_from(["i1", "i2"]),
    st.floats(WALL, WALL + 100.0),
)
_rumours = st.builds(
    suspects.SuspectSeen,
    st.sampled_from([b"a", b"b", b"c"]),
    st.just("seam"),
    st.lists(_crashes, max_size=3).map(tuple),
    st.sampled_from([0.0, WALL + 50.0]),
)


@given(st.lists(_rumours, max_size=6), st.randoms(use_true_random=False))
def test_rumours_merge_alike_in_any_order_and_repeated(rumours, rng):
    a, b = suspects.Suspects(), suspects.Suspects()
    a.heard(rumours)
    shuffled = [*rumours, *rumours]
    rng.shuffle(shuffled)
    b.heard(shuffled)
    b.heard(a.rumours(1))
    for content in (b"a", b"b", b"c"):
        assert set(a._effective(content)) == set(b._effective(content))
        call = build.call(content=content)
        checks = [
            w.check(WALL + 60.0, call, _ENGINES, _ENGINES) for w in (a, b)
        ]
        assert checks[0] == checks[1]


def _crash(watch, call, server, wall):
    watch.started(server, call)
    watch.crashed(wall, server, f"{server}-{wall}")


def test_a_whole_run_clears_a_suspect():
    watch = suspects.Suspects()
    call = build.call()
    _crash(watch, call, "e0", WALL)
    check = watch.check(WALL + 3.0, call, _ENGINES, _ENGINES)
    assert isinstance(check, suspects.Quarantine)
    watch.started(check.server, call)
    watch.finished(WALL + 5.0, check.server, call, whole=True)
    assert watch.check(WALL + 9.0, call, _ENGINES, _ENGINES) == (
        suspects.Clear()
    )


def test_the_second_crash_as_the_only_suspect_refuses_then_tries_again():
    watch = suspects.Suspects()
    call, near = build.call(), build.call()
    watch.started("e0", near)
    _crash(watch, call, "e0", WALL)
    _crash(watch, call, "e1", WALL + 3.0)
    refusal = watch.check(WALL + 6.0, call, _ENGINES, _ENGINES)
    assert refusal.kind is errors.ErrorKind.CRASH_SUSPECT
    assert refusal.retry_after == pytest.approx(597.0)
    later = watch.check(WALL + 605.0, call, _ENGINES, _ENGINES)
    assert isinstance(later, suspects.Quarantine)
    assert watch.check(WALL + 6.0, near, _ENGINES, _ENGINES)


def test_suspects_of_one_crash_take_turns_on_a_server():
    watch = suspects.Suspects()
    calls = [build.call() for _ in range(8)]
    for call in calls:
        watch.started("e0", call)
    watch.crashed(WALL, "e0", "i1")
    checks = [watch.check(WALL + 2.0, c, ["e1"], ["e1"]) for c in calls]
    now = [c for c in checks if isinstance(c, suspects.Quarantine)]
    turns = sorted(c.until for c in checks if isinstance(c, suspects.Wait))
    assert len(now) == 1
    assert turns == [WALL + 2.0 + 5.0 * i for i in range(1, 8)]


def test_the_table_is_bounded_and_keeps_the_most_suspect():
    watch = suspects.Suspects(suspects.Settings(entries=10))
    killer = build.call()
    _crash(watch, killer, "e0", WALL)
    _crash(watch, killer, "e1", WALL + 1.0)
    for i in range(50):
        _crash(watch, build.call(), "e2", WALL + 2.0 + i)
    assert len(watch.everything()) == 10
    assert not watch.check(WALL + 60.0, killer, _ENGINES, _ENGINES)


def test_a_node_whose_clock_is_ahead_holds_nothing_back():
    watch = suspects.Suspects()
    call = build.call()
    crash = suspects.Crash("e0", "i1", WALL + 3600.0)
    rumour = suspects.SuspectSeen(call.content, "seam", (crash,), 0.0)
    watch.heard([rumour], WALL)
    check = watch.check(WALL + 2.0, call, _ENGINES, _ENGINES)
    assert isinstance(check, suspects.Quarantine)


def test_suspects_are_forgotten_in_time():
    watch = suspects.Suspects()
    _crash(watch, build.call(), "e0", WALL)
    watch.expire(WALL + 1400.0)
    assert watch.everything()
    watch.expire(WALL + 1600.0)
    assert watch.everything() == []


class Result(NamedTuple):
    """What a run of the fleet came to."""

    servers_down: int
    never_answered: int
    slowest_s: float


class _Fleet:
    """Nodes before six engines, 400 innocents and one killer.

    A caller sends again, through a random node, whatever was refused or
    lost.  The killer's caller does not wait as told.
    """

    def __init__(self, seed, copies, watch_class, nodes, max_delay_s):
        self.loop = engine_model.Loop()
        self.rng = random.Random(seed)
        self.max_delay_s = max_delay_s
        self.engines = {
            name: engine_model.Engine(self.loop, engine_model.Spec(name))
            for name in _ENGINES
        }
        self.up = set(_ENGINES)
        self.watches = [watch_class() for _ in range(nodes)]
        self.pickers = [
            build.new_picker(seed + i, node=f"n{i}") for i in range(nodes)
        ]
        self.killer = build.call(caller="killer", content=b"k%d" % seed)
        self.copies = itertools.count()
        self.down = 0
        self.waiting = {}
        self.slowest = 0.0
        for _ in range(copies):
            self.loop.at(10.0, self.send_killer)
        for i in range(400):
            content = b"i%d.%d" % (seed, i)
            self.loop.at(
                self.rng.uniform(0.0, 60.0),
                lambda content=content: self.send_innocent(content),
            )

    @property
    def wall(self):
        return WALL + self.loop.now

    def send_killer(self):
        name = f"killer-{next(self.copies)}"
        self.submit(
            self.rng.randrange(len(self.watches)),
            self.killer._replace(request_id=name),
        )

    def send_innocent(self, content):
        call = build.call(content=content)
        self.waiting[call.request_id] = self.loop.now
        self.submit(self.rng.randrange(len(self.watches)), call)

    def later(self, seconds, node, call):
        self.loop.at(self.loop.now + seconds, lambda: self.submit(node, call))

    def submit(self, node, call):
        usable = sorted(self.up)
        check = self.watches[node].check(self.wall, call, _ENGINES, usable)
        match check:
            case suspects.Clear() if usable:
                replicas = [
                    c for c in build.candidates(6) if c.engine in self.up
                ]
                choice = self.pickers[node].choose(
                    self.loop.now, call, replicas
                )
                self.run(node, choice.engine, call)
            case suspects.Quarantine(server=server):
                self.run(node, server, call)
            case suspects.Wait(until=until):
                self.later(until - self.wall, node, call)
            case _:
                wait_s = getattr(check, "retry_after", 1.0)
                wait_s = 0.5 if call.caller == "killer" else wait_s
                self.later(wait_s, self.rng.randrange(len(self.watches)), call)

    def run(self, node, server, call):
        self.watches[node].started(server, call)
        self.pickers[node].started(self.loop.now, server, call)
        job = engine_model.Job(
            call,
            self.rng.randrange(50, 200),
            lambda job: self.ended(node, server, job),
        )
        self.engines[server].submit(job)
        if call.caller == "killer":
            self.loop.at(
                self.loop.now + _CRASH_AFTER_S,
                lambda: self.crash(server, job),
            )

    def ended(self, node, server, job):
        self.pickers[node].finished(
            self.loop.now, server, job.call, outcome.Outcome.WHOLE
        )
        if job.whole:
            self.watches[node].finished(self.wall, server, job.call, True)
            sent_at = self.waiting.pop(job.call.request_id)
            self.slowest = max(self.slowest, self.loop.now - sent_at)
            self.gossip(node)

    def crash(self, server, job):
        if not job.open:
            return
        self.down += 1
        incarnation = str(self.engines[server].incarnation)
        self.engines[server].crash()
        self.up.discard(server)
        self.loop.at(self.loop.now + _RESTART_S, lambda: self.up.add(server))
        for node, watch in enumerate(self.watches):
            for call in watch.crashed(self.wall, server, incarnation):
                self.later(0.0, node, call)
            self.gossip(node)

    def gossip(self, node):
        changes = self.watches[node].rumours(100)
        for watch in self.watches:
            delay_s = self.rng.uniform(0.05, self.max_delay_s)
            self.loop.at(
                self.loop.now + delay_s, lambda w=watch: w.heard(changes)
            )


def run_fleet(
    seed,
    copies=1,
    watch_class=suspects.Suspects,
    nodes=8,
    max_delay_s=1.5,
    seconds=500.0,
):
    fleet = _Fleet(seed, copies, watch_class, nodes, max_delay_s)
    fleet.loop.run(seconds)
    return Result(fleet.down, len(fleet.waiting), fleet.slowest)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("copies", [1, 8])
def test_one_killer_takes_down_few_servers_and_no_innocent(seed, copies):
    result = run_fleet(seed, copies)
    assert result.servers_down <= 3
    assert result.never_answered == 0


class _Unaware(suspects.Suspects):
    """Deliberate fault: each node knows only what it has seen itself."""

    def heard(self, rumours):
        del rumours


class _Careless(suspects.Suspects):
    """Deliberate fault: one crash is enough to refuse, for good."""

    def _convicted(self, content, crashes):
        return bool(crashes)


def test_the_checks_catch_nodes_that_do_not_share():
    assert run_fleet(1, 1, _Unaware).servers_down > 3


def test_the_checks_catch_refusing_all_that_were_near():
    assert run_fleet(1, 1, _Careless).never_answered > 0
