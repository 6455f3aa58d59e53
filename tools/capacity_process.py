"""Measures memory, processor time and restart time of node processes."""

import os
import pathlib
import statistics
import time
from typing import TypedDict

from tools import caller
from tools import demo
from tools import deployment

SIZES = (3, 6, 12)
QUIET_S = 8.0
SETTLE_S = 10.0
READY_S = 60.0
_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


class Processes(TypedDict):
    """Cost of idle node processes on one machine with two engine stand-ins.

    Attributes:
      nodes: number of nodes, besides the stand-ins.
      rss_mb: resident memory of a node in MB, mean over the nodes.
      cpu_ms_per_s: processor time of a node, mean over the nodes.
      busiest_ms_per_s: processor time of the busiest node.
      restart_s: time from the start of a replacement process until it is
        ready.
    """

    nodes: int
    rss_mb: float
    cpu_ms_per_s: float
    busiest_ms_per_s: float
    restart_s: float


def measure() -> list[Processes]:
    """Returns the results of all sizes."""
    return [measure_size(size) for size in SIZES]


def measure_size(size: int) -> Processes:
    """Starts a small deployment and measures it without requests."""
    with deployment.Deployment() as fleet:
        names = [f"node-{n}" for n in range(size)]
        _start(fleet, names)
        time.sleep(SETTLE_S)
        cpu_before_s = {n: _cpu_s(fleet.pid(n)) for n in names}
        time.sleep(QUIET_S)
        cpu_ms = [
            1000 * (_cpu_s(fleet.pid(n)) - cpu_before_s[n]) for n in names
        ]
        memory_mb = [_rss_mb(fleet.pid(n)) for n in names]
        took_s = _measure_restart(fleet, names[-1])
    return Processes(
        nodes=size,
        rss_mb=round(statistics.mean(memory_mb), 1),
        cpu_ms_per_s=round(statistics.mean(cpu_ms) / QUIET_S, 2),
        busiest_ms_per_s=round(max(cpu_ms) / QUIET_S, 2),
        restart_s=round(took_s, 1),
    )


def _start(fleet: deployment.Deployment, names: list[str]) -> None:
    fleet.start_standin("platform", "platform", store_rate=4.0)
    for number in (1, 2):
        fleet.start_standin(
            "engine",
            f"engine-{number}",
            domain=f"d{number}",
            memory_bytes=80 << 30,
        )
    fleet.start_standin("ledger", "ledger-1", domain="d3")
    for number, name in enumerate(names):
        fleet.start_node(name, f"d{number % 3 + 1}")
    checks = demo.Checks()
    demo.apply_config(
        fleet, checks, demo.BASE % demo.key_digest(), demo.OVERLAY
    )
    for name in names:
        _wait_ready(fleet, name)


def _wait_ready(fleet: deployment.Deployment, name: str) -> None:
    node = caller.Caller(fleet.urls[name])
    deployment.wait_until(
        f"{name} is ready",
        lambda: node.call("GET", "/readyz").status == 200,
        READY_S,
    )


def _measure_restart(fleet: deployment.Deployment, name: str) -> float:
    fleet.kill(name)
    started = time.monotonic()
    fleet.start_node(name, "d1")
    _wait_ready(fleet, name)
    return time.monotonic() - started


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[-1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * _TICK_S


def _rss_mb(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1000
    raise ValueError(f"no VmRSS line in /proc/{pid}/status")
