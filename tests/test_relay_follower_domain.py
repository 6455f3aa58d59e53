"""Tests of how soon the nodes of a failure domain have a change."""

import pytest

from azureline.relay import change_feed
from tests import builders_followers as builders

_Role = change_feed.Role
# Within this time a change of configuration must be in force.
IN_FORCE_S = 2.0
SEEDS = range(20)


def _domain(seed, size=3, **fields):
    names = tuple(f"front-{seed}-{number}" for number in range(size))
    return builders.Domain(names, seed, **fields)


@pytest.mark.parametrize("renewals_per_s", [7.0, 0.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_arrives_in_time_while_both_watchers_are_cut_off(
    seed, renewals_per_s
):
    # The watchers go on sending heartbeats to the third node.
    domain = _domain(seed, renewals_per_s=renewals_per_s)
    (fed,) = domain.with_role(_Role.FED)
    domain.cut = set(domain.with_role(_Role.WATCHER, _Role.SECOND))
    domain.play(domain.rng.uniform(0.0, 0.4))
    assert domain.delay_of(fed, "op/config") < IN_FORCE_S


@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_arrives_in_time_after_both_watchers_were_killed(seed):
    domain = _domain(seed)
    (fed,) = domain.with_role(_Role.FED)
    domain.down = set(domain.with_role(_Role.WATCHER, _Role.SECOND))
    domain.cut = domain.down
    assert domain.delay_of(fed, "op/config") < IN_FORCE_S


@pytest.mark.parametrize("role", [_Role.WATCHER, _Role.SECOND])
@pytest.mark.parametrize("seed", SEEDS)
def test_a_change_arrives_in_time_while_one_watcher_is_cut_off(seed, role):
    domain = _domain(seed, size=5)
    fed = domain.with_role(_Role.FED)
    domain.cut = set(domain.with_role(role))
    assert domain.delay_of(fed[0], "op/config") < IN_FORCE_S


@pytest.mark.parametrize("renewals_per_s", [7.0, 0.5, 0.0])
def test_fed_nodes_make_no_watch_while_the_watchers_are_in_touch(
    renewals_per_s,
):
    domain = _domain(1, size=6, renewals_per_s=renewals_per_s)
    fed = domain.with_role(_Role.FED)
    assert len(fed) == 4
    for _ in range(200):
        domain.play(0.1)
        assert domain.with_role(_Role.FED) == fed


def _large(domain):
    """Returns a value that exceeds a datagram."""
    return domain.rng.randbytes(3000)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_change_arrives_in_time_although_a_read_gets_no_answer(seed):
    domain = _domain(seed)
    (fed,) = domain.with_role(_Role.FED)
    domain.nodes[fed].client.lost_reads = {1}
    assert domain.delay_of(fed, "op/config", _large(domain)) < IN_FORCE_S


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_configuration_does_not_wait_for_other_large_items(seed):
    domain = _domain(seed)
    (fed,) = domain.with_role(_Role.FED)
    for number in range(20):
        domain.store.write(f"other/{number}", _large(domain))
    assert domain.delay_of(fed, "op/config", _large(domain)) < IN_FORCE_S
    seen = domain.nodes[fed].receiver.seen_at
    assert all(f"other/{number}" in seen for number in range(20))


@pytest.mark.parametrize("seed", SEEDS)
def test_a_large_configuration_does_not_wait_for_reads_without_an_answer(seed):
    domain = _domain(seed)
    (fed,) = domain.with_role(_Role.FED)
    domain.nodes[fed].client.lost_keys = {"other"}
    domain.store.write("other", _large(domain))
    domain.play(0.05)
    assert domain.delay_of(fed, "op/config", _large(domain)) < 0.9


def test_a_large_item_that_changes_in_bursts_is_read_at_intervals():
    domain = _domain(1)
    (fed,) = domain.with_role(_Role.FED)
    for _ in range(40):
        domain.store.write("op/config", _large(domain))
        domain.play(0.1)
    assert domain.nodes[fed].client.reads <= 4.0 / 0.4 + 2
    domain.play(1.0)
    written = [i.value for i in domain.store.history if i.key == "op/config"]
    assert domain.nodes[fed].receiver.values["op/config"] == written[-1]
