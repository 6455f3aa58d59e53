"""Tests of the stand-ins and the deployment tool with real processes."""

import os
import subprocess
import uuid

import pytest

from standins import answers
from tools import caller
from tools import deployment

pytestmark = pytest.mark.processes
MESSAGES = [{"role": "user", "content": "which chuck"}]


def _alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_deployments_of_one_process_share_no_address():
    with deployment.Deployment() as first, deployment.Deployment() as second:
        urls = [
            fleet.start_standin("platform", "platform")
            for fleet in (first, second)
        ]
    hosts = {url.rpartition(":")[0] for url in urls}
    assert len(hosts) == len(urls), urls


def test_deployment_serves_and_stops_all_processes():
    with deployment.Deployment() as fleet:
        fleet.start_standin("platform", "platform")
        fleet.start_standin(
            "engine",
            "engine-1",
            domain="d1",
            fences=False,
            resident=["seam@1=1000"],
        )
        fleet.start_standin("ledger", "ledger-1")
        fleet.start_standin("service", "stock-1")
        names = ["platform", "engine-1", "ledger-1", "stock-1"]
        pids = [fleet.pid(name) for name in names]
        platform = caller.Caller(fleet.urls["platform"])
        listed = deployment.wait_until(
            "all VMs are listed",
            lambda: _at_least(3, platform.call("GET", "/vms").document),
            20,
        )
        assert {(vm["name"], vm["role"]) for vm in listed} == {
            ("engine-1", "engine"),
            ("ledger-1", "ledger"),
            ("stock-1", "service"),
        }
        report = caller.Caller(fleet.urls["engine-1"]).call("GET", "/report")
        assert report.document["fences"] is False
        fleet.kill("stock-1")
    assert not any(_alive(pid) for pid in pids)


def test_crashing_prompt_ends_engine_and_caller_gets_no_response():
    with deployment.Deployment() as fleet:
        fleet.start_standin("platform", "platform")
        url = fleet.start_standin(
            "engine", "engine-1", resident=["seam@1=1000"]
        )
        engine = caller.Caller(url)
        body = {"request_id": "r1", "model": "seam", "messages": MESSAGES}
        assert engine.call("POST", "/v1/chat/completions", body).status == 200
        engine.call("POST", "/faults", {"crash_on": "chuck"})
        body["request_id"] = "r2"
        assert engine.call("POST", "/v1/chat/completions", body).status == 0
        assert not engine.chat("seam", MESSAGES, 4).complete


def test_frozen_streams_are_resumed_on_new_connection():
    with deployment.Deployment() as fleet:
        fleet.start_standin("platform", "platform")
        url = fleet.start_standin(
            "engine", "engine-1", resident=["seam@1=1000"]
        )
        engine = caller.Caller(url)
        body = {
            "request_id": "r1",
            "model": "seam",
            "messages": MESSAGES,
            "max_tokens": 60,
        }
        short_timeout = caller.Caller(url, timeout_s=2.0)
        stream = short_timeout.events("POST", "/v1/chat/completions", body)
        next(stream)
        engine.call("POST", "/faults", {"freeze_s": 1})
        assert not any("done" in event for event in stream)
        resumed = list(engine.events("GET", "/v1/streams/r1?from=0"))
        assert resumed[-1] == {"done": True}
        text = "".join(caller.content(event) for event in resumed)
        assert text == answers.text("seam", "", MESSAGES, 60)


def test_a_standin_refuses_an_address_that_is_not_loopback():
    command = ["-m", "standins.platform", "--host", "0.0.0.0"]
    completed = subprocess.run(
        [deployment.sys.executable, *command], capture_output=True, timeout=30
    )
    assert completed.returncode != 0
    assert b"127.0.0.0/8" in completed.stderr


def test_idempotency_keys_are_version_7_uuids():
    keys = [uuid.UUID(caller.new_key()) for _ in range(100)]
    assert len(set(keys)) == 100
    assert {(key.version, key.variant) for key in keys} == {(7, uuid.RFC_4122)}
    assert keys[0].int >> 80 <= keys[-1].int >> 80


def _at_least(count, values):
    return values if len(values) >= count else None
