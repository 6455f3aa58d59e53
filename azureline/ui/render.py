"""Formats results as text for operators."""

import json
from typing import Any

from azureline.config import conflicts
from azureline.config import delta
from azureline.config import problems
from azureline.config import rollout
from azureline.config import version

_MAX_VALUE_CHARS = 60
_ENGINE_HEADER = (
    "ENGINE",
    "DOMAIN",
    "OWNER",
    "STATE",
    "MEMORY",
    "RUNNING",
    "MODELS",
)
_GIB = 2**30
# Columns of an explanation with their fields.
_EXPLAINED = {
    "COST": "cost_s",
    "KNOWN WAIT": "known_wait_s",
    "USUAL WAIT": "usual_wait_s",
    "PREFILL": "prefill_s",
    "SAVED": "saved_s",
    "DELAY": "delay_s",
    "GAP": "gap_s",
    "DOMAIN COST": "domain_s",
    "BELIEF AGE": "belief_age_s",
    "QUEUE AGE": "queue_age_s",
    "LOAD AGE": "load_age_s",
}


def table(header: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    """Returns a header and rows as text in aligned columns."""
    cells = [header, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def edits(old: delta.Document, change: delta.Edits) -> str:
    """Returns one line per changed path."""
    lines = [f"- {problems.path_text(path)}" for path in change.removed]
    for path, value in change.assignments:
        before = delta.get(old, path)
        name = problems.path_text(path)
        if before is None:
            lines.append(f"+ {name} = {_abbreviated(value)}")
        else:
            lines.append(
                f"~ {name}: {_abbreviated(before)} -> {_abbreviated(value)}"
            )
    return "\n".join(lines)


def version_heading(accepted: version.Accepted | None) -> str:
    """Returns a line that identifies the accepted version."""
    if accepted is None:
        return "no configuration is accepted yet"
    return (
        f"version {accepted.version} by {accepted.author}, "
        f"sha256 {accepted.digest[:12]}"
    )


def history(accepted: version.Accepted) -> str:
    """Returns a table of the versions in the history."""
    rows = [(accepted.version, accepted.author, accepted.identity)]
    rows += [
        (entry.version, entry.author, entry.identity)
        for entry in accepted.history
    ]
    return table(("VERSION", "AUTHOR", "IDENTITY"), rows)


def conflict(found: conflicts.Conflict) -> str:
    """Describes a conflict and how to resolve it."""
    if found.current is None:
        return "conflict: the platform's service holds no configuration"
    lines = [f"conflict: accepted is {version_heading(found.current)}"]
    if found.since is None:
        lines.append(f"what changed since version {found.expected} is unknown")
    else:
        before = found.current.document_at(found.expected) or {}
        lines.append(f"changed since version {found.expected}:")
        lines.append(edits(before, found.since))
    if found.clashing:
        lines.append("your files change these paths too:")
        lines += [f"  {problems.path_text(path)}" for path in found.clashing]
    lines.append(
        "nothing was written; take the changes into your files and use "
        f"--expect {found.current.version}"
    )
    if found.since is not None and not found.clashing:
        lines.append(
            f"or keep your files and use --expect {found.expected} --rebase"
        )
    return "\n".join(lines)


def rolled_out(found: rollout.Rollout) -> str:
    """Returns a table of the VMs and their versions, and a summary."""
    rows = [
        (vm.name, vm.domain, vm.state, vm.version or "none", vm.standing.value)
        for vm in found.vms
    ]
    vms = table(("VM", "DOMAIN", "STATE", "VERSION", "STANDING"), rows)
    if not found.newest:
        return f"{vms}\nno configuration is in force on any VM"
    in_force = found.count(rollout.Standing.IN_FORCE)
    live = len(found.vms) - found.count(rollout.Standing.DEAD)
    return (
        f"{vms}\nversion {found.newest} is in force on {in_force} of "
        f"{live} live VMs"
    )


def status(document: dict[str, Any]) -> str:
    """Returns a node's status document as tables."""
    parts = [f"configuration: version {document['config_version'] or 'none'}"]
    if document.get("unreachable_domains"):
        names = ", ".join(document["unreachable_domains"])
        parts.append(f"unreachable failure domains: {names}")
    parts.append(_nodes(document["nodes"]))
    parts.append(_engines(document["engines"]))
    models = sorted(document["models"].items())
    parts.append(table(("MODEL", "REPLICAS"), models))
    for title in ("refusals", "retries", "moves"):
        counts = sorted(document.get(title, {}).items())
        if counts:
            parts.append(table((title.upper(), "COUNT"), counts))
    return "\n\n".join(parts)


def explanation(document: dict[str, Any]) -> str:
    """Returns where a request would go as a table, the first choice first."""
    heading = (
        f"{document['node']}: model {document['model']}, route "
        f"{document['route']}, service {document['service']}, configuration "
        f"version {document['config_version']}"
    )
    parts = [heading]
    engines = document["engines"]
    if engines:
        header = ("ENGINE", "DOMAIN", "REASON", *_EXPLAINED)
        rows = [
            (
                engine["server"],
                engine["domain"],
                engine["reason"],
                *(_milliseconds(engine[key]) for key in _EXPLAINED.values()),
            )
            for engine in engines
        ]
        parts.append(table(header, rows))
        parts.append("All times and ages are in milliseconds.")
    else:
        parts.append("No engine that holds the model may get requests now.")
    if document["excluded"]:
        names = " ".join(document["excluded"])
        parts.append(f"excluded, as they may get no requests now: {names}")
    return "\n\n".join(parts)


def _milliseconds(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds * 1000:.0f}"


def _nodes(nodes: list[dict[str, Any]]) -> str:
    rows = [
        (n["name"], n["domain"], n["state"], n["config_version"], n["age_s"])
        for n in nodes
    ]
    return table(("NODE", "DOMAIN", "STATE", "CONFIG", "SECONDS"), rows)


def _engines(engines: list[dict[str, Any]]) -> str:
    rows = []
    for engine in engines:
        used = engine["memory_used"] / _GIB
        memory = f"{used:.1f}/{engine['memory_bytes'] / _GIB:.1f} GiB"
        models = " ".join(_model(model) for model in engine["models"])
        state = engine.get("state", "")
        rows.append(
            (
                engine["name"],
                engine["domain"],
                engine["owner"] or "none",
                state,
                memory,
                engine["running"],
                models,
            )
        )
    header = (
        "ENGINE",
        "DOMAIN",
        "OWNER",
        "STATE",
        "MEMORY",
        "RUNNING",
        "MODELS",
    )
    return table(header, rows)


def _model(model: dict[str, Any]) -> str:
    text = f"{model['name']}@{model['version']}"
    return text if model["state"] == "ready" else f"{text}({model['state']})"


def _abbreviated(value: Any) -> str:
    text = json.dumps(value, sort_keys=True)
    if len(text) > _MAX_VALUE_CHARS:
        return text[: _MAX_VALUE_CHARS - 3] + "..."
    return text
