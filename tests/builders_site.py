"""A site of the users' platform as real processes, for tests."""

from collections.abc import Iterator
import contextlib
import json
import os
import signal
from typing import Any
import urllib.request

from tests import builders_relay
from tools import deployment
from tools import site_caller

NODES = ("relay-1", "relay-2", "relay-3")
READY_S = 30.0


class Site:
    """A store, two engines, two ledgers and three nodes."""

    def __init__(self, processes: deployment.Deployment):
        """Creates a site over processes that are already running."""
        self.processes = processes
        self.killed: set[str] = set()

    def kill(self, node: str) -> None:
        """Kills a node's process; callers use the others."""
        self.processes.kill(node)
        self.killed.add(node)

    def caller(
        self, node: str = NODES[0], source: str = ""
    ) -> site_caller.Caller:
        """Returns a caller of one node, from an address if one is given."""
        return site_caller.Caller(self.processes.urls[node], source=source)

    def recorded(self, server: str) -> dict[str, Any]:
        """Returns the requests and orders that a backend server recorded."""
        return self._get(self.processes.urls[server] + "/runs")

    def runs_of(self, request_id: str) -> int:
        """Returns how often a request ran, over all servers."""
        return sum(
            run["request_id"] == request_id
            for name in self.processes.urls
            if name.startswith(("engine", "ledger"))
            for run in self.recorded(name)["runs"]
        )

    def inject_fault(self, name: str, **faults: Any) -> None:
        """Injects faults into a stand-in."""
        request = urllib.request.Request(
            self.processes.urls[name] + "/faults",
            json.dumps(faults).encode(),
            method="POST",
        )
        urllib.request.urlopen(request, timeout=5).read()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this site."""
        os.kill(self.processes.pid(name), number)

    def ready(self, node: str) -> bool:
        """Returns whether a node's readiness check succeeds."""
        host = self.processes.urls[node].rpartition(":")[0]
        try:
            url = f"{host}:{deployment.READY_PORT}/readyz"
            urllib.request.urlopen(url, timeout=2).read()
        except OSError:
            return False
        return True

    def metrics_url(self, node: str) -> str:
        """Returns the root of a node's metrics address."""
        host = self.processes.urls[node].rpartition(":")[0]
        return f"{host}:{deployment.METRICS_PORT}"

    def metrics(self, node: str) -> str:
        """Returns a node's metrics as text."""
        url = f"{self.metrics_url(node)}/metrics"
        return urllib.request.urlopen(url, timeout=2).read().decode()

    def events(self, node: str, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of a node with the given event."""
        text = self.processes.log_tail(node, 100000)
        lines = [json.loads(x) for x in text.splitlines() if x[:1] == "{"]
        return [line for line in lines if line["event"] == event]

    def until(self, what: str, condition: Any) -> Any:
        """Waits until a condition is true; returns its result."""
        return deployment.wait_until(what, condition, READY_S)

    def _get(self, url: str) -> dict[str, Any]:
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.loads(answer.read())


@contextlib.contextmanager
def running(
    nodes: tuple[str, ...] = NODES,
    ledgers: int = 2,
    engines: tuple[tuple[str, ...], ...] = (("m0", "m1"), ("m0",)),
    load_s: float = 0.3,
    domains: int = 0,
    versions: tuple[str, ...] = ("v1",),
    work_s: float = 0.05,
    settings: dict[str, Any] | None = None,
    tenants: tuple[dict[str, Any], ...] = (),
) -> Iterator[Site]:
    """Runs a site until the block ends.

    Args:
      nodes: names of the nodes.
      ledgers: number of plain servers.
      engines: for each engine, the models that it holds at first.
      load_s: seconds that an engine takes to load a model.
      domains: number of failure domains; by default each node has its own.
      versions: software versions of the engines, in turn.
      work_s: seconds that a plain server takes for a request.
      settings: settings of the nodes that differ from the defaults.
      tenants: workspaces of the configuration, as the store holds them.
    """
    fields = {"tenants": list(tenants)} if tenants else {}
    domains = domains or len(nodes)
    with deployment.Deployment() as processes:
        processes.start_site_store(builders_relay.site_document(**fields))
        for number, models in enumerate(engines, 1):
            processes.start_site_server(
                f"engine-{number}",
                service="llm",
                models=True,
                resident=list(models),
                domain=f"d{(number - 1) % domains + 1}",
                load_s=load_s,
                version=versions[(number - 1) % len(versions)],
            )
        for number in range(1, ledgers + 1):
            processes.start_site_server(
                f"ledger-{number}", service="ledger", work_s=work_s
            )
        for number, name in enumerate(nodes, 1):
            processes.start_relay(
                name, f"d{(number - 1) % domains + 1}", **(settings or {})
            )
        site = Site(processes)
        for name in nodes:
            site.until(f"{name} is ready", lambda name=name: site.ready(name))
        yield site
