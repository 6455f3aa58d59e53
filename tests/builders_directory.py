"""Builders of configurations, VMs and engine views."""

from typing import Any

from azureline.config import defaults
from azureline.config import schema
from azureline.config import structure
from azureline.fleet import directory as directories
from azureline.platform import interface as platform

GB = 10**9


def configuration(**sections: Any) -> schema.Configuration:
    """Returns a small configuration; given sections replace the defaults."""
    document = {
        "site": "test",
        "models": {
            "seam": {"memory_bytes": 10 * GB},
            "dial": {"memory_bytes": 20 * GB},
        },
        "adapters": {"can": {"model": "seam", "memory_bytes": GB}},
        "engines": {
            "e1": {"domain": "d1", "memory_bytes": 80 * GB},
            "e2": {"domain": "d2", "memory_bytes": 80 * GB},
        },
        "services": {
            "approvals": {"role": "ledger", "servers": ["ledger-*"]},
            "stock": {"servers": ["stock-1"], "idempotent": True},
        },
        "callers": {},
        **sections,
    }
    completed = defaults.complete(document, "configuration")
    return structure.typed(schema.Configuration, completed)


def vm(name: str, domain: str, role: str = "engine") -> platform.Vm:
    """Returns a VM on the loopback interface."""
    return platform.Vm(name, "127.0.0.1", 9000, role, domain, False)


def engine_view(
    incarnation: str = "run-1",
    draining: bool = False,
    down: bool = False,
    **models: str,
) -> directories.EngineView:
    """Returns a view of an engine with models in the given states."""
    held = tuple(directories.HeldModel(n, "1", s) for n, s in models.items())
    return directories.EngineView(
        "n1", incarnation, held, 0, 80 * GB, 0, 0, draining, down
    )


def add_engine(
    directory: directories.Directory, name: str, domain: str, **fields: Any
) -> None:
    """Adds an engine to a directory; see `view`."""
    directory.update_vm(vm(name, domain))
    directory.update_view(name, engine_view(**fields))
