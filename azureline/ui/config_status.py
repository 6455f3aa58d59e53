"""The command `config status`."""

from typing import Annotated
from typing import Any

import typer

from azureline.ui import client
from azureline.ui import command
from azureline.ui import exits
from azureline.ui import render


def run(
    node: command.NodeUrl,
    platform: command.OptionalPlatform = "",
    timeout: command.Timeout = 2.0,
    wait: Annotated[
        float,
        typer.Option(
            metavar="SECONDS",
            help="Wait this long for the newest version to be in force "
            "everywhere.",
        ),
    ] = 0.0,
) -> None:
    """Shows which version is in force on each VM.

    With --platform, VMs that its list names and no node knows of are missing,
    and the accepted version counts as the newest.  Exit code 0 if the newest
    version is in force on every live VM, 1 if a VM is behind or missing.
    """

    def work(reactor: Any) -> Any:
        return client.poll_rollout(reactor, node, platform, timeout, wait)

    found = command.run(work)
    if isinstance(found, client.NoResponse):
        command.fail(exits.Exit.UNAVAILABLE, found.reason)
    typer.echo(render.rolled_out(found))
    if not found.complete:
        raise typer.Exit(int(exits.Exit.REFUSED))


COMMAND = command.Command("status", run)
