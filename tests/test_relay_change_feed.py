"""Tests of the change feed from watchers to other nodes."""

import random

import hypothesis
from hypothesis import strategies as st

from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import change_feed
from azureline.relay import keys
from azureline.relay import messages

NODES = [
    keys.NodeRecord(f"front-{n}", "10.0.0.1", 7380, "d1", 5) for n in range(12)
]


def _item(revision, size=10):
    return store_lib.Item(f"servers/i-{revision}", b"x" * size, revision)


def test_two_nodes_of_a_domain_watch():
    roles = [change_feed.Roles(n.name).role(NODES, 0.0) for n in NODES]
    assert roles.count(change_feed.Role.WATCHER) == 1
    assert roles.count(change_feed.Role.SECOND) == 1


def test_nodes_with_fast_links_watch():
    nodes = [*NODES[:11], NODES[11]._replace(link_mbps=100)]
    role = change_feed.Roles(NODES[11].name).role(nodes, 0.0)
    assert role is change_feed.Role.WATCHER


def test_a_node_without_heartbeats_follows_the_store():
    for node in NODES:
        if not _is_fed(node):
            continue
        roles = change_feed.Roles(node.name)
        roles.confirmed(10.0)
        assert roles.role(NODES, 10.9) is change_feed.Role.FED
        assert roles.role(NODES, 11.5) is change_feed.Role.ALONE
        assert roles.alone_at <= 11.5


def test_an_older_confirmation_does_not_replace_a_newer_one():
    roles = change_feed.Roles("n1")
    roles.confirmed(10.0)
    before = roles.alone_at
    roles.confirmed(9.0)
    assert roles.alone_at == before


def _is_fed(node):
    return (
        change_feed.Roles(node.name).role(NODES, 0.0) is change_feed.Role.ALONE
    )


def test_requests_for_missing_changes_are_rate_limited():
    asking = change_feed.FeedRequestLimiter()
    asked = sum(asking.may_send(tick * 0.01) for tick in range(100))
    assert 4 <= asked <= 6


def test_a_gap_is_detected():
    late = messages.Feed(20, 25, (), 0, False)
    assert change_feed.new_rows(late, 15) == change_feed.Gap(15)
    assert change_feed.new_rows(late, 22) == ()


def test_a_log_reports_a_gap_for_dropped_changes():
    log = change_feed.FeedLog()
    assert isinstance(log.after(5), change_feed.Gap)
    log.reset(10)
    assert isinstance(log.after(9), change_feed.Gap)
    assert log.after(10) == [messages.Feed(10, 10, (), 0, False)]


def test_a_row_has_no_value_if_it_exceeds_a_datagram():
    log = change_feed.FeedLog()
    log.reset(0)
    noise = random.Random(1).randbytes(5000)
    log.add([store_lib.Item("op/x", noise, 1)], 1)
    (feed,) = log.after(0)
    assert feed.rows[0].value is None and not feed.rows[0].removed


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 900)), max_size=40),
    st.data(),
)
def test_lost_datagrams_lose_no_change(changes, data):
    """A node sends requests until it has each change once and in order."""
    log = change_feed.FeedLog()
    log.reset(0)
    revision, expected, seen, known = 0, [], [], 0
    for step, size in changes:
        revision += max(step, 1 if not expected else step)
        # One transaction may change several keys at one revision.
        item = _item(revision, size)
        if expected and expected[-1] == item.key:
            continue
        expected.append(item.key)
        log.add([item], revision)
        for feed in log.after(revision - 1):
            if data.draw(st.booleans()):
                known = _deliver(feed, known, seen)
    for _ in range(len(changes) + 2):
        for feed in log.after(known):
            known = _deliver(feed, known, seen)
    assert seen == expected and known == log.last_revision


def _deliver(feed, known, seen):
    rows = change_feed.new_rows(feed, known)
    if isinstance(rows, change_feed.Gap):
        return known
    seen += [row.key for row in rows]
    return max(known, feed.upto)


def _listed(*items):
    return {item.key: item for item in items}


def test_a_listing_after_a_return_is_sent_as_its_differences():
    log = change_feed.FeedLog()
    log.reset(10)
    log.add([_item(11)], 11)
    known = _listed(*(store_lib.Item(k, b"old", 9) for k in ("a", "b", "c")))
    at = eras.position(2, 8)
    found = _listed(
        store_lib.Item("a", b"old", eras.position(2, 5)),
        store_lib.Item("b", b"new", eras.position(2, 6)),
    )
    log.add_listing(known, found, at)
    (feed,) = log.after(11)
    assert (feed.after, feed.upto) == (11, at)
    assert [(r.key, r.removed) for r in feed.rows] == [
        ("b", False),
        ("c", True),
    ]
    (feed,) = log.after(10)
    assert [r.key for r in feed.rows] == ["servers/i-11", "b", "c"]


def test_a_node_with_changes_that_the_store_forgot_must_list_it():
    log = change_feed.FeedLog()
    log.reset(10)
    log.add_listing({}, {}, eras.position(2, 8))
    assert isinstance(log.after(12), change_feed.Gap)
    assert log.after(10)


def test_a_listing_that_lacks_many_keys_must_be_repeated_by_all():
    log = change_feed.FeedLog()
    log.reset(10)
    known = _listed(*(_item(n) for n in range(1, 200)))
    log.add_listing(known, {}, eras.position(2, 8))
    assert isinstance(log.after(10), change_feed.Gap)
