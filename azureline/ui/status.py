"""The command `status`."""

import json
from typing import Annotated
from typing import Any

import typer

from azureline.ui import client
from azureline.ui import command
from azureline.ui import exits
from azureline.ui import render


def run(
    node: command.NodeUrl,
    timeout: command.Timeout = 2.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the JSON document instead.")
    ] = False,
) -> None:
    """Shows nodes, engines, models and refusals as one node sees them.

    Reads only; any node will do.
    """

    def work(reactor: Any) -> Any:
        return client.read_status(reactor, node, timeout)

    document = command.run(work)
    if isinstance(document, client.NoResponse):
        command.fail(exits.Exit.UNAVAILABLE, document.reason)
    if as_json:
        typer.echo(json.dumps(document, indent=2))
    else:
        typer.echo(render.status(document))


COMMAND = command.Command("status", run)
