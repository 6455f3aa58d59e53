"""The command `config diff`."""

import typer

from azureline.config import delta
from azureline.ui import command
from azureline.ui import files
from azureline.ui import render


def run(
    base: command.Base,
    overlay: command.Overlay,
    platform: command.Platform,
    timeout: command.Timeout = 2.0,
) -> None:
    """Shows what applying the files would change.

    Lines start with + for what is added, - for what is removed and ~ for
    what is changed.  The version to pass to `apply --expect` is printed last.
    """
    checked = files.checked(base, overlay)
    accepted = files.accepted(platform, timeout).accepted
    old = accepted.document if accepted else {}
    change = delta.diff(old, checked.document)
    typer.echo(render.edits(old, change) or "no difference")
    typer.echo(f"accepted: {render.version_heading(accepted)}")
    number = accepted.version if accepted else 0
    typer.echo(f"to apply against this version: --expect {number}")


COMMAND = command.Command("diff", run)
