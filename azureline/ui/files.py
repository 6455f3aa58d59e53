"""Reads configurations for commands; ends the command on failure."""

from typing import Any

import typer

from azureline.config import check
from azureline.config import problems
from azureline.config import store
from azureline.platform import http
from azureline.platform import interface
from azureline.ui import command
from azureline.ui import exits


def checked(base: str, overlay: str) -> check.CheckedConfiguration:
    """Returns the checked files; ends the command if they are invalid."""
    found = check.read_files(base, overlay)
    if isinstance(found, problems.Invalid):
        command.fail(exits.Exit.REFUSED, found)
    for warning in found.warnings:
        typer.echo(f"warning: {warning}", err=True)
    return found


def accepted(platform: str, timeout_s: float) -> store.Stored:
    """Returns the stored configuration; ends the command on failure."""

    def read(reactor: Any) -> Any:
        return store.read(http.HttpKeyValue(reactor, platform, timeout_s))

    found = command.run(read)
    match found:
        case interface.Unavailable():
            command.fail(exits.Exit.UNAVAILABLE, f"{platform}: {found.reason}")
        case store.MalformedValue():
            command.fail(
                exits.Exit.REFUSED,
                f"{platform}: the stored value is no configuration: "
                f"{found.reason}",
            )
    return found
