"""Tests of the settings of a VM that relays."""

import json

from azureline.config import problems
from azureline.relay import settings

GIVEN = {
    "name": "front-1",
    "host": "10.1.0.38",
    "domain": "ub-north",
    "callers": "10.1.0.38:8149",
    "readiness": "10.1.0.38:8141",
    "node_port": 7380,
    "store": {"address": "10.200.1.7:8142"},
}


def _read(tmp_path, **fields):
    path = tmp_path / "settings.json"
    path.write_text("// written by a template\n" + json.dumps(GIVEN | fields))
    return settings.read(str(path))


def test_options_left_out_take_the_shipped_defaults(tmp_path):
    found = _read(tmp_path, orders={"turn_s": 3e3 * 1e-3})
    assert found.orders.turn_s == 3.0 and found.orders.lease_s == 2.5
    assert found.metrics_port == 0


def test_an_error_names_the_file_and_the_option(tmp_path):
    found = _read(tmp_path, node_port="many", stop={"graze_s": 1})
    assert isinstance(found, problems.Invalid)
    assert "settings.json" in str(found) and "graze_s" in str(found)


def test_the_filled_template_gives_valid_settings(tmp_path):
    values = {
        "node_name|json": '"front-1"',
        "ip|json": '"10.1.0.38"',
        "zone|json": '"ub-north"',
        "listen.front|json": '"10.1.0.38:8149"',
        "listen.ready|json": '"10.1.0.38:8141"',
        "limits.link_mbps": "1000.0",
        "limits.memory_mb": "200",
        "internal_ports.0": "7380",
        "internal_ports.1": "7395",
        "platform.address|json": '"10.200.1.7:8142"',
        "bounds.lease_ms": "3000",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "54",
        "bounds.ceiling_window_s": "5",
        "bounds.ceiling_over": "1.1",
        "bounds.grace_s": "8",
    }
    with open("deploy/settings.json", encoding="utf-8") as template:
        text = template.read()
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", value)
    assert "{{" not in text
    path = tmp_path / "settings.json"
    path.write_text(text)
    found = settings.read(str(path))
    assert found.orders.turn_s == 3.0 and found.repeats.allowance == 54
    assert found.memory_mb == 200
