"""The command `config status`."""

from typing import Annotated
from typing import Any

import typer

from azureline.config import store
from azureline.platform import http
from azureline.platform import interface
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

    Exit code 0 if the newest known version is in force on every live VM, 1
    if a VM is behind.
    """

    async def work(reactor: Any) -> Any:
        accepted = 0
        if platform:
            service = http.HttpKeyValue(reactor, platform, timeout)
            stored = await store.read(service)
            if isinstance(stored, interface.Unavailable):
                return client.NoAnswer(f"{platform}: {stored.reason}")
            if isinstance(stored, store.Stored) and stored.accepted:
                accepted = stored.accepted.version
        return await client.follow(reactor, node, accepted, timeout, wait)

    followed = command.run(work)
    if isinstance(followed, client.NoAnswer):
        command.fail(exits.Exit.UNAVAILABLE, followed.reason)
    nodes, found = followed
    typer.echo(render.rolled_out(nodes, found))
    if not found.complete:
        raise typer.Exit(int(exits.Exit.REFUSED))


COMMAND = command.Command("status", run)
