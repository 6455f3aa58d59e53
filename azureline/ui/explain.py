"""The command `explain`."""

import json
from typing import Annotated
from typing import Any

import typer

from azureline.ui import client
from azureline.ui import command
from azureline.ui import exits
from azureline.ui import render


def run(
    model: Annotated[
        str, typer.Argument(metavar="MODEL", help="The request's model.")
    ],
    node: command.NodeUrl,
    tokens: Annotated[
        int, typer.Option(min=0, help="Length of the prompt in tokens.")
    ] = 0,
    prefix: Annotated[
        str,
        typer.Option(
            metavar="NAME:TOKENS,...", help="The prompt's shared parts."
        ),
    ] = "",
    adapter: Annotated[str, typer.Option(help="The request's adapter.")] = "",
    route: Annotated[
        str, typer.Option(help="Its route; by default the first that fits.")
    ] = "",
    timeout: command.Timeout = 2.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the JSON document instead.")
    ] = False,
) -> None:
    """Explains where a relay node would send a request now, and why.

    Sends nothing and changes nothing.  The address is that of the node's
    metrics.
    """
    asked = {
        "model": model,
        "tokens": str(tokens) if tokens else "",
        "prefix": prefix,
        "adapter": adapter,
        "route": route,
    }

    def work(reactor: Any) -> Any:
        return client.read_explanation(reactor, node, asked, timeout)

    document = command.run(work)
    if isinstance(document, client.NoResponse):
        command.fail(exits.Exit.UNAVAILABLE, document.reason)
    if isinstance(document, client.Refused):
        command.fail(exits.Exit.REFUSED, document.reason)
    if as_json:
        typer.echo(json.dumps(document, indent=2))
    else:
        typer.echo(render.explanation(document))


COMMAND = command.Command("explain", run)
