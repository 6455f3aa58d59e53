"""A small deployment as separate processes, shared by the cases' scripts.

The programs are the project's own: nodes started with the command of
`deploy/system.toml`, and the stand-ins for the store and the servers.
"""

from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from typing import Any
import urllib.request

from tests import builders_relay
from tools import deployment
from tools import site_caller

HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 20.0
# The values that `deploy/settings.json` takes from the platform; the bounds are
# those of the sites' sheets.
SETTINGS = {
    "link_mbps": 1000,
    "orders": {"turn_s": 3.0},
    "repeats": {"ratio": 0.2, "window_s": 10.0, "allowance": 54.0},
    "loads": {"window_s": 5.0, "over": 1.1},
    "stop": {"grace_s": 8.0},
}


class Record:
    """Writes what happened to `record.txt` of a case, with times in seconds."""

    def __init__(self, folder: pathlib.Path):
        """Creates an empty record in a case's folder."""
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Writes a line, also to standard output."""
        with self._lock:
            line = f"{time.monotonic() - self._began:8.3f} {text}"
            with self._path.open("a", encoding="utf-8") as file:
                file.write(line + "\n")

    def result(self, text: str) -> None:
        """Writes the result of the run."""
        self.write(text)
        print(text)


class Site:
    """The processes of a deployment that is running."""

    def __init__(self, processes: deployment.Deployment):
        """Creates a site over running processes."""
        self.processes = processes

    def caller(self, node: str) -> site_caller.Caller:
        """Returns a caller of a node."""
        return site_caller.Caller(self.processes.urls[node])

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the site."""
        os.kill(self.processes.pid(name), number)

    def inject(self, name: str, **faults: Any) -> None:
        """Injects faults into a stand-in."""
        url = self.processes.urls[name] + "/faults"
        body = json.dumps(faults).encode()
        request = urllib.request.Request(url, body, method="POST")
        urllib.request.urlopen(request, timeout=5).read()

    def recorded(self, server: str) -> dict[str, Any]:
        """Returns what a server recorded."""
        url = self.processes.urls[server] + "/runs"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.loads(answer.read())

    def ready(self, node: str) -> bool:
        """Returns whether a node's readiness check succeeds."""
        host = self.processes.urls[node].rpartition(":")[0]
        url = f"{host}:{deployment.READY_PORT}/readyz"
        try:
            urllib.request.urlopen(url, timeout=2).read()
        except OSError:
            return False
        return True

    def wait_ready(self, *nodes: str) -> None:
        """Waits until nodes are ready."""
        for node in nodes:
            deployment.wait_until(
                f"{node} is ready", lambda node=node: self.ready(node), READY_S
            )


@contextlib.contextmanager
def running(
    servers: dict[str, dict[str, Any]],
    nodes: tuple[str, ...] = ("relay-1", "relay-2", "relay-3"),
    config: dict[str, Any] | None = None,
) -> Iterator[Site]:
    """Runs a site until the block ends.

    Args:
      servers: options of each server's stand-in, by name.
      nodes: names of the nodes; each is in a failure domain of its own.
      config: the operators' configuration.
    """
    with deployment.Deployment() as processes:
        processes.start_site_store(config or builders_relay.site_document())
        for name, options in servers.items():
            start_server(processes, name, **options)
        site = Site(processes)
        for number, node in enumerate(nodes, 1):
            processes.start_relay(node, f"d{number}", **SETTINGS)
        site.wait_ready(*nodes)
        # All nodes know each other, the servers and the lease holders.
        time.sleep(2.0)
        yield site


def start_server(
    processes: deployment.Deployment,
    name: str,
    module: str = "standins.site_server",
    **options: Any,
) -> None:
    """Starts a server; `module` is the stand-in's module."""
    if module == "standins.site_server":
        processes.start_site_server(name, **options)
        return
    host = processes._next_host()
    command = [sys.executable, "-m", module, "--host", host]
    command += ["--port", str(deployment.SERVER_PORT), "--name", name]
    command += ["--store", processes.urls["store"]]
    command += ["--born", str(int(time.time() * 1000))]
    command += deployment._arguments(options)
    process = processes._start(name, command, stdout=subprocess.PIPE)
    port = deployment._ready_port(name, process)
    processes.urls[name] = f"http://{host}:{port}"


def has_trouble() -> bool:
    """Returns whether the run includes the disruption."""
    return os.environ.get("TROUBLE") != "0"


def main(run: Any, folder: str) -> int:
    """Runs a case; returns its exit code.

    Args:
      run: plays the case with a record and returns the exit code.
      folder: the file of the case's script.
    """
    record = Record(pathlib.Path(folder).resolve().parent)
    record.write(f"disruption: {'yes' if has_trouble() else 'no'}")
    try:
        return run(record)
    except Exception as e:  # Only `run` itself finds that a rule was broken.
        record.result(f"the case could not run: {e!r}")
        return NOT_RUN
