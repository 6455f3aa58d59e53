"""Assembles the commands into one program.

A command's module is imported only when the command is requested, so that a
node does not load the client code of the operators' commands before it serves.
"""

from collections.abc import Sequence
import importlib

import typer

_HELP = """Serves many models on fewer accelerators.

Exit codes: 0 done; 1 invalid or refused, nothing has changed; 2 wrong usage;
3 another change is in the way, nothing has changed; 4 the platform's service
or the node gave no answer.
"""
_CONFIG_HELP = """Checks, applies and shows the configuration of a site.

A configuration is a base file shared by all sites and an overlay that states
a site's differences, both in JSON with comments.
"""
_MODULES = {
    "explain": "azureline.ui.explain",
    "node": "azureline.ui.node",
    "relay": "azureline.ui.relay",
    "status": "azureline.ui.status",
    "version": "azureline.ui.version",
}
_CONFIG_MODULES = {
    "check": "azureline.ui.config_check",
    "diff": "azureline.ui.config_diff",
    "apply": "azureline.ui.config_apply",
    "show": "azureline.ui.config_show",
    "status": "azureline.ui.config_status",
}


def build(arguments: Sequence[str] = ()) -> typer.Typer:
    """Returns the program.

    Args:
      arguments: arguments of the command line.  If the first names a top-level
        command, only that command is loaded; otherwise all are.
    """
    program = _group(_HELP)
    config = _group(_CONFIG_HELP)
    name = arguments[0] if arguments else ""
    if name in _MODULES:
        # With a callback, a single command keeps its name.
        program.callback()(_no_op)
        _add(program, _MODULES, {name})
        return program
    _add(program, _MODULES, set(_MODULES))
    _add(config, _CONFIG_MODULES, set(_CONFIG_MODULES))
    program.add_typer(config, name="config")
    return program


def _add(group: typer.Typer, modules: dict[str, str], names: set[str]) -> None:
    for name, module in modules.items():
        if name in names:
            command = importlib.import_module(module).COMMAND
            group.command(command.name)(command.run)


def _no_op() -> None:
    return None


def _group(text: str) -> typer.Typer:
    return typer.Typer(
        help=text,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
