"""Tests of the store of rumours."""

from azureline.fleet import messages
from azureline.fleet import rumours

BOUND = 400


def _store(count, size=20):
    store = rumours.RumourStore()
    for number in range(count):
        store.merge(0.0, _rumour(f"engine/{number}", 1, size))
    return store


def _rumour(key, epoch, size=20):
    return messages.Rumour(key, epoch, 0, 0, bytes(size))


def test_news_stay_within_their_bound_and_take_turns():
    store = _store(100)
    first = store.news(0.0, 8, BOUND)
    second = store.news(0.0, 8, BOUND)
    assert sum(len(r.value) for r in first) <= BOUND
    assert not {r.key for r in first} & {r.key for r in second}


def test_a_rumour_larger_than_the_bound_is_passed_on_alone():
    store = _store(0)
    store.merge(0.0, _rumour("engine/e1", 1, 900))
    store.merge(0.0, _rumour("engine/e2", 1))
    seen = [r.key for _ in range(4) for r in store.news(0.0, 8, BOUND)]
    assert "engine/e1" in seen and "engine/e2" in seen


def test_a_rumour_too_large_for_a_datagram_is_left_to_the_exchange():
    store = _store(0)
    store.merge(0.0, _rumour("engine/e1", 1, 5000))
    assert store.news(0.0, 8, BOUND) == ()
    assert len(store.differing(0.0, b"")) == 1


def test_one_change_costs_the_exchange_a_small_part_of_the_store():
    one, other = _store(1000), _store(1000)
    assert one.digest == other.digest
    one.merge(0.0, _rumour("engine/7", 2))
    assert one.digest != other.digest
    sent = one.differing(0.0, other.buckets)
    assert "engine/7" in {r.key for r in sent}
    assert len(sent) <= 30


def test_a_rumour_is_passed_on_a_number_of_times_that_grows_slowly():
    counts = [rumours.spread_limit(n) for n in (8, 64, 360)]
    assert counts == sorted(counts)
    assert counts[-1] <= 10


def test_a_hurried_rumour_goes_before_a_backlog_of_others():
    store = rumours.RumourStore(("config/",))
    store.merge(0.0, _rumour("config/current", 1))
    for number in range(300):
        store.merge(0.0, _rumour(f"member/{number}", 1))
    for _ in range(10):
        assert "config/current" in {r.key for r in store.news(0.0, 360, BOUND)}


def test_a_hurried_rumour_is_passed_on_more_often():
    store = rumours.RumourStore(("config/",))
    store.merge(0.0, _rumour("config/current", 1))
    store.merge(0.0, _rumour("engine/e1", 1))
    seen = [r.key for _ in range(50) for r in store.news(0.0, 8, BOUND)]
    counts = [seen.count(key) for key in ("config/current", "engine/e1")]
    assert counts[0] == rumours.HURRIED_FACTOR * counts[1] > 0


def test_an_expired_rumour_leaves_no_trace_in_the_digest():
    store, empty = _store(0), _store(0)
    store.merge(0.0, _rumour("vm/x", 1)._replace(ttl_s=5))
    assert store.digest != empty.digest
    assert [r.key for r in store.expire(6.0)] == ["vm/x"]
    assert store.digest == empty.digest
