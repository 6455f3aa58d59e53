"""Operators as processes against the platform's stand-in."""

import contextlib
import json
import subprocess
import sys

import pytest

from tests import builders_config

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


@pytest.mark.processes
def test_operators_at_once_lose_nothing(tmp_path):
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
        running = [
            _start("apply", str(base), site, *expect, "--rebase")
            for site in sites[1:]
        ]
        told = [process.communicate(timeout=60) for process in running]
        assert [p.returncode for p in running] == [0, 0, 0], told
        refused = _start("apply", str(base), sites[1], *expect)
        assert "conflict: accepted is version 4" in refused.communicate()[1]
        assert refused.returncode == 3
        shown = _start("show", "--platform", url).communicate(timeout=60)[0]
    limits = json.loads(shown)["limits"]
    assert [limits[option] for option in _OPTIONS] == [17, 17, 17]
