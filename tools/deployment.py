"""A complete deployment as local processes on the loopback network."""

import contextlib
import json
import os
import pathlib
import selectors
import subprocess
import sys
import tempfile
import time
from typing import Any

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
POLL_S = 0.3
# Below the ephemeral port range, so that no outgoing connection occupies them.
# All VMs can use the same ports, since each has its own loopback address.
NODE_PORT = 8080
LINK_PORT = 8081
READY_PORT = 8082
METRICS_PORT = 8083
SERVER_PORT = 8090
_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Networks of the deployments that this process runs.
_networks_in_use: set[str] = set()
_NETWORKS_PER_PROCESS = 4


class StartError(RuntimeError):
    """Raised when a process does not become ready in time."""


class Deployment:
    """Starts processes and stops all of them at the exit of its context.

    Each process stands for a VM and has its own loopback address.
    """

    def __init__(self, program: list[str] | None = None):
        """Creates a deployment without processes.

        Args:
          program: the command that runs azureline; by default the package
            in this source tree, run by the current interpreter.
        """
        self.program = program or [sys.executable, "-m", "azureline"]
        self.urls: dict[str, str] = {}
        self._stack = contextlib.ExitStack()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._network = ""
        self._seeds: list[str] = []

    def __enter__(self) -> "Deployment":
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self._network = _take_network()
        self._stack.callback(_networks_in_use.discard, self._network)
        return self

    def __exit__(self, *exc_info: Any) -> None:
        self._stack.close()

    def start_standin(self, kind: str, name: str, **options: Any) -> str:
        """Starts a stand-in and returns its URL.

        Args:
          kind: name of the module in `standins`.
          name: name of the VM.
          **options: options of the stand-in's command line; True and False
            become switches, a list repeats its option.
        """
        host = self._next_host()
        command = [sys.executable, "-m", f"standins.{kind}", "--host", host]
        if kind != "platform":
            platform = self.urls["platform"]
            command += ["--name", name, "--platform", platform]
        command += _arguments(options)
        process = self._start(name, command, stdout=subprocess.PIPE)
        port = _ready_port(name, process)
        self.urls[name] = f"http://{host}:{port}"
        return self.urls[name]

    def start_node(self, name: str, domain: str, **settings: Any) -> str:
        """Starts a node and returns the URL of its interface for callers."""
        host = self._next_host()
        document = {
            "name": name,
            "host": host,
            "port": NODE_PORT,
            "link_port": LINK_PORT,
            "domain": domain,
            "platform": {"url": self.urls["platform"]},
            "seeds": list(self._seeds),
            **settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document, indent=2))
        command = [*self.program, "node", "--settings", str(path)]
        self._start(name, command, stdout=subprocess.DEVNULL)
        self._seeds.append(f"{host}:{LINK_PORT}")
        self.urls[name] = f"http://{host}:{NODE_PORT}"
        return self.urls[name]

    def start_site_store(self, config: dict[str, Any]) -> str:
        """Starts the users' store with a configuration; returns its URL."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        host = self._next_host()
        command = [sys.executable, "-m", "standins.kv_service"]
        command += ["--host", host, "--config", str(path)]
        process = self._start("store", command, stdout=subprocess.PIPE)
        self.urls["store"] = f"http://{host}:{_ready_port('store', process)}"
        return self.urls["store"]

    def start_site_server(self, name: str, **options: Any) -> str:
        """Starts a backend server of the users' platform."""
        host = self._next_host()
        command = [sys.executable, "-m", "standins.site_server"]
        command += ["--host", host, "--port", str(SERVER_PORT)]
        command += ["--name", name, "--store", self.urls["store"]]
        command += ["--born", str(int(time.time() * 1000))]
        command += _arguments(options)
        process = self._start(name, command, stdout=subprocess.PIPE)
        self.urls[name] = f"http://{host}:{_ready_port(name, process)}"
        return self.urls[name]

    def start_relay(self, name: str, domain: str, **settings: Any) -> str:
        """Starts a relay node; returns its URL for callers.

        A node that is started again under the same name keeps its address.
        """
        known = self.urls.get(name)
        host = known[7:].rpartition(":")[0] if known else self._next_host()
        document = {
            "name": name,
            "host": host,
            "domain": domain,
            "callers": f"{host}:{NODE_PORT}",
            "readiness": f"{host}:{READY_PORT}",
            "node_port": LINK_PORT,
            "metrics_port": METRICS_PORT,
            **settings,
        }
        store = {"address": self.urls["store"].removeprefix("http://")}
        document["store"] = {**store, **settings.get("store", {})}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document, indent=2))
        command = [*self.program, "relay", "--settings", str(path)]
        self._start(name, command, stdout=subprocess.STDOUT)
        self.urls[name] = f"http://{host}:{NODE_PORT}"
        return self.urls[name]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs an azureline command and waits until it exits."""
        return subprocess.run(
            [*self.program, *arguments],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
        )

    def pid(self, name: str) -> int:
        """Returns the process id of a VM's process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits until it exits."""
        self._processes[name].kill()
        self._processes[name].wait()

    def wait(self, name: str) -> None:
        """Waits until a process that was signalled to stop exits."""
        self._processes[name].wait(START_TIMEOUT_S)

    def log_tail(self, name: str, lines: int = 20) -> str:
        """Returns the end of a process's log."""
        path = self.folder / f"{name}.log"
        text = path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _start(
        self, name: str, command: list[str], stdout: int
    ) -> subprocess.Popen[bytes]:
        with open(self.folder / f"{name}.log", "ab") as log:
            # STDOUT means that standard output goes to the log, like stderr.
            out = log if stdout == subprocess.STDOUT else stdout
            process = subprocess.Popen(
                command, cwd=_ROOT, stdout=out, stderr=log
            )
        self._stack.callback(_stop_process, process)
        self._processes[name] = process
        return process

    def _next_host(self) -> str:
        return f"{self._network}.{len(self._processes) + 1}"


def _take_network() -> str:
    """Returns a network that no other deployment of this process uses.

    Nodes of two deployments that shared addresses would join each other.

    Raises:
      StartError: if this process runs too many deployments.
    """
    pid = os.getpid()
    for slot in range(_NETWORKS_PER_PROCESS):
        second = 10 + pid % 50 + 50 * slot
        network = f"127.{second}.{pid // 50 % 250}"
        if network not in _networks_in_use:
            _networks_in_use.add(network)
            return network
    raise StartError(
        f"more than {_NETWORKS_PER_PROCESS} deployments in one process"
    )


def _arguments(options: dict[str, Any]) -> list[str]:
    arguments = []
    for name, value in options.items():
        flag = "--" + name.replace("_", "-")
        match value:
            case True:
                arguments.append(flag)
            case False:
                arguments.append("--no-" + flag[2:])
            case list():
                for item in value:
                    arguments += [flag, str(item)]
            case _:
                arguments += [flag, str(value)]
    return arguments


def _ready_port(name: str, process: subprocess.Popen[bytes]) -> int:
    """Waits for a stand-in's "ready" line and returns its port."""
    with selectors.DefaultSelector() as selector:
        selector.register(process.stdout, selectors.EVENT_READ)
        if not selector.select(START_TIMEOUT_S):
            raise StartError(f"{name} was not ready within {START_TIMEOUT_S} s")
    line = process.stdout.readline().decode().strip()
    if not line.startswith("ready port="):
        raise StartError(f"{name}: expected 'ready port=N', got {line!r}")
    return int(line.removeprefix("ready port="))


def _stop_process(process: subprocess.Popen[bytes]) -> None:
    """Stops a process: SIGTERM first, SIGKILL after `STOP_TIMEOUT_S`."""
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
    if process.stdout is not None:
        process.stdout.close()


def wait_until(what: str, condition: Any, timeout_s: float) -> Any:
    """Polls `condition` until its result is true; returns the result."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise StartError(f"{what}: timed out after {timeout_s:g} s")
        time.sleep(POLL_S)
