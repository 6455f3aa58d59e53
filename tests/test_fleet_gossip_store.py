"""Tests of the gossip store."""

from azureline.fleet import gossip_store
from azureline.fleet import messages

MAX_BYTES = 400


def _store(count, size=20):
    store = gossip_store.GossipStore()
    for number in range(count):
        store.merge(0.0, _entry(f"engine/{number}", 1, size))
    return store


def _entry(key, epoch, size=20):
    return messages.GossipEntry(key, epoch, 0, 0, bytes(size))


def test_picked_entries_stay_within_the_size_limit_and_take_turns():
    store = _store(100)
    first = store.next_entries(0.0, 8, MAX_BYTES)
    second = store.next_entries(0.0, 8, MAX_BYTES)
    assert sum(len(r.value) for r in first) <= MAX_BYTES
    assert not {r.key for r in first} & {r.key for r in second}


def test_an_entry_larger_than_the_limit_is_passed_on_alone():
    store = _store(0)
    store.merge(0.0, _entry("engine/e1", 1, 900))
    store.merge(0.0, _entry("engine/e2", 1))
    seen = [
        r.key for _ in range(4) for r in store.next_entries(0.0, 8, MAX_BYTES)
    ]
    assert "engine/e1" in seen and "engine/e2" in seen


def test_an_entry_too_large_for_a_datagram_is_sent_only_by_sync():
    store = _store(0)
    store.merge(0.0, _entry("engine/e1", 1, 5000))
    assert store.next_entries(0.0, 8, MAX_BYTES) == ()
    assert len(store.differing(0.0, b"")) == 1


def test_one_change_makes_sync_send_a_small_part_of_the_store():
    changed, unchanged = _store(1000), _store(1000)
    assert changed.digest == unchanged.digest
    changed.merge(0.0, _entry("engine/7", 2))
    assert changed.digest != unchanged.digest
    sent = changed.differing(0.0, unchanged.buckets)
    assert "engine/7" in {r.key for r in sent}
    assert len(sent) <= 30


def test_the_number_of_times_an_entry_is_sent_grows_slowly():
    counts = [gossip_store.max_sends(n) for n in (8, 64, 360)]
    assert counts == sorted(counts)
    assert counts[-1] <= 10


def test_a_priority_entry_is_sent_before_a_backlog_of_others():
    store = gossip_store.GossipStore(("config/",))
    store.merge(0.0, _entry("config/current", 1))
    for number in range(300):
        store.merge(0.0, _entry(f"member/{number}", 1))
    for _ in range(10):
        assert "config/current" in {
            r.key for r in store.next_entries(0.0, 360, MAX_BYTES)
        }


def test_a_priority_entry_is_sent_more_often():
    store = gossip_store.GossipStore(("config/",))
    store.merge(0.0, _entry("config/current", 1))
    store.merge(0.0, _entry("engine/e1", 1))
    seen = [
        r.key for _ in range(50) for r in store.next_entries(0.0, 8, MAX_BYTES)
    ]
    counts = [seen.count(key) for key in ("config/current", "engine/e1")]
    assert counts[0] == gossip_store.PRIORITY_SEND_FACTOR * counts[1] > 0


def test_an_expired_entry_is_removed_from_the_digest():
    store, empty = _store(0), _store(0)
    store.merge(0.0, _entry("vm/x", 1)._replace(ttl_s=5))
    assert store.digest != empty.digest
    assert [r.key for r in store.expire(6.0)] == ["vm/x"]
    assert store.digest == empty.digest
