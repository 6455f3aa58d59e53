"""Tests of the relay's smaller decisions: ranking, waits, budgets, claims."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.platform import eras
from azureline.relay import claims
from azureline.relay import health
from azureline.relay import keys
from azureline.relay import ranking
from azureline.relay import residency as residencies
from azureline.relay import retry_budget
from azureline.relay import routes
from azureline.relay import servers
from azureline.relay import wait_policy
from tests import builders_relay as builders


def _candidate(name, load=0.0, penalty=1.0, other_domain=False, **fields):
    server = builders.server(name, "a")
    return ranking.Candidate(server, load, penalty, other_domain, **fields)


def _names(candidates):
    return [c.server.server_id for c in candidates]


class TestPlacement:
    def test_requests_with_common_parts_go_to_the_same_engine(self):
        fleet = [_candidate(f"e{i}") for i in range(5)]
        shuffled = random.Random(1).sample(fleet, 5)
        first = ranking.rank_by_affinity(fleet, "model p1")
        assert first == ranking.rank_by_affinity(shuffled, "model p1")

    def test_requests_with_different_parts_are_spread_over_the_engines(self):
        fleet = [_candidate(f"e{i}") for i in range(5)]
        firsts = {
            _names(ranking.rank_by_affinity(fleet, f"part {i}"))[0]
            for i in range(60)
        }
        assert len(firsts) == 5

    def test_long_prompts_of_all_domains_go_to_the_same_engine(self):
        for part in range(20):
            fleets = [
                [
                    _candidate(f"e{i}", other_domain=i % 3 != own)
                    for i in range(6)
                ]
                for own in range(3)
            ]
            firsts = {
                _names(
                    ranking.rank_by_affinity(v, str(part), near_first=False)
                )[0]
                for v in fleets
            }
            assert len(firsts) == 1

    def test_short_prompts_stay_in_their_domain(self):
        fleet = [_candidate(f"e{i}", other_domain=i % 3 != 0) for i in range(6)]
        for part in range(20):
            first = ranking.rank_by_affinity(fleet, str(part))[0]
            assert not first.other_domain

    def test_short_prompts_avoid_an_engine_that_reads_much(self):
        reads = _candidate("e1", reading_ratio=0.9)
        fleet = [reads, _candidate("e2", reading_ratio=0.3), _candidate("e3")]
        for part in range(20):
            assert ranking.rank_by_affinity(fleet, str(part))[-1] == reads
        firsts = {
            _names(
                ranking.rank_by_affinity(fleet, str(part), near_first=False)
            )[0]
            for part in range(20)
        }
        assert "e1" in firsts, "Long prompts also go to engines that read much."

    def test_engines_that_all_read_much_share_the_short_prompts(self):
        fleet = [_candidate(f"e{i}", reading_ratio=0.9) for i in range(3)]
        firsts = {
            _names(ranking.rank_by_affinity(fleet, str(part)))[0]
            for part in range(40)
        }
        assert len(firsts) == 3

    def test_an_overloaded_engine_comes_last(self):
        fleet = [_candidate("e1", 9.0), _candidate("e2"), _candidate("e3")]
        for part in range(20):
            assert ranking.rank_by_affinity(fleet, str(part))[-1].load == 9.0

    def test_an_engine_that_can_load_nothing_comes_last(self):
        blocked = _candidate("e1", ready=False, busy=True)
        fleet = [blocked, _candidate("e2", other_domain=True)]
        assert ranking.rank_by_affinity(fleet, "x")[-1] == blocked

    def test_the_penalty_of_a_failing_server_decays(self):
        recorded = health.ServerHealth()
        for _ in range(6):
            recorded.record_attempt(("e1", 1), False, 0.1, 0.0)
        assert recorded.penalty(("e1", 1), 0.0) > 8.0
        assert recorded.penalty(("e1", 1), 20.0) < 1.1
        assert recorded.penalty(("e1", 2), 0.0) == 1.0

    def test_a_server_that_answers_nobody_until_a_deadline_is_failing(self):
        recorded = health.ServerHealth()
        recorded.record_first_part(("e2", 1), 0.1, 9.5)
        for name in ("e1", "e2"):
            recorded.record_unanswered((name, 1), 1.5, 10.0)
        assert recorded.penalty(("e1", 1), 10.0) > 3.0
        assert recorded.penalty(("e2", 1), 10.0) == 1.0

    def test_plain_servers_are_ordered_by_load(self):
        fleet = [_candidate("e1", 3.0), _candidate("e2", 1.0)]
        ordered = ranking.rank_by_load(fleet, lambda: 0.0)
        assert _names(ordered) == ["e2", "e1"]


class TestPatience:
    def test_a_request_is_refused_at_once_if_the_limits_are_used_up(self):
        refusal = wait_policy.decide_limit_wait(
            10.0, 11.0, True, 14.5, 15.0, "Used up."
        )
        assert refusal.answer.ran is errors.Ran.NO
        assert refusal.answer.retry_after_s == pytest.approx(1.0)

    def test_a_request_waits_for_a_node_that_grants_calls(self):
        decision = wait_policy.decide_limit_wait(
            10.0, 10.6, False, 14.5, 15.0, "Nobody grants."
        )
        assert decision == wait_policy.Wait(10.6)

    def test_a_load_that_ends_in_time_is_waited_for(self):
        decision = wait_policy.decide_model_wait(
            10.0, 10.0, 15.0, 15.0, 1.0, 10.8
        )
        assert isinstance(decision, wait_policy.Wait)
        assert 10.8 < decision.until < 15.0

    def test_a_load_that_ends_too_late_is_not_waited_for(self):
        refusal = wait_policy.decide_model_wait(
            10.0, 10.0, 12.0, 12.0, 1.0, 14.0
        )
        assert refusal.kind is errors.ErrorKind.NO_REPLICA
        assert refusal.answer.ran is errors.Ran.NO
        # At most a third of the time to the deadline.
        assert 0 < refusal.answer.retry_after_s <= 2.0 / 3 + 1e-9

    @pytest.mark.parametrize(
        ("first_event_deadline", "load_s", "until"),
        [
            # 90 % of the time in which a load could still start.
            (10.0, 4.0, 4.95),
            (4.8, 0.5, 3.42),
            # A load could hardly end in time: the time to publish a load.
            (2.0, 1.2, 0.35),
        ],
    )
    def test_a_request_waits_while_a_load_could_still_start_in_time(
        self, first_event_deadline, load_s, until
    ):
        terms = (first_event_deadline, 15.0, load_s, None)
        first = wait_policy.decide_model_wait(0.0, 0.0, *terms)
        assert first == wait_policy.Wait(pytest.approx(until))
        assert isinstance(
            wait_policy.decide_model_wait(until + 0.01, 0.0, *terms),
            errors.Refusal,
        )

    def test_the_retry_after_is_when_the_loading_model_is_ready(self):
        # The caller disconnects after 4.8 s without an event and retries
        # within 15 s; the model is loaded after 4.5 s.
        refusal = wait_policy.decide_model_wait(0.0, 0.0, 4.8, 15.0, 0.6, 4.5)
        assert refusal.answer.retry_after_s == 4.5

    def test_the_time_callers_wait_for_the_first_event(self):
        assert builders.route(target_s=0.6, gap_s=0.6).first_event_s == 4.8
        assert builders.route(target_s=4.0, gap_s=0.6).first_event_s == 16.0
        assert builders.route(target_s=0.1, gap_s=0.1).first_event_s == 2.0

    def test_a_load_that_is_overdue_is_not_waited_for(self):
        """Its order is lost, or its engine takes seconds to unload a model."""
        terms = (4.8, 15.0, 0.5, 1.0)
        decision = wait_policy.decide_model_wait(0.0, 0.0, *terms)
        assert decision == wait_policy.Wait(pytest.approx(1.5))
        # The request still waits for another load to be published.
        later = wait_policy.decide_model_wait(1.5, 0.0, *terms)
        assert later == wait_policy.Wait(pytest.approx(3.42))
        refusal = wait_policy.decide_model_wait(3.43, 0.0, *terms)
        assert refusal.kind is errors.ErrorKind.NO_REPLICA
        assert refusal.answer.retry_after_s > 0

    @hypothesis.given(
        st.floats(0, 100),
        st.floats(0, 10),
        st.floats(0, 20),
        st.floats(0, 5),
        st.none() | st.floats(0, 150),
    )
    def test_waits_end_after_now_and_by_the_deadline(
        self, now, waited, left, load_s, ready
    ):
        first_event_deadline = now + left
        decision = wait_policy.decide_model_wait(
            now,
            now - waited,
            first_event_deadline,
            first_event_deadline,
            load_s,
            ready,
        )
        if isinstance(decision, wait_policy.Wait):
            # A wait that ends at once would repeat the decision without end.
            assert now < decision.until <= first_event_deadline


class TestBudget:
    TERMS = retry_budget.BudgetTerms(0.2, 10.0, 50.0)

    def test_all_nodes_together_stay_within_the_shared_budget(self):
        nodes = [retry_budget.RetryBudget(self.TERMS) for _ in range(7)]
        sent = repeats = 0
        for node in nodes:
            node.set_nodes(7)
            for i in range(100):
                node.record_first_send("s", i * 0.05)
                sent += 1
                repeats += node.spend("s", i * 0.05)
        assert 0 < repeats <= 0.2 * sent + 50.0

    def test_the_window_slides(self):
        node = retry_budget.RetryBudget(self.TERMS)
        node.set_nodes(50)
        assert not node.spend("s", 0.0)
        for _ in range(20):
            node.record_first_send("s", 1.0)
        assert node.spend("s", 2.0)
        assert not node.spend("s", 30.0)


class TestClaims:
    TERMS = claims.LeaseTimes(2.5, 0.5, 1.5, 3.0, 0.4)

    def test_orders_end_before_the_lease_can(self):
        validity = claims.LeaseValidity(self.TERMS)
        assert not validity.covers(0.0)
        validity.extend(10.0)
        assert validity.covers(11.4) and not validity.covers(11.5)
        validity.end()
        assert not validity.covers(10.1)

    def test_a_successor_waits_for_its_predecessors_orders(self):
        # A holder whose lease is revoked may send orders for 1.5 s; the
        # successor keeps a distance of 3 s to the last one.
        assert self.TERMS.wait_s >= 1.5 + 3.0

    def test_nodes_claim_one_after_another(self):
        nodes = ["n1", "n2", "n3"]
        ages = {}
        for name in nodes:
            schedule = claims.ClaimSchedule(name)
            for tick in range(60):
                if schedule.resources_to_claim(
                    ["e1"], {}, {}, nodes, tick * 0.1
                ):
                    ages[name] = tick * 0.1
                    break
        assert sorted(ages.values()) == pytest.approx([0.0, 1.0, 2.0])

    def test_an_engine_with_a_holder_is_not_claimed(self):
        schedule = claims.ClaimSchedule("n1")
        assert (
            schedule.resources_to_claim(["e1"], {"e1": "n2"}, {}, ["n1"], 9.0)
            == []
        )

    def test_nodes_that_hold_little_claim_first(self):
        held = {"e1": "n1", "e2": "n1", "e3": "n2"}
        due = claims.ClaimSchedule("n3").resources_to_claim(
            ["e4"], held, {}, ["n1", "n2", "n3"], 0.0
        )
        assert due == ["e4"]
        busy = claims.ClaimSchedule("n1")
        assert (
            busy.resources_to_claim(["e4"], held, {}, ["n1", "n2", "n3"], 0.0)
            == []
        )
        assert busy.resources_to_claim(
            ["e4"], held, {}, ["n1", "n2", "n3"], 2.0
        ) == ["e4"]

    def test_simultaneous_claims_are_spread_over_the_nodes(self):
        nodes = [f"n{i}" for i in range(7)]
        engines = [f"e{i}" for i in range(6)]
        due = [
            claims.ClaimSchedule(name).resources_to_claim(
                engines, {}, {}, nodes, 0.0
            )
            for name in nodes
        ]
        assert max(len(claimed) for claimed in due) == 1
        assert sorted(e for claimed in due for e in claimed) == engines

    def test_the_vm_of_the_last_term_claims_first(self):
        nodes = ["n1", "n2", "n3"]
        for name in nodes:
            due = claims.ClaimSchedule(name).resources_to_claim(
                ["e1"], {}, {"e1": "n2"}, nodes, 0.0
            )
            assert due == (["e1"] if name == "n2" else [])

    def test_a_term_that_was_released_shortens_the_wait(self):
        given_up = keys.TermRecord("n1", 1200)
        assert self.TERMS.wait_after(given_up, "n2") == pytest.approx(2.2)
        long_ago = keys.TermRecord("n1", 60000)
        assert self.TERMS.wait_after(long_ago, "n2") == 0.0
        lost = keys.TermRecord("n1")
        assert self.TERMS.wait_after(lost, "n2") == self.TERMS.wait_s
        assert self.TERMS.wait_after(None, "n2") == self.TERMS.wait_s

    def test_a_vm_does_not_wait_for_its_own_earlier_process(self):
        assert self.TERMS.wait_after(keys.TermRecord("n1"), "n1") == 0.0


class TestRoutes:
    def _table(self, *found, version=1):
        table = routes.RouteTable(random.Random(1))
        assert table.put_in_force(builders.config(version, *found))
        return table

    def test_the_longest_prefix_wins(self):
        table = self._table(
            builders.route("short", prefix="/a/"),
            builders.route("long", prefix="/a/b/"),
        )
        assert table.match("ficu95.example", "/a/b/c").name == "long"
        assert table.match("ficu95.example", "/a/x").name == "short"
        assert table.match("ficu95.example", "/b/") is None
        assert table.match("other.example", "/a/x") is None

    def test_an_older_version_never_replaces_a_newer_one(self):
        table = self._table(builders.route("new"), version=6)
        assert not table.put_in_force(builders.config(5))
        assert not table.put_in_force(builders.config(6))
        assert table.version == 6 and table.match("ficu95.example", "/a/")

    def test_a_version_given_out_again_after_a_return_is_put_in_force(self):
        table = routes.RouteTable(random.Random(1))
        lost = builders.config(9, builders.route(prefix="/lost/"))
        written = builders.config(9, builders.route(prefix="/a/"))
        assert table.put_in_force(lost, 70)
        assert not table.put_in_force(written, 80)
        assert not table.put_in_force(builders.config(8), eras.position(2, 50))
        assert table.put_in_force(written, eras.position(2, 60))
        assert not table.put_in_force(written, eras.position(3, 60))
        assert not table.put_in_force(lost)
        assert table.match("ficu95.example", "/a/")

    def test_services_are_chosen_by_weight(self):
        shares = (routes.Share("llm", 90.0), routes.Share("none", 10.0))
        table = self._table(builders.route(shares=shares))
        route = table.match("ficu95.example", "/a/")
        chosen = [table.service_of(route) for _ in range(1000)]
        assert 50 < sum(service is None for service in chosen) < 150


class TestCatalogue:
    def test_a_leaving_server_gets_no_requests(self):
        catalogue = servers.Catalogue()
        catalogue.update(builders.server("e1"))
        catalogue.update(builders.server("e1", leaving=True))
        catalogue.update(builders.server("e1"))
        assert catalogue.of_service("llm") == []

    def test_a_restarted_server_with_the_same_id_gets_requests(self):
        catalogue = servers.Catalogue()
        catalogue.update(builders.server("e1", leaving=True))
        catalogue.update(builders.server("e1", born_ms=2))
        assert [s.born_ms for s in catalogue.of_service("llm")] == [2]

    def test_an_entry_that_lapsed_in_an_outage_stays_until_renewal_is_due(self):
        catalogue = servers.Catalogue()
        catalogue.store_back(-10.0)
        catalogue.update(builders.server("e1"))
        catalogue.update(builders.server("e2"))
        catalogue.store_away()
        catalogue.store_back(100.0)
        assert catalogue.remove("e1", 100.1) is None
        assert catalogue.remove("e2", 100.1) is None
        catalogue.update(builders.server("e2"))
        assert len(catalogue.of_service("llm")) == 2
        assert catalogue.expire(101.9) == []
        assert [s.server_id for s in catalogue.expire(102.1)] == ["e1"]
        assert [s.server_id for s in catalogue] == ["e2"]

    def _returned(self, *entries):
        """Returns a catalogue that had entries, which the store forgot."""
        catalogue = servers.Catalogue()
        catalogue.store_back(-10.0)
        for entry in entries:
            catalogue.update(entry)
        return catalogue

    def test_an_older_entry_does_not_replace_a_newer_one(self):
        catalogue = self._returned(builders.server("e1", "a", beat=7))
        catalogue.store_returned()
        assert not catalogue.update(builders.server("e1", "b", beat=6))
        assert catalogue.get("e1").holds("a")
        assert catalogue.update(builders.server("e1", "b", beat=8))

    def test_the_copied_entry_of_a_server_that_is_gone_gets_no_requests(self):
        catalogue = self._returned(builders.server("e1", beat=7))
        catalogue.remove("e1", 50.0)
        catalogue.store_returned()
        assert not catalogue.update(builders.server("e1", beat=7))
        assert catalogue.accept_doubtful(60.0) == []
        catalogue.remove("e1", 61.0)
        assert catalogue.accept_doubtful(70.0) == []
        assert len(catalogue) == 0

    def test_a_copied_entry_that_its_server_keeps_alive_counts(self):
        for entry in (builders.server("e1", beat=7), None):
            catalogue = self._returned(builders.server("e1", beat=7))
            catalogue.remove("e1", 50.0)
            catalogue.store_returned()
            catalogue.update(builders.server("e1", beat=7))
            if entry is None:
                assert catalogue.update(builders.server("e1", beat=8))
            else:
                catalogue.accept_doubtful(60.0)
                assert catalogue.accept_doubtful(64.0) == [entry]
            assert len(catalogue.of_service("llm")) == 1

    def test_without_an_outage_a_lapsed_entry_is_removed_at_once(self):
        catalogue = servers.Catalogue()
        catalogue.store_back(-10.0)
        catalogue.update(builders.server("e1"))
        assert catalogue.remove("e1", 50.0).server_id == "e1"
        assert len(catalogue) == 0


class TestResidency:
    def _residency(self, *entries):
        catalogue = servers.Catalogue()
        for entry in entries:
            catalogue.update(entry)
        return residencies.Residency(catalogue)

    def _names(self, residency, model, now):
        return [s.server_id for s in residency.holders_of("llm", model, now)]

    def test_the_lease_holders_state_overrides_an_entry(self):
        residency = self._residency(builders.server("e1", "a"))
        residency.entered("e1", 0.0)
        assert self._names(residency, "a", 0.0) == ["e1"]
        residency.take(builders.engine_state("e1", "b"), 0.5)
        residency.entered("e1", 1.0)
        assert self._names(residency, "a", 1.0) == []
        assert self._names(residency, "b", 1.0) == ["e1"]

    def test_the_state_of_an_unresponsive_lease_holder_is_ignored(self):
        residency = self._residency(builders.server("e1", "a"))
        residency.take(builders.engine_state("e1", "b"), 0.0)
        residency.entered("e1", 5.0)
        assert self._names(residency, "a", 5.0) == ["e1"]

    def test_a_denial_expires(self):
        residency = self._residency(builders.server("e1", "a"))
        residency.deny("e1", "a", 0.0)
        assert self._names(residency, "a", 0.1) == []
        assert self._names(residency, "a", 3.0) == ["e1"]

    def test_the_load_that_ends_first_is_returned(self):
        residency = self._residency(
            builders.server("e1"), builders.server("e2")
        )
        for name, ms in (("e1", 4000), ("e2", 800)):
            state = builders.engine_state(name, loading="a", loading_ms=ms)
            residency.take(state, 10.0)
        assert residency.next_load("llm", "a") == residencies.ModelLoad(
            "e2", 10.8
        )
        assert residency.next_load("llm", "b") is None

    def test_an_older_state_is_ignored(self):
        residency = self._residency(builders.server("e1"))
        newer = builders.engine_state("e1", "b", turn=2, serial=7)
        assert residency.take(newer, 0.0)
        assert not residency.take(newer, 0.1)
        for term, serial in ((2, 6), (1, 9)):
            older = builders.engine_state("e1", "a", turn=term, serial=serial)
            assert not residency.take(older, 0.1)
        assert self._names(residency, "b", 0.1) == ["e1"]
        assert residency.take(builders.engine_state("e1", turn=3), 0.2)

    def test_a_restart_voids_the_lease_holders_state(self):
        residency = self._residency(builders.server("e1", "a", born_ms=2))
        residency.take(builders.engine_state("e1", "b"), 0.0)
        assert self._names(residency, "b", 0.0) == []
