"""Tests of engine selection without a network, on a virtual clock."""

import itertools
import random
import statistics

import pytest

from azureline.engine_choice import beliefs as beliefs_lib
from azureline.engine_choice import engine_records
from azureline.engine_choice import options
from azureline.engine_choice import selection
from azureline.relay import reservations
from tests import builders_engine_choice as builders
from tests import builders_relay

NOW = 100.0
CHAT = builders_relay.route(target_s=0.415, gap_s=0.3, rank=0)
_HEALTHY = {"ready": True, "busy": False, "penalty": 1.0}
PARTS = [f"p{i}" for i in range(40)]


def _names(ranked):
    return [o.server.server_id for o in ranked]


def _rank(profile, *candidates, now=NOW):
    return _names(selection.rank(profile, candidates, now))


def _fleet(count=5, **fields):
    return [builders.candidate(f"e{i}", **fields) for i in range(count)]


def _in_domain(own, count=6):
    return [
        builders.candidate(f"e{i}", other_domain=i % 3 != own)
        for i in range(count)
    ]


def _cached(age_s=0.1, **fields):
    return options.Belief(6300, NOW - age_s, **fields)


def _queued(seconds):
    return options.Queue(NOW + seconds, NOW)


class TestOrder:
    """Guards what callers relied on in the order by rendezvous hashing."""

    def test_requests_with_common_parts_go_to_the_same_engine(self):
        fleet = _fleet()
        shuffled = random.Random(1).sample(fleet, 5)
        profile = builders.profile()
        assert _rank(profile, *fleet) == _rank(profile, *shuffled)

    def test_requests_with_different_parts_are_spread_over_the_engines(self):
        firsts = {
            _rank(builders.profile(affinity=p), *_fleet())[0] for p in PARTS
        }
        assert len(firsts) == 5

    def test_long_prompts_of_all_domains_go_to_the_same_engine(self):
        for part in PARTS:
            profile = builders.profile(affinity=part)
            firsts = {_rank(profile, *_in_domain(own))[0] for own in range(3)}
            assert len(firsts) == 1

    def test_short_prompts_stay_in_their_domain(self):
        for part in PARTS:
            profile = builders.short(affinity=part)
            first = selection.rank(profile, _in_domain(0), NOW)[0]
            assert not first.candidate.other_domain

    def test_short_prompts_leave_a_domain_that_would_answer_late(self):
        near = builders.candidate("e0", queue=_queued(0.5))
        far = builders.candidate("e1", other_domain=True)
        assert _rank(builders.short(), near, far) == ["e1", "e0"]

    def test_short_prompts_avoid_an_engine_that_prefills_much(self):
        reads = builders.candidate("e1", reading_ratio=0.9)
        fleet = [
            reads,
            builders.candidate("e2", reading_ratio=0.3),
            builders.candidate("e3"),
        ]
        for part in PARTS:
            assert _rank(builders.short(affinity=part), *fleet)[-1] == "e1"
        fleet[0] = reads._replace(belief=_cached(), queue=_queued(0.0))
        firsts = {_rank(builders.profile(affinity=p), *fleet)[0] for p in PARTS}
        assert "e1" in firsts, "Long prompts go where the queue is known."

    def test_a_short_gap_avoids_engines_where_answers_pause(self):
        fleet = [*_fleet(2), builders.candidate("e9", reading_ratio=0.45)]
        firsts = {
            gap_s: {
                _rank(builders.short(affinity=p, max_gap_s=gap_s), *fleet)[0]
                for p in PARTS
            }
            for gap_s in (0.3, 0.0)
        }
        assert "e9" not in firsts[0.3]
        assert "e9" in firsts[0.0], "A route without a gap avoids nothing."

    def test_engines_that_all_prefill_much_share_the_short_prompts(self):
        fleet = _fleet(3, reading_ratio=0.9)
        firsts = {_rank(builders.short(affinity=p), *fleet)[0] for p in PARTS}
        assert len(firsts) == 3

    def test_an_overloaded_engine_comes_last_for_short_prompts(self):
        fleet = [builders.candidate("e9", load=9.0), *_fleet(2)]
        for part in PARTS:
            assert _rank(builders.short(affinity=part), *fleet)[-1] == "e9"

    @pytest.mark.parametrize(
        "fields", [{"ready": False, "busy": True}, {"penalty": 4.0}]
    )
    def test_an_engine_in_trouble_comes_last(self, fields):
        fleet = [builders.candidate("e9", **fields), *_fleet(2)]
        for part in PARTS:
            profile = builders.profile(affinity=part)
            ranked = selection.rank(profile, fleet, NOW)
            assert ranked[-1].server.server_id == "e9"
            healthy = [c._replace(**_HEALTHY) for c in fleet]
            is_home = _rank(profile, *healthy)[0] == "e9"
            is_avoided = ranked[0].reason is options.Reason.AVOIDED
            assert is_avoided == is_home, "The reason names the unfit home."


class TestCost:
    """Guards the balance of what a cache saves and what a wait costs."""

    def _first(self, wait_s, **fields):
        home, other = _rank(builders.profile(), *_fleet(2))
        fleet = [
            builders.candidate(
                home, belief=_cached(), queue=_queued(wait_s), **fields
            ),
            builders.candidate(other, queue=_queued(0.0)),
        ]
        return selection.rank(builders.profile(), fleet, NOW)[0]

    def test_the_choice_changes_once_where_the_wait_outweighs_the_cache(self):
        reasons = [self._first(ms / 1000).reason for ms in range(0, 300, 5)]
        changes = [
            5 * (i + 1)
            for i, pair in enumerate(itertools.pairwise(reasons))
            if pair[0] is not pair[1]
        ]
        assert reasons[0] is options.Reason.HOME
        assert reasons[-1] is options.Reason.WAIT
        # 6,300 tokens take 195 ms, of which the second engine of the order is
        # assumed to save 30%; another engine has to be 50 ms cheaper.
        assert len(changes) == 1
        assert 185 <= changes[0] <= 205

    def test_streams_and_prompts_that_prefill_delays_count(self):
        home, other = _rank(builders.profile(), *_fleet(2))
        full = builders.candidate(home, load=63.0, reading_ratio=0.6)
        assert _rank(builders.profile(), full, builders.candidate(other)) == [
            other,
            home,
        ]

    def test_a_belief_decays_with_age_and_with_prefill(self):
        def saved_s(belief):
            engine = builders.candidate("e", belief=belief)
            return selection.rank(builders.profile(), [engine], NOW)[0].saved_s

        assert saved_s(_cached()) > 1.2 * saved_s(None)
        for belief in (_cached(300.0), _cached(prefilled_s=10.0)):
            assert saved_s(belief) == pytest.approx(saved_s(None), rel=0.01)

    def test_only_a_belief_that_has_not_faded_adds_an_engine(self):
        names = _rank(builders.profile(), *_fleet())
        for age_s, first in ((1.0, names[2]), (60.0, names[0])):
            fleet = [
                builders.candidate(names[0], reading_ratio=0.6),
                builders.candidate(names[1], reading_ratio=0.6),
                builders.candidate(names[2], belief=_cached(age_s)),
            ]
            assert _rank(builders.profile(), *fleet)[0] == first

    def test_the_home_that_has_ended_is_replaced_by_the_same_engine(self):
        ranked = _rank(builders.profile(), *_fleet())
        left = [c for c in _fleet() if c.server.server_id != ranked[0]]
        assert _rank(builders.profile(), *left)[0] == ranked[1]

    def test_an_old_reply_no_longer_keeps_requests_from_the_home(self):
        home, other = _rank(builders.profile(), *_fleet(2))
        fleet = [
            builders.candidate(home, queue=_queued(0.3)),
            builders.candidate(other),
        ]
        assert _rank(builders.profile(), *fleet)[0] == other
        assert _rank(builders.profile(), *fleet, now=NOW + 0.3)[0] == home


class TestKnowledge:
    """Guards the bounds of what a node remembers, and its corrections."""

    def test_beliefs_are_bounded_and_end_with_the_engine(self):
        known = beliefs_lib.Beliefs()
        for number in range(5000):
            prefix = options.Prefix(f"p{number}", 10)
            known.learn(prefix, ("e", 1), 0.0, NOW)
        assert len(known) == 4096
        assert known.find((prefix,), ("e", 1), 0.0)
        assert known.find((prefix,), ("e", 2), 0.0) is None

    def test_records_are_bounded_and_end_with_the_engine(self):
        records = engine_records.EngineRecords()
        for number in range(2000):
            records.keep((f"e{number}", 1)).reply(1.0, NOW)
        assert len(records) == 1024
        assert records.get(("e1999", 1)).queue.busy_until == NOW + 1.0
        assert records.get(("e1999", 2)).queue == options.Queue()

    def test_own_requests_count_before_their_reply(self):
        node = builders.Fleet(nodes=1).nodes[0]
        request = builders.prompt("p")
        profile = node.choice.profile(request, builders.ROUTE, builders.SPEC)

        def first():
            return node.assigner.rank(request, profile, node.fleet.servers)[0]

        home = first()
        for _ in range(3):
            node.choice.record_asked(home)
        assert first().server != home.server
        for _ in range(3):
            node.choice.record_cancelled(home)
        assert first().server == home.server

    def test_immediate_eviction_ends_the_trust_in_beliefs(self):
        node = builders.Fleet(nodes=1).nodes[0]
        request = builders.prompt("p")
        profile = node.choice.profile(request, builders.ROUTE, builders.SPEC)
        whole_s = request.prompt_tokens / builders.TOKENS_PER_S
        uncached = reservations.ReservationResult(
            True, reading_s=whole_s, reservation_id=1
        )
        saved_s = []
        for _ in range(8):
            node.fleet.clock.advance(1.0)
            ranked = node.assigner.rank(request, profile, node.fleet.servers)
            option = min(ranked, key=lambda o: o.server.server_id)
            saved_s.append(option.saved_s)
            node.choice.record_asked(option)
            node.choice.record_reply(profile, option, uncached)
        assert node.counters.get("engine_beliefs.miss") == 7
        assert saved_s[-1] < 0.3 * saved_s[1]


def _play(policy, per_s, seed, **fields):
    """Returns a fleet after a play of long prompts and short chats."""
    rng = random.Random(seed)
    fleet = builders.Fleet(policy, **fields)

    def shared(rng):
        kind = min(int(rng.paretovariate(1.0)), 40)
        return builders.prompt(f"p{kind}")

    def unique(rng):
        return builders.prompt(f"{rng.random()}", shared=0)

    def chat(rng):
        return builders.prompt(f"c{rng.randrange(10)}", 826, 198)

    fleet.play(
        12.0,
        rng,
        ("shared", per_s, shared, builders.ROUTE),
        ("unique", 0.12 * per_s, unique, builders.ROUTE),
        ("chat", 1.5 * per_s, chat, CHAT),
    )
    return fleet


def _mean_s(done, kind):
    return statistics.fmean(min(d.first_s, 5.0) for d in done if d.kind == kind)


def _on_time(done):
    targets = {"chat": CHAT.target_s}
    return statistics.fmean(
        d.first_s <= targets.get(d.kind, builders.TARGET_S) for d in done
    )


@pytest.mark.parametrize("nodes", [4, 40])
def test_no_caller_pays_for_those_with_a_cached_prefix(nodes):
    """Guards against a gain for one kind of callers at the cost of another.

    18 long prompts a second with a shared prefix, with the others, use 65% of
    the engines' time.
    """
    played = {
        name: [
            done
            for seed in range(5)
            for done in _play(policy, 18.0, seed, nodes=nodes).done
        ]
        for name, policy in builders.POLICIES.items()
    }
    cost, today = played["cost"], played["rendezvous"]
    for name, done in played.items():
        assert _on_time(cost) >= _on_time(done) - 0.005, name
    assert _mean_s(cost, "shared") < _mean_s(today, "shared")
    assert _mean_s(cost, "unique") < 1.05 * _mean_s(today, "unique")
    assert _mean_s(cost, "chat") < 1.05 * _mean_s(today, "chat")


def test_a_hot_prefix_uses_as_many_engines_as_its_load_needs():
    """Guards against one engine for all, and against copies everywhere."""
    used = []
    for per_s in (1.0, 8.0, 40.0):
        fleet = builders.Fleet()
        hot = builders.prompt("hot")
        source = ("hot", per_s, lambda rng, hot=hot: hot, builders.ROUTE)
        fleet.play(15.0, random.Random(3), source)
        served = [d.server for d in fleet.done]
        used.append(
            sum(served.count(e) > 0.05 * len(served) for e in fleet.engines)
        )
    assert used[0] == 1
    assert used[0] <= used[1] < used[2]


def _play_fault(fault, policy):
    served, late = [], 0
    for seed in range(3):
        fleet = builders.Fleet(policy, nodes=8)
        fleet.holders_lost = fault == "holders"
        fleet.reports_lost = fault == "reports"
        if fault == "evicts":  # Without its lease holder's knowledge.
            fleet.engines["e1"].cache_tokens = 0
        if fault == "restart":
            for at, name in ((3.0, "e0"), (6.0, "e1")):
                fleet.clock.callLater(at, fleet.engines[name].restart, at)

        def shared(rng):
            return builders.prompt(f"p{rng.randrange(12)}")

        source = ("shared", 15.0, shared, builders.ROUTE)
        fleet.play(10.0, random.Random(seed), source)
        served += [d.server for d in fleet.done]
        late += sum(d.first_s > builders.TARGET_S for d in fleet.done)
    most = max(served.count(name) for name in fleet.engines)
    return most / len(served), late / len(served)


@pytest.mark.parametrize(
    "fault", ["none", "holders", "reports", "restart", "evicts"]
)
def test_faults_cost_cache_misses_and_no_overload(fault):
    """Guards against herding on one engine by old or missing knowledge."""
    most, late = _play_fault(fault, builders.POLICIES["cost"])
    _, late_today = _play_fault(fault, builders.POLICIES["rendezvous"])
    assert most < 0.35
    assert late <= late_today + 0.005


def test_choices_are_counted_by_reason_and_logged_with_ages():
    """Guards the operators' view of the decisions."""
    fleet = _play(builders.POLICIES["cost"], 18.0, 7)
    counts = {}
    for node in fleet.nodes:
        for name, n in node.counters.with_prefix("engine_choices.").items():
            counts[name] = counts.get(name, 0) + n
    assert sum(counts.values()) == sum(d.server != "" for d in fleet.done)
    assert {"home", "no_belief", "wait", "cached"} <= counts.keys()
    lines = [fields for node in fleet.nodes for _, fields in node.lines]
    assert {"wait", "cached"} <= {line["reason"] for line in lines}
    assert all("queue_age_s" in line for line in lines)
    assert len(lines) <= 4 * 3 * 18
