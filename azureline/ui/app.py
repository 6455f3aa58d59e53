"""Puts the commands together into one program."""

import typer

from azureline.ui import config_apply
from azureline.ui import config_check
from azureline.ui import config_diff
from azureline.ui import config_show
from azureline.ui import config_status
from azureline.ui import node
from azureline.ui import relay
from azureline.ui import status
from azureline.ui import version

_HELP = """Serves many models on fewer accelerators.

Exit codes: 0 done; 1 invalid or refused, nothing has changed; 2 wrong usage;
3 another change is in the way, nothing has changed; 4 the platform's service
or the node gave no answer.
"""
_CONFIG_HELP = """Checks, applies and shows the configuration of a site.

A configuration is a base file shared by all sites and an overlay that states
a site's differences, both in JSON with comments.
"""
_COMMANDS = (node.COMMAND, relay.COMMAND, status.COMMAND, version.COMMAND)
_CONFIG_COMMANDS = (
    config_check.COMMAND,
    config_diff.COMMAND,
    config_apply.COMMAND,
    config_show.COMMAND,
    config_status.COMMAND,
)


def build() -> typer.Typer:
    """Returns the program."""
    program = _group(_HELP)
    config = _group(_CONFIG_HELP)
    for command in _COMMANDS:
        program.command(command.name)(command.run)
    for command in _CONFIG_COMMANDS:
        config.command(command.name)(command.run)
    program.add_typer(config, name="config")
    return program


def _group(text: str) -> typer.Typer:
    return typer.Typer(
        help=text,
        no_args_is_help=True,
        add_completion=False,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
    )
