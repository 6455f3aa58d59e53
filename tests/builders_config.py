"""Builders of settings and configurations for tests."""

from collections.abc import Callable
import copy
from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from azureline.config import defaults
from azureline.config import schema
from azureline.config import structure
from azureline.config import version
from azureline.platform import interface

GIB = 2**30


def node_settings(name: str = "node-1", **changes: Any) -> schema.NodeSettings:
    """Returns a node's settings with some options changed."""
    document = {
        "name": name,
        "host": "127.0.0.1",
        "domain": "a",
        "platform": {"url": "http://127.0.0.1:7000"},
    }
    completed = defaults.complete(document, "node")
    settings = structure.typed(schema.NodeSettings, completed)
    return settings._replace(**changes)


def document(
    models: int = 4,
    engines: int = 3,
    model_gib: int = 10,
    engine_gib: int = 40,
    **sections: Any,
) -> dict[str, Any]:
    """Returns the short form of a configuration that can be served."""
    short = {
        "site": "test",
        "models": {
            f"model-{i}": {"memory_bytes": model_gib * GIB}
            for i in range(models)
        },
        "adapters": {
            "adapter-0": {"model": "model-0", "memory_bytes": 50 * 2**20}
        },
        "engines": {
            f"engine-{i}": {
                "domain": "abc"[i % 3],
                "memory_bytes": engine_gib * GIB,
            }
            for i in range(engines)
        }
        | {"ledger-0": {"role": "ledger", "domain": "a"}},
        "services": {
            "approvals": {"role": "ledger", "servers": ["ledger-*"]},
            "stock": {"servers": ["stock-0"], "idempotent": True},
        },
        "callers": {"bench": {"key_sha256": "0" * 64}},
    }
    return copy.deepcopy(short | sections)


def configuration(*args: Any, **kwargs: Any) -> schema.Configuration:
    """Returns the typed form of `document` with the same arguments."""
    completed = defaults.complete(document(*args, **kwargs), "configuration")
    return structure.typed(schema.Configuration, completed)


def accepted(
    number: int = 1, parent: version.Accepted | None = None, **limits: Any
) -> version.Accepted:
    """Returns an accepted configuration, the successor of `parent` if given."""
    limits = {"adapters_in_transit": number} | limits
    completed = defaults.complete(document(limits=limits), "configuration")
    return version.next_version(
        parent, completed, "tester", f"apply-{number}", above=number - 1
    )


class FakeService:
    """A key-value service in memory with injected faults.

    Attributes:
      entry: the stored entry.
      faults: faults of the next calls of `put` and `get`, in order: "down"
        loses the call, "lost" loses the answer, None is no fault.
      before_put: functions to call before the next writes, in order.
      calls: number of calls of `put` and `get`.
      vms: the platform's list of VMs.
    """

    def __init__(self, entry: interface.Entry | None = None):
        self.entry = entry
        self.faults: list[str | None] = []
        self.before_put: list[Callable[[], None]] = []
        self.calls = 0
        self.vms: tuple[interface.Vm, ...] = ()

    def list(self) -> defer.Deferred[tuple[interface.Vm, ...]]:
        """Reads the platform's list of VMs."""
        return defer.succeed(self.vms)

    def get(self, key: str) -> defer.Deferred[Any]:
        """Reads the key."""
        if self._next_fault():
            return defer.succeed(interface.Unavailable("timeout"))
        return defer.succeed(self.entry)

    def put(self, key: str, value: bytes, expected: int) -> defer.Deferred[Any]:
        """Writes the key if its version is the expected one."""
        fault = self._next_fault()
        if self.before_put:
            self.before_put.pop(0)()
        current = self.entry.version if self.entry else 0
        if fault == "down":
            return defer.succeed(interface.Unavailable("refused", sent=False))
        if current != expected:
            return defer.succeed(interface.Conflict(self.entry))
        self.entry = interface.Entry(value, current + 1)
        if fault == "lost":
            return defer.succeed(interface.Unavailable("timeout"))
        return defer.succeed(self.entry)

    def store(self, value: version.Accepted) -> None:
        """Stores a configuration as another operator would."""
        number = self.entry.version if self.entry else 0
        self.entry = interface.Entry(version.encode(value), number + 1)

    def _next_fault(self) -> str | None:
        self.calls += 1
        return self.faults.pop(0) if self.faults else None


def run_on_clock(work: Callable[[Any], Any]) -> Any:
    """Runs a coroutine as `command.run` does, on a simulated clock."""
    clock = task.Clock()
    working = defer.ensureDeferred(work(clock))
    for _ in range(1000):
        if working.called:
            break
        clock.advance(0.25)
    results: list[Any] = []
    working.addBoth(results.append)
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]


def status(**versions: int) -> dict[str, Any]:
    """Returns a status document of nodes with the given versions."""
    nodes = [
        {
            "name": name,
            "domain": "a",
            "state": "alive",
            "config_version": number,
            "age_s": 1.0,
        }
        for name, number in versions.items()
    ]
    engine = {
        "name": "engine-1",
        "domain": "a",
        "owner": "n1",
        "state": "serving",
        "models": [
            {"name": "small", "version": "1", "state": "ready"},
            {"name": "large", "version": "2", "state": "loading"},
        ],
        "memory_used": 3 * 2**29,
        "memory_bytes": 4 * GIB,
        "running": 7,
    }
    return {
        "config_version": max(versions.values()),
        "nodes": nodes,
        "engines": [engine],
        "models": {"small": 1, "large": 0},
        "refusals": {"overloaded": 3},
    }
