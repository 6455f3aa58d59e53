"""Measures a configuration change and a node's start at several fleet sizes.

Run `python -m tools.config_bench`.  It prints one row per configuration size:
the size of the document in bytes, plain and as stored; the size of the delta of
a change of one option; and the processor time in milliseconds for checking the
files, for applying the delta on a node and for adopting the full document.  The
second table has one row per fleet size for a node that gets its configuration
from the other nodes at start.
"""

import json
import pathlib
import random
import tempfile
import time
from typing import Any

from azureline.config import check
from azureline.config import delta
from azureline.config import messages
from azureline.config import replication
from azureline.config import version
from azureline.core import wire

SIZES = ((20, 6, 80), (70, 100, 400), (140, 300, 1200), (210, 900, 2100))
HEADER = (
    "models engines adapters plain_b stored_b delta_b check_ms delta_ms full_ms"
)
START_HEADER = "nodes seconds questions bytes"
FLEETS = (8, 90, 360)
_GIB = 2**30
_CODEC = wire.Codec({1: messages.VersionQuery, 2: messages.VersionReply})


def document(models: int, engines: int, adapters: int) -> dict[str, Any]:
    """Returns the short form of a configuration of the given size."""
    rng = random.Random(models)
    return {
        "site": "bench",
        "models": {
            f"model-{i}": {
                "memory_bytes": rng.randint(4, 24) * _GIB,
                "min_replicas": 2,
            }
            for i in range(models)
        },
        "adapters": {
            f"adapter-{i}": {
                "model": f"model-{i % models}",
                "memory_bytes": rng.randint(64, 256) * 2**20,
            }
            for i in range(adapters)
        },
        "engines": {
            f"engine-{i}": {
                "domain": f"domain-{i % 7}",
                "memory_bytes": (320 if engines > 20 else 160) * _GIB,
                "accelerators": 4,
            }
            for i in range(engines)
        },
    }


def measure(models: int, engines: int, adapters: int) -> tuple[int, ...]:
    """Returns the columns of `HEADER` for one configuration size."""
    with tempfile.TemporaryDirectory() as folder:
        base = pathlib.Path(folder, "base.json")
        base.write_text(json.dumps(document(models, engines, adapters)))
        overlay = pathlib.Path(folder, "overlay.json")
        overlay.write_text("{}")
        checked, check_ms = _timed(
            lambda: check.read_files(str(base), str(overlay))
        )
    first = version.next_version(None, checked.document, "a", "1")
    edits = delta.Edits(
        (delta.Assignment(("models", "model-1", "min_replicas"), 3),)
    )
    changed = delta.apply_edits(checked.document, edits)
    second = version.next_version(first, changed, "a", "2")
    node, publisher = _new_replica(first), _new_replica(first)
    publisher.on_stored(1.0, second)
    batch = publisher.on_pull(messages.Pull(1, first.digest))
    full = publisher.on_pull(messages.Pull(0, ""))
    _, delta_ms = _timed(lambda: node.on_message(1.0, "b", batch))
    second_node = _new_replica(first)
    _, full_ms = _timed(lambda: second_node.on_message(1.0, "b", full))
    assert node.in_force.digest == second.digest
    plain_bytes = len(json.dumps(checked.document))
    delta_bytes = len(batch.deltas[0].edits)
    sizes = (plain_bytes, len(full.value), delta_bytes)
    return (models, engines, adapters, *sizes, check_ms, delta_ms, full_ms)


def measure_start(nodes: int) -> tuple[int, ...]:
    """Returns the columns of `START_HEADER` for one fleet size.

    Every other node answers at once and has the same version in force.
    """
    peer = _new_replica(
        version.next_version(None, document(20, 6, 80), "a", "1")
    )
    node = replication.ConfigReplica(random.Random(2))
    node.set_peers(0.0, frozenset(f"node-{i}" for i in range(1, nodes)))
    query_count = size = seconds = 0
    while node.in_force is None:
        sends = node.tick(float(seconds))
        for name, query in sends:
            [answer] = peer.on_message(float(seconds), "new", query)
            for _, pull in node.on_message(seconds, name, answer.message):
                [full] = peer.on_message(float(seconds), "new", pull)
                node.on_message(float(seconds), name, full.message)
            if isinstance(query, messages.VersionQuery):
                query_count += 1
                size += len(_CODEC.pack(query))
                size += len(_CODEC.pack(answer.message))
        seconds += 1
    return nodes, seconds, query_count, size


def _new_replica(in_force: version.Accepted) -> replication.ConfigReplica:
    node = replication.ConfigReplica(random.Random(1))
    node.on_stored(0.0, in_force)
    return node


def _timed(function: Any) -> tuple[Any, int]:
    start = time.process_time()
    result = function()
    return result, round((time.process_time() - start) * 1000)


def main() -> None:
    """Prints both tables."""
    print(HEADER)
    for size in SIZES:
        print(*measure(*size))
    print(START_HEADER)
    for nodes in FLEETS:
        print(*measure_start(nodes))


if __name__ == "__main__":
    main()
