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


class CheckedConfiguration(NamedTuple):
    """A configuration that can be applied.

    Attributes:
      document: the plain form, with every option present.
      configuration: the typed form.
      warnings: problems that do not keep the configuration from being applied.
    """

    document: dict[str, Any]
    configuration: schema.Configuration
    warnings: tuple[problems.Problem, ...]


def read_files(
    base_path: str, overlay_path: str
) -> CheckedConfiguration | problems.Invalid:
    """Reads, merges and checks a base file and an overlay."""
    base = jsonc.load(base_path)
    changes = jsonc.load(overlay_path)
    invalid = [s for s in (base, changes) if isinstance(s, problems.Invalid)]
    if invalid:
        found = [problem for source in invalid for problem in source.problems]
        return problems.Invalid(tuple(found))
    merged = overlay.merge(base, changes)
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
    """Returns the problems of a complete document, or None if it is valid."""
    configuration = _typed(document)
    if isinstance(configuration, problems.Invalid):
        return configuration
    return None


def check_references(
    configuration: schema.Configuration,
) -> list[problems.Problem]:
    """Returns the problems that the types of single options do not catch.

    These are references to missing or unsuitable entries, services without
    servers, and model engines without memory.
    """
    found = []
    for name, adapter in configuration.adapters.items():
        if adapter.model not in configuration.models:
            hint = problems.nearest_name_hint(
                adapter.model, configuration.models
            )
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
    """Checks that a service's servers are of the kind that its role needs."""
    found = []
    engines = configuration.engines
    ledgers = [e for e, engine in engines.items() if engine.role == "ledger"]
    for index, server in enumerate(service.servers):
        path = ("services", name, "servers", index)
        single = service._replace(servers=[server])
        matched = [engine for engine in engines if single.is_served_by(engine)]
        if service.role == "service" and matched:
            message = f"{matched[0]!r} is an engine, not a plain server"
            found.append(problems.Problem(message, path))
        if service.role == "ledger" and not set(matched) & set(ledgers):
            hint = problems.nearest_name_hint(server, ledgers)
            message = f"there is no ledger engine {server!r}{hint}"
            found.append(problems.Problem(message, path))
    if not service.servers:
        message = "a service needs at least one server"
        found.append(problems.Problem(message, ("services", name, "servers")))
    return found


def _check_merged(
    merged: overlay.Merged,
) -> CheckedConfiguration | problems.Invalid:
    configuration = _typed(merged.document)
    if isinstance(configuration, problems.Invalid):
        found = [
            _attribute_to_removal(merged, p) for p in configuration.problems
        ]
        return _locate_all(merged, found)
    warnings = [
        problems.Problem(message, ("engines",))
        for message in feasibility.loss_warnings(configuration)
    ]
    located = _locate_all(merged, warnings).problems
    document = structure.plain(configuration)
    return CheckedConfiguration(
        document, configuration, merged.warnings + located
    )


def _typed(
    document: dict[str, Any],
) -> schema.Configuration | problems.Invalid:
    """Returns the typed form of a document.

    If the document is incomplete or the engines cannot hold its models, returns
    the problems instead.
    """
    found = defaults.missing(document)
    if found:
        return problems.Invalid(tuple(found))
    configuration = structure.typed(schema.Configuration, document)
    if isinstance(configuration, problems.Invalid):
        return configuration
    found = check_references(configuration) or _capacity_problems(configuration)
    return problems.Invalid(tuple(found)) if found else configuration


def _capacity_problems(
    configuration: schema.Configuration,
) -> list[problems.Problem]:
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


def _attribute_to_removal(
    merged: overlay.Merged, problem: problems.Problem
) -> problems.Problem:
    """Rewords a problem whose value names an entry that the overlay removes.

    The new message gives the file and line of the removal.
    """
    value: Any = merged.document
    for key in problem.path:
        present = isinstance(value, list) or key in value
        value = value[key] if present else None
    for (_, name), removal in merged.removed.items():
        if name == value:
            message = (
                f"needs {name!r}, which {removal.file}:{removal.line} removes"
            )
            return problem._replace(message=message)
    return problem


def _locate_all(
    merged: overlay.Merged, found: Iterable[problems.Problem]
) -> problems.Invalid:
    return problems.Invalid(tuple(merged.locate(p) for p in found))
