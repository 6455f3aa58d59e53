"""Tests of streams while engines of two software versions serve."""

import concurrent.futures
import itertools
import random
import time

import pytest

from tests import builders_site as builders

pytestmark = pytest.mark.processes

ENGINES = tuple(f"engine-{n}" for n in range(1, 9))
CALLERS = 12
TOKENS = 60
LONG_TOKENS = 200
# Streams that may join two versions (ORDER).
MAX_JOINED = 2


@pytest.fixture
def site():
    engines = (("m0",),) * len(ENGINES)
    with builders.running(engines=engines, versions=("v1", "v2")) as running:
        yield running


class _Stream:
    """A stream over a caller's tries."""

    def __init__(self):
        self.versions = set()
        self.last = None
        self.first_id = None
        self.complete = False
        self.statuses = []

    def add(self, answer):
        self.statuses.append(answer.status)
        if answer.status != 200:
            return
        ids = answer.whole_events
        if ids and self.first_id is None:
            self.first_id = answer.request_id
        if ids:
            self.last = ids[-1]
            self.versions |= answer.versions
        self.complete = answer.complete

    def headers(self):
        if self.first_id is None:
            return {}
        return {"Last-Event-Id": self.last, "Resumes": self.first_id}


def _play_stream(site, tries, pause_s, tokens):
    stream = _Stream()
    nodes = itertools.cycle(random.sample(builders.NODES, len(builders.NODES)))
    for node in itertools.islice(nodes, tries):
        answer = site.caller(node).send(
            "/again/x", "m0", tokens=tokens, headers=stream.headers()
        )
        stream.add(answer)
        if stream.complete:
            break
        time.sleep(pause_s)
    return stream


def _play(site, disturb, seconds=8.0, tries=4, pause_s=0.05, tokens=TOKENS):
    """Plays streams, with disturbances beside; returns them."""
    ends_at = time.monotonic() + seconds

    def call():
        streams = []
        while time.monotonic() < ends_at:
            streams.append(_play_stream(site, tries, pause_s, tokens))
        return streams

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
        calls = [threads.submit(call) for _ in range(CALLERS)]
        while time.monotonic() < ends_at:
            disturb()
        return [one for c in calls for one in c.result()]


def _joined(streams):
    return [s for s in streams if len(s.versions) > 1]


def _assert_goes_on(streams):
    """Of streams that broke off, at least half must go on (LOST)."""
    broken = [s for s in streams if s.first_id and len(s.statuses) > 1]
    completed = [s for s in broken if s.complete]
    assert len(broken) >= 12
    assert 2 * len(completed) >= len(broken), (len(completed), len(broken))


def test_a_resumed_answer_does_not_join_software_versions(site):
    def disturb():
        for name in ENGINES:
            site.inject_fault(name, cut=1)
        time.sleep(0.2)

    streams = _play(site, disturb, tries=1)
    assert any(s.complete for s in streams)
    assert len(_joined(streams)) <= MAX_JOINED


def test_taking_up_at_another_node_does_not_join_software_versions(site):
    def disturb():
        for name in ENGINES:
            site.inject_fault(name, cut=3)
        time.sleep(0.3)

    streams = _play(site, disturb)
    assert len(_joined(streams)) <= MAX_JOINED
    _assert_goes_on(streams)


def test_taking_up_after_a_node_is_killed_does_not_join_versions(site):
    killed = itertools.cycle(builders.NODES)

    def disturb():
        node = next(killed)
        time.sleep(1.0)
        site.processes.kill(node)
        time.sleep(0.5)
        number = builders.NODES.index(node) + 1
        site.processes.start_relay(node, f"d{number}")
        time.sleep(1.5)

    streams = _play(site, disturb, seconds=9.0)
    assert len(_joined(streams)) <= MAX_JOINED


def test_taking_up_after_all_nodes_were_killed_does_not_join_versions(site):
    rounds = itertools.count()

    def disturb():
        time.sleep(2.0)
        if next(rounds) == 2:
            for name in ENGINES[::2]:
                site.processes.kill(name)
        for node in builders.NODES:
            site.processes.kill(node)
        for number, node in enumerate(builders.NODES, 1):
            site.processes.start_relay(node, f"d{number}")
        time.sleep(3.0)

    streams = _play(
        site, disturb, 14.0, tries=30, pause_s=0.2, tokens=LONG_TOKENS
    )
    assert len(_joined(streams)) <= MAX_JOINED
    assert any(s.complete for s in streams)


def test_streams_of_one_version_go_on_after_one_of_three_nodes_is_killed():
    # The killed node's record stays for seconds, and it answers no question.
    with (
        builders.running(engines=(("m0",),) * 3, versions=("v1",)) as site,
        concurrent.futures.ThreadPoolExecutor(CALLERS) as threads,
    ):
        streams = [_Stream() for _ in range(CALLERS)]

        def call(stream):
            first = site.caller().send("/again/x", "m0", tokens=LONG_TOKENS)
            stream.add(first)
            time.sleep(0.3)
            headers = stream.headers()
            answer = site.caller(builders.NODES[1]).send(
                "/again/x", "m0", tokens=LONG_TOKENS, headers=headers
            )
            stream.add(answer)

        calls = [threads.submit(call, stream) for stream in streams]
        time.sleep(0.5)
        site.processes.kill(builders.NODES[0])
        for one in calls:
            one.result()
    _assert_goes_on(streams)
