"""The command `config check`."""

import typer

from azureline.ui import command
from azureline.ui import files


def run(base: command.Base, overlay: command.Overlay) -> None:
    """Checks a base file and an overlay; changes nothing.

    Names file, line and key of every mistake, and refuses a configuration
    whose models cannot all be kept in the engines' memory.  Exit code 0 if
    it can be applied, 1 if not.
    """
    checked = files.checked(base, overlay)
    configuration = checked.configuration
    engines = configuration.model_engines
    typer.echo(
        f"ok: site {configuration.site}, {len(configuration.models)} models, "
        f"{len(configuration.adapters)} adapters, {len(engines)} model "
        f"engines, {len(configuration.engines) - len(engines)} ledger engines"
    )


COMMAND = command.Command("check", run)
