"""The command `node`."""

from typing import Annotated

import typer

from azureline.config import check
from azureline.config import problems
from azureline.ui import command
from azureline.ui import exits
from azureline.util import log


def run(
    settings: Annotated[
        str,
        typer.Option(metavar="FILE", help="The node's settings, as JSON."),
    ],
) -> None:
    """Runs the node of one entry VM until it is told to stop.

    SIGTERM and SIGINT drain it: readiness fails first, and requests in
    progress are finished.  Every option with its default is in the shipped
    file azureline/config/defaults.json.
    """
    checked = check.read_settings(settings)
    if isinstance(checked, problems.Invalid):
        command.fail(exits.Exit.REFUSED, checked)
    log.setup(checked.log.level)
    from azureline import node  # The import installs the reactor.

    node.run(checked)


COMMAND = command.Command("node", run)
