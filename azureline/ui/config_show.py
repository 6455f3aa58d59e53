"""The command `config show`."""

import json
from typing import Annotated

import typer

from azureline.ui import command
from azureline.ui import exits
from azureline.ui import files
from azureline.ui import render


def run(
    platform: command.Platform,
    timeout: command.Timeout = 2.0,
    number: Annotated[
        int,
        typer.Option("--version", metavar="VERSION", help="An earlier one."),
    ] = 0,
    history: Annotated[
        bool,
        typer.Option("--history", help="List the versions still known."),
    ] = False,
) -> None:
    """Prints the accepted configuration as JSON.

    Its version, author and digest go to standard error.
    """
    accepted = files.accepted(platform, timeout).accepted
    typer.echo(render.version_heading(accepted), err=True)
    if accepted is None:
        return
    if history:
        typer.echo(render.history(accepted))
        return
    document = accepted.document_at(number or accepted.version)
    if document is None:
        command.fail(exits.Exit.REFUSED, f"version {number} is not known")
    typer.echo(json.dumps(document, indent=2, sort_keys=True))


COMMAND = command.Command("show", run)
