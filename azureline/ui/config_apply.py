"""The command `config apply`."""

import getpass
from typing import Annotated
from typing import Any
import uuid

from twisted.internet import task
import typer

from azureline.config import check
from azureline.config import conflicts
from azureline.config import delta
from azureline.config import problems
from azureline.config import store
from azureline.config import version
from azureline.platform import http
from azureline.ui import command
from azureline.ui import exits
from azureline.ui import files
from azureline.ui import render


def run(
    base: command.Base,
    overlay: command.Overlay,
    platform: command.Platform,
    timeout: command.Timeout = 2.0,
    expect: Annotated[
        int | None,
        typer.Option(
            metavar="VERSION",
            min=0,
            help="Version that the files take into account, as printed by "
            "diff and show.  Without it, files that would take back a recent "
            "change are a conflict.",
        ),
    ] = None,
    rebase: Annotated[
        bool,
        typer.Option(
            "--rebase",
            help="With --expect: carry the edit over to the current version "
            "if nobody has changed the same paths since.",
        ),
    ] = False,
    above: Annotated[
        int,
        typer.Option(
            metavar="VERSION",
            min=0,
            help="Number the new version above this one; for a service that "
            "has lost its content.",
        ),
    ] = 0,
    author: Annotated[
        str, typer.Option(metavar="NAME", help="Who applies it.")
    ] = "",
) -> None:
    """Checks the files and makes them the accepted configuration.

    Exit code 0: accepted.  1: the files are invalid.  3: another change is
    in the way; what changed is shown.  4: the platform's service gave no
    answer; whether the change may have been accepted is said.  With 1 and 3
    nothing has changed.
    """
    if rebase and expect is None:
        raise typer.BadParameter("--rebase needs --expect VERSION")
    checked = files.checked(base, overlay)
    request = store.Request(
        document=checked.document,
        author=author or getpass.getuser(),
        identity=uuid.uuid4().hex,
        expect=expect,
        rebase=rebase,
        above=above,
    )
    _report(_apply(request, platform, timeout))


def _apply(request: store.Request, platform: str, timeout_s: float) -> Any:
    def work(reactor: Any) -> Any:
        applier = store.Applier(
            http.HttpKeyValue(reactor, platform, timeout_s),
            lambda seconds: task.deferLater(reactor, seconds, lambda: None),
            check.check_document,
        )
        return applier.apply(request)

    try:
        return command.run(work)
    except command.InterruptedRunError:
        return store.Unsettled("interrupted", True)


def _report(outcome: store.Outcome) -> None:
    match outcome:
        case store.Applied(number, current, change):
            _report_applied(number, current, change)
        case conflicts.Conflict():
            command.fail(exits.Exit.CONFLICT, render.conflict(outcome))
        case store.Unsettled(reason, may_have_landed):
            what = "nothing was written"
            if may_have_landed:
                what = "the change may have been accepted; run config show"
            command.fail(exits.Exit.UNAVAILABLE, f"{reason}: {what}")
        case store.MalformedValue(reason):
            command.fail(
                exits.Exit.REFUSED,
                f"the stored value is no configuration: {reason}",
            )
        case version.TooLarge(size):
            command.fail(
                exits.Exit.REFUSED,
                f"the configuration takes {size} bytes compressed, more than "
                f"{version.MAX_VALUE_BYTES}",
            )
        case problems.Invalid():
            command.fail(exits.Exit.REFUSED, f"after the rebase: {outcome}")


def _report_applied(
    number: int, current: version.Accepted, change: delta.Edits
) -> None:
    if not change.paths:
        typer.echo(
            f"no difference; accepted is {render.version_heading(current)}"
        )
        return
    typer.echo(f"accepted as version {number}; changed: {len(change.paths)}")
    if current.version > number:
        typer.echo(f"since then accepted: {render.version_heading(current)}")


COMMAND = command.Command("apply", run)
