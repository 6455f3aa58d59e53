"""Odd entries of other writers among those of the engines."""

import time

import pytest

from tests import builders_odd_entries as odd_entries
from tests import builders_relay
from tests import builders_site as builders

pytestmark = pytest.mark.processes


@pytest.fixture
def site():
    with builders.running() as running:
        yield running


def test_odd_entries_stop_no_node_from_following_the_store(site):
    for number, text in enumerate(odd_entries.ODD_ENTRIES.values()):
        text = text.encode("utf-8", "replace").decode()
        key = f"servers/odd-{number}"
        site.inject_fault("store", write={"key": key, "text": text})
    time.sleep(1.0)
    site.inject_fault("store", operator=builders_relay.site_document(9))
    time.sleep(2.0)
    for node in builders.NODES:
        versions = [e["version"] for e in site.events(node, "config_in_force")]
        assert versions[-1] == 9
        for event in ("follower_failed", "task_failed"):
            assert site.events(node, event) == []
        answer = site.caller(node).send("/ask/x", "m0", tokens=8)
        assert answer.complete and answer.events == [str(n) for n in range(8)]
