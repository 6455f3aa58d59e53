"""Checks a base file and an overlay as a whole before anything is changed."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from azureline.config import defaults
from azureline.config import feasibility
from azureline.config import jsonc
from azureline.config import overlay
from azureline.config import problems
from azureline.config import schema
from azureline.config import structure


class Checked(NamedTuple):
    """A configuration that can be applied.

    Attributes:
      document: its plain form, with every option present.
      configuration: its typed form.
      warnings: what works but is better mended.
    """

    document: dict[str, Any]
    configuration: schema.Configuration
    warnings: tuple[problems.Problem, ...]


def read_files(base_path: str, overlay_path: str) -> Checked | problems.Invalid:
    """Reads, merges and checks a base file and an overlay."""
    base = jsonc.load(base_path)
    site = jsonc.load(overlay_path)
    unread = [s for s in (base, site) if isinstance(s, problems.Invalid)]
    if unread:
        found = [problem for one in unread for problem in one.problems]
        return problems.Invalid(tuple(found))
    merged = overlay.merge(base, site)
    if isinstance(merged, problems.Invalid):
        return merged
    return _check_merged(merged)


def read_settings(path: str) -> schema.NodeSettings | problems.Invalid:
    """Reads and checks a node's settings file."""
    source = jsonc.load(path)
    if isinstance(source, problems.Invalid):
        return source
    settings = defaults.complete(source.value, "node")
    if not isinstance(settings, problems.Invalid):
        settings = structure.typed(schema.NodeSettings, settings)
    if isinstance(settings, problems.Invalid):
        found = [source.locate(problem) for problem in settings.problems]
        return problems.Invalid(tuple(found))
    return settings


def check_document(document: dict[str, Any]) -> problems.Invalid | None:
    """Returns what is wrong with a whole document, or None."""
    configuration = _typed(document)
    if isinstance(configuration, problems.Invalid):
        return configuration
    return None


def cross_references(
    configuration: schema.Configuration,
) -> list[problems.Problem]:
    """Returns a problem for every name that refers to nothing fitting."""
    found = []
    for name, adapter in configuration.adapters.items():
        if adapter.model not in configuration.models:
            hint = problems.nearest(adapter.model, configuration.models)
            message = f"there is no model {adapter.model!r}{hint}"
            path = ("adapters", name, "model")
            found.append(problems.Problem(message, path))
    for name, service in configuration.services.items():
        found += _check_servers(name, service, configuration)
    for name, engine in configuration.engines.items():
        if engine.role != "ledger" and not engine.memory_bytes:
            path = ("engines", name, "memory_bytes")
            found.append(problems.Problem("this option must be given", path))
    return found


def _check_servers(
    name: str, service: schema.Service, configuration: schema.Configuration
) -> list[problems.Problem]:
    """Compares a service's servers with the engines of its role."""
    found = []
    engines = configuration.engines
    ledgers = [e for e, engine in engines.items() if engine.role == "ledger"]
    for index, server in enumerate(service.servers):
        path = ("services", name, "servers", index)
        only = service._replace(servers=[server])
        matched = [engine for engine in engines if only.is_served_by(engine)]
        if service.role == "service" and matched:
            message = f"{matched[0]!r} is an engine, not a plain server"
            found.append(problems.Problem(message, path))
        if service.role == "ledger" and not set(matched) & set(ledgers):
            hint = problems.nearest(server, ledgers)
            message = f"there is no ledger engine {server!r}{hint}"
            found.append(problems.Problem(message, path))
    if not service.servers:
        message = "a service needs at least one server"
        found.append(problems.Problem(message, ("services", name, "servers")))
    return found


def _check_merged(merged: overlay.Merged) -> Checked | problems.Invalid:
    configuration = _typed(merged.document)
    if isinstance(configuration, problems.Invalid):
        found = [_blame(merged, p) for p in configuration.problems]
        return _located(merged, found)
    warnings = [
        problems.Problem(sentence, ("engines",))
        for sentence in feasibility.lost_groups(configuration)
    ]
    located = _located(merged, warnings).problems
    document = structure.plain(configuration)
    return Checked(document, configuration, merged.warnings + located)


def _typed(
    document: dict[str, Any],
) -> schema.Configuration | problems.Invalid:
    """Returns the typed form of a document that can be served."""
    found = defaults.missing(document)
    if found:
        return problems.Invalid(tuple(found))
    configuration = structure.typed(schema.Configuration, document)
    if isinstance(configuration, problems.Invalid):
        return configuration
    found = cross_references(configuration) or _unservable(configuration)
    return problems.Invalid(tuple(found)) if found else configuration


def _unservable(configuration: schema.Configuration) -> list[problems.Problem]:
    capacities = feasibility.capacities_of(configuration)
    packing = feasibility.pack(configuration.models, capacities)
    if isinstance(packing, feasibility.Infeasible):
        message = f"this configuration cannot be served: {packing.reason}"
        return [problems.Problem(message, ("engines",))]
    oversized = feasibility.oversized_adapters(configuration)
    return [
        problems.Problem(reason, ("adapters", name, "memory_bytes"))
        for name, reason in oversized.items()
    ]


def _blame(
    merged: overlay.Merged, problem: problems.Problem
) -> problems.Problem:
    """Names the removal that took away what the problem's value refers to."""
    value: Any = merged.document
    for key in problem.path:
        inner = isinstance(value, list) or key in value
        value = value[key] if inner else None
    for (_, name), place in merged.removed.items():
        if name == value:
            message = f"needs {name!r}, which {place.file}:{place.line} removes"
            return problem._replace(message=message)
    return problem


def _located(
    merged: overlay.Merged, found: Iterable[problems.Problem]
) -> problems.Invalid:
    return problems.Invalid(tuple(merged.locate(p) for p in found))
