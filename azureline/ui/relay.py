"""The command `relay`."""

from typing import Annotated

import typer

from azureline.config import problems
from azureline.relay import settings as settings_lib
from azureline.ui import command
from azureline.ui import exits


def run(
    settings: Annotated[
        str,
        typer.Option(metavar="FILE", help="The VM's settings, as JSON."),
    ],
) -> None:
    """Relays callers' requests of one VM until it is told to stop.

    SIGTERM and SIGINT drain it: readiness fails first, and requests in
    progress are finished.  Every option with its default is in the shipped
    file azureline/config/defaults.json.
    """
    checked = settings_lib.read(settings)
    if isinstance(checked, problems.Invalid):
        command.fail(exits.Exit.REFUSED, checked)
    from azureline.relay import process  # The import installs the reactor.

    process.run(checked)


COMMAND = command.Command("relay", run)
