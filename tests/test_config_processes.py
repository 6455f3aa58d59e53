"""Tests the config commands as processes with the platform stand-in."""

import contextlib
import json
import os
import subprocess
import sys
import time

import pytest

from tests import builders_config
from tools import deployment

_OPTIONS = ("store_loads_per_s", "store_loads_at_once", "adapters_in_transit")


@contextlib.contextmanager
def _platform():
    command = [sys.executable, "-m", "standins.platform", "--port", "0"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            ready = process.stdout.readline()
            yield f"http://127.0.0.1:{ready.strip().rpartition('=')[2]}"
        finally:
            process.terminate()


def _start(*arguments):
    return subprocess.Popen(
        [sys.executable, "-m", "azureline", "config", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def _node(stack, folder, number, url):
    """Starts a node with two seeds and returns its process."""
    settings = {
        "name": f"node-{number}",
        "host": _host(number),
        "port": deployment.NODE_PORT,
        "link_port": deployment.LINK_PORT,
        "domain": "abc"[number % 3],
        "platform": {"url": url},
        "seeds": [f"{_host(i)}:{deployment.LINK_PORT}" for i in range(2)],
    }
    path = folder / f"node-{number}.json"
    path.write_text(json.dumps(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "azureline", "node", "--settings", str(path)],
        stderr=subprocess.DEVNULL,
    )
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process


def _host(number):
    """Returns a loopback address that is unique to a node."""
    pid = os.getpid()
    return f"127.{220 + number}.{pid // 250 % 250}.{pid % 250 + 1}"


def _wait_for_version_1(nodes):
    """Waits until version 1 is in force on `nodes` of as many live VMs.

    Returns:
      Whether it is within 60 s, and the last output of `config status`.
    """
    expected_line = f"version 1 is in force on {nodes} of {nodes} live VMs"
    node = f"{_host(0)}:{deployment.NODE_PORT}"
    output = ""
    give_up_at = time.monotonic() + 60
    while expected_line not in output and time.monotonic() < give_up_at:
        status = _start("status", "--node", node)
        output = status.communicate(timeout=60)[0]
    return expected_line in output, output


@pytest.mark.processes
def test_a_node_starts_during_an_outage_with_its_peers_configuration(tmp_path):
    base = tmp_path / "base.json"
    base.write_text(json.dumps(builders_config.document()))
    (tmp_path / "site.json").write_text("{}")
    with contextlib.ExitStack() as stack:
        with _platform() as url:
            nodes = [_node(stack, tmp_path, i, url) for i in range(3)]
            files = (str(base), str(tmp_path / "site.json"))
            assert _start("apply", *files, "--platform", url).wait(60) == 0
            assert _wait_for_version_1(3)[0]
        _node(stack, tmp_path, 3, url)
        assert _wait_for_version_1(4)[0]
        nodes[0].kill()
        nodes[0].wait()
        _node(stack, tmp_path, 0, url)
        assert _wait_for_version_1(4)[0]


@pytest.mark.processes
def test_concurrent_rebased_applies_lose_no_edit(tmp_path):
    base = tmp_path / "base.json"
    base.write_text(json.dumps(builders_config.document()))
    sites = []
    for number, option in enumerate(("", *_OPTIONS)):
        site = tmp_path / f"site-{number}.json"
        limits = {option: 17} if option else {}
        site.write_text(json.dumps({"limits": limits}))
        sites.append(str(site))
    with _platform() as url:
        files = (str(base), sites[0], "--platform", url)
        assert _start("apply", *files).wait(60) == 0
        expect = ("--platform", url, "--expect", "1")
        processes = [
            _start("apply", str(base), site, *expect, "--rebase")
            for site in sites[1:]
        ]
        outputs = [process.communicate(timeout=60) for process in processes]
        assert [p.returncode for p in processes] == [0, 0, 0], outputs
        refused = _start("apply", str(base), sites[1], *expect)
        assert "conflict: accepted is version 4" in refused.communicate()[1]
        assert refused.returncode == 3
        output = _start("show", "--platform", url).communicate(timeout=60)[0]
    limits = json.loads(output)["limits"]
    assert [limits[option] for option in _OPTIONS] == [17, 17, 17]
