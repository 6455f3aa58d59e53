"""Tests of streams as processes: freezes, crashes, kills, shutdowns."""

import signal
import time

import pytest

from standins import answers
from tests import builders_processes
from tools import demo
from tools import deployment

pytestmark = pytest.mark.processes
NODES = builders_processes.NODES
TOKENS = 240
MAX_CRASHES = 3  # See docs/design/crashing-requests.md.


@pytest.fixture(scope="module", name="fleet")
def fixture_fleet():
    with builders_processes.running() as fleet:
        yield fleet


def _wait_until_idle(fleet):
    deployment.wait_until(
        "all engines are idle", lambda: not fleet.busy_engines(), 60
    )


@pytest.mark.parametrize("fault", ["freeze_s", "drop_streams"])
def test_streams_that_lose_their_connection_are_resumed_whole(fleet, fault):
    _wait_until_idle(fleet)
    sent = [fleet.in_background(fleet.chat, node, TOKENS) for node in NODES]
    deployment.wait_until("streams run", fleet.busy_engines, 30)
    for _ in range(2):
        for engine in fleet.engines():
            fleet.inject_fault(engine, **{fault: 1})
        time.sleep(1.0)
    for future in sent:
        seen = future.result(timeout=120)
        assert fleet.is_complete(seen, TOKENS), seen


def test_a_stream_outlives_a_pause_of_its_engine(fleet):
    _wait_until_idle(fleet)
    future, engine = fleet.start_chat("node-1", TOKENS)
    fleet.signal(engine, signal.SIGSTOP)
    time.sleep(4.0)
    fleet.signal(engine, signal.SIGCONT)
    seen = future.result(timeout=120)
    assert fleet.is_complete(seen, TOKENS), seen


def test_a_caller_that_leaves_ends_the_work_at_the_engine(fleet):
    _wait_until_idle(fleet)
    stream = fleet.caller("node-1").chunks(
        demo.MODEL, builders_processes.QUESTION, 2400
    )
    for _ in range(5):
        assert "choices" in next(stream)
    deployment.wait_until("an engine runs the stream", fleet.busy_engines, 30)
    stream.close()
    started = time.monotonic()
    _wait_until_idle(fleet)
    assert time.monotonic() - started < 20  # Uncancelled, it runs for 60 s.


def test_a_call_given_up_on_is_answered_at_once(fleet):
    started = time.monotonic()
    answer = fleet.caller("node-2").call(
        "POST",
        "/v1/chat/completions",
        {
            "model": demo.MODEL,
            "messages": builders_processes.QUESTION,
            "max_tokens": 2400,
        },
        {"X-Deadline-S": "2"},
    )
    assert time.monotonic() - started < 5
    assert answer.status >= 400
    assert answer.document["kind"] in (
        "deadline_exceeded",
        "deadline_unreachable",
    )


def test_an_engine_lost_after_the_first_token_is_told(fleet):
    _wait_until_idle(fleet)
    future, engine = fleet.start_chat("node-1", TOKENS)
    time.sleep(0.5)
    fleet.processes.kill(engine)
    seen = future.result(timeout=60)
    assert not seen.complete
    assert seen.problem["kind"] == "stream_lost", seen
    assert seen.problem["retry_after"] > 0
    text = answers.text(demo.MODEL, "", builders_processes.QUESTION, TOKENS)
    assert seen.text and text.startswith(seen.text)
    retries = fleet.chat_until_whole(NODES[:1], TOKENS)
    assert fleet.is_complete(retries[-1], TOKENS)
    _restart(fleet, engine)


def test_an_engine_lost_before_the_first_token_is_replaced(fleet):
    _wait_until_idle(fleet)
    engine = fleet.engines()[0]
    fleet.signal(engine, signal.SIGSTOP)
    sent = [fleet.in_background(fleet.chat, node, 40) for node in NODES * 3]
    time.sleep(0.5)
    fleet.processes.kill(engine)
    for future in sent:
        seen = future.result(timeout=60)
        assert fleet.is_complete(seen, 40), seen
    _restart(fleet, engine)


def test_a_node_told_to_stop_finishes_its_streams(fleet):
    _wait_until_idle(fleet)
    future, _ = fleet.start_chat("node-3", TOKENS)
    node = fleet.caller("node-3")
    fleet.signal("node-3", signal.SIGTERM)
    deployment.wait_until(
        "readiness fails",
        lambda: node.call("GET", "/readyz").status == 503,
        5,
    )
    assert not future.done()
    assert node.call("GET", "/healthz").status == 200
    seen = future.result(timeout=60)
    assert fleet.is_complete(seen, TOKENS), seen
    assert fleet.exit_code("node-3", 60) == 0
    for name in NODES[:2]:
        assert fleet.is_complete(fleet.chat(name, 20), 20)


def _restart(fleet, engine):
    """Restarts a killed engine and waits until it has loaded a model."""
    number = int(engine.rpartition("-")[2])
    fleet.start_engine(number)
    deployment.wait_until(
        f"{engine} holds models", lambda: fleet.ready_models(engine), 120
    )


def test_a_request_that_crashes_engines_takes_few_and_no_innocent():
    killer = [{"role": "user", "content": "zap the chuck"}]
    with builders_processes.running(engines=4) as fleet:
        for engine in fleet.engines():
            fleet.inject_fault(engine, crash_on="zap")
        sent = [
            fleet.in_background(fleet.chat_until_whole, NODES, 40)
            for _ in range(9)
        ]
        time.sleep(0.2)
        refused = []
        for _ in range(4):
            copies = [
                fleet.in_background(
                    fleet.caller(node).chat, demo.MODEL, killer, 10
                )
                for node in NODES
            ]
            chats = [copy.result(timeout=120) for copy in copies]
            assert not any(chat.complete for chat in chats)
            refused += [chat.problem.get("kind") for chat in chats]
            time.sleep(0.5)
        crashed = [e for e in fleet.engines() if not fleet.alive(e)]
        print("killer:", refused, "crashed engines:", crashed)
        assert len(crashed) <= MAX_CRASHES, (crashed, refused)
        assert set(refused[-3:]) == {"crash_suspect"}, refused
        for future in sent:
            seen = future.result(timeout=200)
            assert fleet.is_complete(seen[-1], 40), seen
