"""Tests of the choice of an engine."""

import collections

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.routing import breaker
from azureline.routing import loads
from azureline.routing import outcome
from azureline.routing import picker
from tests import builders_routing as build
from tools import engine_model


def _chosen(p, replicas, count=200, now=0.0, **fields):
    """Returns how often each engine is chosen, without sending calls."""
    return collections.Counter(
        p.choose(now, build.call(**fields), replicas).engine
        for _ in range(count)
    )


def test_without_replicas_the_refusal_is_no_replica():
    refusal = build.new_picker().choose(0.0, build.call(), [])
    assert refusal.kind is errors.ErrorKind.NO_REPLICA


@given(
    st.lists(
        st.tuples(st.sampled_from(list(picker.State)), st.booleans()),
        min_size=1,
        max_size=12,
    ),
    st.integers(0, 1000),
)
def test_only_serving_engines_are_chosen(states, seed):
    replicas = [
        build.candidate(f"e{i}", state=state)
        for i, (state, _) in enumerate(states)
    ]
    p = build.new_picker(seed)
    allowed = set()
    for replica, (state, is_leaving) in zip(replicas, states, strict=True):
        if is_leaving:
            p.exclude_leaving(0.0, replica.engine)
        elif state is picker.State.SERVING:
            allowed.add(replica.engine)
    choice = p.choose(100.0, build.call(), replicas)
    assert choice.engine in allowed if choice else not allowed


def test_an_exclusion_expires_after_the_last_leaving_notification():
    p = build.new_picker()
    p.exclude_leaving(0.0, "e1")
    replicas = [build.candidate("e1")]
    assert not p.choose(119.0, build.call(), replicas)
    assert p.choose(121.0, build.call(), replicas)


def test_an_engine_with_an_open_breaker_is_not_chosen():
    gate = breaker.Breakers(None, breaker.Settings(failures=1))
    gate._rng = build.random.Random(1)
    p = build.new_picker(gate=gate)
    call = build.call()
    p.started(0.0, "e0", call)
    p.finished(0.0, "e0", call, outcome.Outcome.FAILED)
    assert _chosen(p, build.candidates(2)) == {"e1": 200}


def test_engines_to_avoid_are_chosen_only_without_others():
    p = build.new_picker()
    replicas = build.candidates(2)
    assert p.choose(0.0, build.call(), replicas, ["e0"]).engine == "e1"
    assert p.choose(0.0, build.call(), replicas[:1], ["e0"]).engine == "e0"


def test_own_outstanding_calls_count_at_once():
    p = build.new_picker()
    replicas = build.candidates(6)
    for _ in range(60):
        call = build.call()
        p.started(0.0, p.choose(0.0, call, replicas).engine, call)
    counts = [p.outstanding(c.engine) for c in replicas]
    assert max(counts) - min(counts) <= 5


def test_each_node_uses_a_subset_and_all_nodes_together_use_all():
    replicas = build.candidates(50)
    used = collections.Counter()
    for node in range(60):
        mine = _chosen(build.new_picker(node=f"n{node}"), replicas)
        assert len(mine) == 8
        used.update(mine.keys())
    assert len(used) == 50
    assert max(used.values()) <= 3 * 60 * 8 / 50


def test_copies_of_a_content_go_to_two_engines_through_any_node():
    replicas = build.candidates(6)
    engines = set()
    for node in range(40):
        p = build.new_picker(seed=node, node=f"n{node}")
        call = build.call(content=b"same")
        engines.add(p.choose(0.0, call, replicas).engine)
    assert len(engines) <= 2


def test_the_local_failure_domain_wins_between_equal_loads():
    chosen = _chosen(build.new_picker(), build.candidates(3))
    assert chosen["e0"] > chosen["e1"] + chosen["e2"]


def test_resident_adapters_are_preferred_until_their_engine_is_loaded():
    replicas = [build.candidate("e0", adapters=["a"])]
    replicas += build.candidates(4)[1:]
    p = build.new_picker()
    assert _chosen(p, replicas, adapter="a") == {"e0": 200}
    for engine, running in (("e0", 30), ("e1", 6), ("e2", 6), ("e3", 6)):
        p.record_hint(0.0, engine, loads.LoadHint(running, queued=0))
    assert _chosen(p, replicas, adapter="a")["e0"] == 0


def _learn_prefix(p, engine):
    call = build.call(prefix=b"p")
    p.started(0.0, engine, call)
    p.finished(0.0, engine, call, outcome.Outcome.WHOLE)


def test_cached_prefixes_are_preferred_until_evicted_or_restarted():
    p = build.new_picker()
    replicas = build.candidates(4)
    _learn_prefix(p, "e3")
    assert _chosen(p, replicas, prefix=b"p") == {"e3": 200}
    p.prefix_evicted("e3", b"p")
    assert len(_chosen(p, replicas, prefix=b"p")) == 4
    _learn_prefix(p, "e3")
    p.reset_engine("e3")
    assert len(_chosen(p, replicas, prefix=b"p")) == 4


def test_old_hints_decay_to_the_mean_of_the_others():
    p = build.new_picker()
    replicas = build.candidates(3)
    for engine in ("e0", "e1", "e2"):
        p.record_hint(
            0.0, engine, loads.LoadHint(20 if engine == "e0" else 5, 0)
        )
    assert _chosen(p, replicas)["e0"] == 0
    assert _chosen(p, replicas, now=30.0)["e0"] > 50


@pytest.mark.parametrize(
    "header", ["", "3", "3,", ",1", "-1,2", "a,b", "1,2,3"]
)
def test_a_malformed_load_header_is_no_hint(header):
    assert loads.parse_load(header) is None


def test_a_load_header_is_parsed():
    assert loads.parse_load("12,3") == loads.LoadHint(12, 3)


class _TrustsReportsOnly(picker.Picker):
    """Deliberate fault: the least loaded engine by report gets all calls."""

    def _pair(self, call, pool, load_by_engine, bound):
        del call, load_by_engine, bound
        return [min(pool, key=lambda c: self._loads._load(c.engine).others)]


def measure_peak_load(cls, seed):
    """Returns the largest load of an engine relative to the mean.

    Eight nodes send to six engines at 60% of their capacity.  Every engine
    reports its load to all nodes every two seconds.
    """
    loop = engine_model.Loop()
    engines = {
        c.engine: engine_model.Engine(loop, engine_model.Spec(c.engine))
        for c in build.candidates(6)
    }
    rng = build.random.Random(seed)
    nodes = [
        build.new_picker(seed + i, node=f"n{i}", cls=cls) for i in range(8)
    ]
    worst = []

    def report():
        for name, engine in engines.items():
            for node in nodes:
                node.record_hint(loop.now, name, engine.load)
        loop.at(loop.now + 2.0, report)

    def arrive():
        call, node = build.call(), rng.choice(nodes)
        replicas = build.candidates(6, max_running=64)
        name = node.choose(loop.now, call, replicas).engine
        node.started(loop.now, name, call)
        ended = lambda job: node.finished(  # noqa: E731
            loop.now, name, call, outcome.Outcome.WHOLE
        )
        engines[name].submit(engine_model.Job(call, 100, ended))
        loop.at(loop.now + rng.expovariate(25.0), arrive)

    def sample():
        counts = [sum(e.load) for e in engines.values()]
        worst.append(max(counts) / (sum(counts) / len(counts)))
        loop.at(loop.now + 0.5, sample)

    report()
    arrive()
    loop.at(10.0, sample)
    loop.run(60.0)
    return sum(worst) / len(worst)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_lagging_reports_do_not_concentrate_load(seed):
    assert measure_peak_load(picker.Picker, seed) < 1.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_peak_load_check_catches_choice_by_reports_alone(seed):
    assert measure_peak_load(_TrustsReportsOnly, seed) > 1.5
