"""A small site for the cases: the store, engines, ledgers and nodes."""

from collections.abc import Iterator
import contextlib
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

from tests import builders_relay
from tests import builders_site
from tools import deployment


class Server(NamedTuple):
    """A backend server's name and the options of its stand-in."""

    name: str
    options: dict[str, Any]


def engine(name: str, **options: Any) -> Server:
    """Returns an engine that holds the model m0."""
    values = {"service": "llm", "models": True, "resident": ["m0"], **options}
    return Server(name, values)


def ledger(name: str, **options: Any) -> Server:
    """Returns a plain server of the service "ledger"."""
    return Server(name, {"service": "ledger", **options})


def start_server(processes: deployment.Deployment, server: Server) -> None:
    """Starts a backend server; see `review.support2.server`."""
    host = processes._next_host()
    options = {
        "host": host,
        "port": deployment.SERVER_PORT,
        "name": server.name,
        "store": processes.urls["store"],
        "born": int(time.time() * 1000),
        **server.options,
    }
    command = [sys.executable, "-m", "review.support2.server"]
    command += deployment._arguments(options)
    process = processes._start(server.name, command, subprocess.PIPE)
    port = deployment._ready_port(server.name, process)
    processes.urls[server.name] = f"http://{host}:{port}"


@contextlib.contextmanager
def running(
    servers: tuple[Server, ...],
    nodes: tuple[str, ...] = builders_site.NODES,
    routes: tuple[dict[str, Any], ...] = (),
    settings: dict[str, Any] | None = None,
    document: dict[str, Any] | None = None,
) -> Iterator[builders_site.Site]:
    """Runs a site until the block ends.

    Args:
      servers: the backend servers.
      nodes: names of the nodes; each has a failure domain of its own.
      routes: routes that are added before the usual ones.
      settings: settings of the nodes that differ from the defaults.
      document: the operators' configuration; by default a usual one.
    """
    document = document or builders_relay.site_document()
    document["routes"] = [*routes, *document["routes"]]
    with deployment.Deployment() as processes:
        processes.start_site_store(document)
        for server in servers:
            start_server(processes, server)
        for number, name in enumerate(nodes, 1):
            processes.start_relay(name, f"d{number}", **(settings or {}))
        site = builders_site.Site(processes)
        for name in nodes:
            site.until(f"{name} is ready", lambda name=name: site.ready(name))
        yield site
