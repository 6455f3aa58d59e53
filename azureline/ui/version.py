"""The command `version`."""

import typer

import azureline
from azureline.ui import command


def run() -> None:
    """Prints the program's version."""
    typer.echo(f"azureline {azureline.__version__}")


COMMAND = command.Command("version", run)
