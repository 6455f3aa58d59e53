"""Tests of the command line."""

import json
import logging as standard_logging
import os
import signal
import socket
import subprocess
import sys
import types

import pytest
from typer import testing

import azureline
from azureline.config import version
from azureline.platform import http
from azureline.platform import interface
from azureline.ui import app
from azureline.ui import client
from azureline.ui import command
from azureline.util import log
from tests import builders_config

_PLATFORM = ["--platform", "http://127.0.0.1:1"]
_NODE = ["--node", "127.0.0.1:1"]


@pytest.fixture(name="service")
def _service(monkeypatch):
    service = builders_config.FakeService()
    monkeypatch.setattr(http, "HttpKeyValue", lambda *args: service)
    monkeypatch.setattr(http, "HttpVmList", lambda *args: service)
    monkeypatch.setattr(command, "run", builders_config.run_on_clock)
    return service


@pytest.fixture(name="files")
def _files(tmp_path):
    base = tmp_path / "base.json"
    base.write_text(json.dumps(builders_config.document()))
    site = tmp_path / "site.json"
    site.write_text('{"site": "s"}')
    return [str(base), str(site)]


def _run(*arguments):
    result = testing.CliRunner().invoke(app.build(), arguments)
    return result.exit_code, result.output


def _write(files, text):
    with open(files[1], "w", encoding="utf-8") as site:
        site.write(text)


def _apply(files, *options):
    return _run("config", "apply", *files, *_PLATFORM, *options)


@pytest.mark.parametrize(
    "name",
    ["", "explain", "node", "status", "version", "config"]
    + [f"config {n}" for n in ("check", "diff", "apply", "show", "status")],
)
def test_every_command_has_help(name):
    code, output = _run(*name.split(), "--help")
    assert code == 0
    assert len(output) > 100


def test_files_can_be_applied_shown_and_compared(service, files):
    assert (
        "no configuration is accepted" in _run("config", "show", *_PLATFORM)[1]
    )
    assert _run("config", "check", *files)[0] == 0
    assert "accepted as version 1" in _apply(files, "--author", "ann")[1]
    _write(files, '{"site": "s", "limits": {"adapters_in_transit": 8}}')
    code, output = _run("config", "diff", *files, *_PLATFORM)
    assert code == 0
    assert "~ limits.adapters_in_transit: 30 -> 8" in output
    assert "version 1 by ann" in output and "--expect 1" in output
    assert "accepted as version 2; changed: 1" in _apply(files)[1]
    shown = _run("config", "show", *_PLATFORM, "--version", "1")[1]
    assert '"adapters_in_transit": 30' in shown
    assert "ann" in _run("config", "show", *_PLATFORM, "--history")[1]
    assert _run("config", "show", *_PLATFORM, "--version", "9")[0] == 1


def test_invalid_files_change_nothing(service, files):
    _write(files, '{"site": "s",\n"limits": {"adapter_in_transit": 8}}')
    code, output = _apply(files)
    assert code == 1
    assert (
        f"{files[1]}:2: limits.adapter_in_transit: the base has no such"
        in output
    )
    assert service.calls == 0


def test_the_second_of_two_operators_sees_what_changed(service, files):
    _apply(files)
    _write(files, '{"site": "s", "limits": {"adapters_in_transit": 8}}')
    _apply(files, "--author", "ann")
    _write(files, '{"site": "s", "limits": {"retry_budget_ratio": 0.2}}')
    for options in ([], ["--expect", "1"]):
        code, output = _apply(files, *options)
        assert code == 3
        assert "version 2 by ann" in output
        assert "~ limits.adapters_in_transit: 30 -> 8" in output
    assert _apply(files, "--rebase")[0] == 2
    assert _apply(files, "--expect", "1", "--rebase")[0] == 0
    limits = version.decode(service.entry.value).document["limits"]
    assert (limits["adapters_in_transit"], limits["retry_budget_ratio"]) == (
        8,
        0.2,
    )


@pytest.mark.parametrize(
    ("faults", "message"),
    [
        (["down"] * 20, "nothing was written"),
        ([None, "lost"] + ["down"] * 20, "may have been accepted"),
    ],
)
def test_an_outage_reports_whether_the_change_may_be_accepted(
    service, files, faults, message
):
    service.faults = faults
    code, output = _apply(files)
    assert code == 4
    assert message in output


def _stub_status(monkeypatch, *documents):
    answers = list(documents)

    async def read_status(*args):
        return answers.pop(0) if len(answers) > 1 else answers[0]

    monkeypatch.setattr(client, "read_status", read_status)


def test_status_lists_the_vms_that_are_behind(service, monkeypatch):
    outdated = builders_config.status(n1=2, n2=1)
    _stub_status(monkeypatch, outdated)
    code, output = _run("config", "status", *_NODE)
    assert code == 1
    assert "BEHIND" in output.splitlines()[2]
    assert "version 2 is in force on 1 of 2 live VMs" in output
    _stub_status(
        monkeypatch, outdated, outdated, builders_config.status(n1=2, n2=2)
    )
    assert _run("config", "status", *_NODE, "--wait", "5")[0] == 0


def test_status_lists_vms_that_only_the_platform_knows(service, monkeypatch):
    service.store(builders_config.accepted(1))
    service.vms = tuple(
        interface.Vm(name, "127.0.0.1", 1, role, "b", name == "n4")
        for name, role in (("n1", "node"), ("n3", "node"), ("n4", "node"))
    )
    _stub_status(monkeypatch, builders_config.status(n1=1, n2=1))
    code, output = _run("config", "status", *_NODE, *_PLATFORM)
    assert code == 1
    assert "n3  b       unknown  none     MISSING" in output
    assert "version 1 is in force on 2 of 3 live VMs" in output


def test_status_without_a_configuration_is_a_failure(service, monkeypatch):
    _stub_status(monkeypatch, builders_config.status(n1=0, n2=0))
    code, output = _run("config", "status", *_NODE)
    assert code == 1
    assert "no configuration is in force on any VM" in output


def test_status_counts_the_accepted_version_as_the_newest(service, monkeypatch):
    service.store(builders_config.accepted(3))
    _stub_status(monkeypatch, builders_config.status(n1=2, n2=2))
    assert _run("config", "status", *_NODE)[0] == 0
    code, output = _run("config", "status", *_NODE, *_PLATFORM)
    assert code == 1
    assert "version 3 is in force on 0 of 2 live VMs" in output


def test_status_shows_engines_models_and_refusals(service, monkeypatch):
    _stub_status(monkeypatch, builders_config.status(n1=2))
    code, output = _run("status", *_NODE)
    assert code == 0
    assert "1.5/4.0 GiB  7        small@1 large@2(loading)" in output
    assert "overloaded  3" in output
    assert json.loads(_run("status", *_NODE, "--json")[1])["models"]
    _stub_status(monkeypatch, client.NoResponse("refused"))
    assert _run("status", *_NODE) == (4, "refused\n")


def test_a_node_starts_with_checked_settings_only(tmp_path, monkeypatch):
    started = []
    node = types.SimpleNamespace(run=started.append)
    monkeypatch.setattr(azureline, "node", node, raising=False)
    monkeypatch.setattr(log, "setup", lambda level: None)
    path = tmp_path / "node.json"
    path.write_text('{"name": "n1", "host": "127.0.0.1",\n"prot": 1}')
    code, output = _run("node", "--settings", str(path))
    assert code == 1
    assert f"{path}:2: prot: unknown option; did you mean 'port'?" in output
    assert started == []
    path.write_text(
        '{"name": "n1", "host": "127.0.0.1", "domain": "a", // here\n'
        '"platform": {"url": "http://127.0.0.1:7000"}}'
    )
    assert _run("node", "--settings", str(path))[0] == 0
    assert started[0].platform.url == "http://127.0.0.1:7000"


def test_a_log_record_is_one_line():
    record = standard_logging.makeLogRecord(
        {"levelname": "INFO", "msg": "event=%s", "args": ("a\nb",)}
    )
    record.created, record.msecs = 0.0, 7
    line = log._OneLine().format(record)
    assert line == "1970-01-01T00:00:00.007Z INFO event=a\\nb"


def test_the_program_runs_on_a_real_reactor():
    arguments = [sys.executable, "-m", "azureline", "status", *_NODE]
    done = subprocess.run(arguments, capture_output=True, timeout=60)
    assert done.returncode == 4
    assert b"gave no answer" in done.stderr


def test_an_interrupt_ends_a_command_without_a_traceback():
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        process = subprocess.Popen(
            [sys.executable, "-m", "azureline", "status", "--timeout", "60"],
            stderr=subprocess.PIPE,
            env=os.environ | {"AZURELINE_NODE": address},
            # A shell's background jobs ignore interrupts, and so would the
            # program that inherits that.
            preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
        )
        silent.settimeout(60)
        with silent.accept()[0]:
            process.send_signal(signal.SIGINT)
            stderr_output = process.communicate(timeout=60)[1]
    assert b"Traceback" not in stderr_output
    assert process.returncode != 0
