"""What all commands share: their form, options, messages and the reactor."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import NoReturn
from typing import TypeVar

from twisted.internet import defer
from twisted.internet import error
import typer

from azureline.ui import exits

T = TypeVar("T")

Base = Annotated[
    str, typer.Argument(metavar="BASE", help="File shared by all sites.")
]
Overlay = Annotated[
    str, typer.Argument(metavar="OVERLAY", help="The site's differences.")
]
Platform = Annotated[
    str,
    typer.Option(
        envvar="AZURELINE_PLATFORM",
        metavar="URL",
        help="Root of the platform's HTTP interface.",
    ),
]
OptionalPlatform = Annotated[
    str,
    typer.Option(
        envvar="AZURELINE_PLATFORM",
        metavar="URL",
        help="Also compare with what the platform's service holds.",
    ),
]
NodeUrl = Annotated[
    str,
    typer.Option(
        "--node",
        envvar="AZURELINE_NODE",
        metavar="HOST:PORT",
        help="HTTP address of any node.",
    ),
]
Timeout = Annotated[
    float,
    typer.Option(metavar="SECONDS", help="Time that one call may take."),
]


class Command(NamedTuple):
    """A command of the program.

    Attributes:
      name: its name on the command line.
      run: what it does; its docstring is the command's help.
    """

    name: str
    run: Callable[..., None]


class InterruptedRunError(typer.Abort):
    """Raised if the user ended the command before its work was done."""


def run(work: Callable[[Any], Awaitable[T]]) -> T:
    """Runs a coroutine on Twisted's reactor until it ends.

    Args:
      work: is called with the reactor.

    Returns:
      What the coroutine returns.

    Raises:
      InterruptedRunError: if the reactor was stopped first.
    """
    from twisted.internet import reactor  # Installs it, so not on import.

    ended: list[Any] = []

    def stop(_: Any) -> None:
        with contextlib.suppress(error.ReactorNotRunning):  # Interrupted.
            reactor.stop()

    def begin() -> None:
        working = defer.ensureDeferred(work(reactor))
        working.addBoth(ended.append)
        working.addBoth(stop)

    reactor.callWhenRunning(begin)
    reactor.run()
    if not ended:
        raise InterruptedRunError
    if hasattr(ended[0], "raiseException"):
        ended[0].raiseException()
    return ended[0]


def fail(code: exits.Exit, message: object) -> NoReturn:
    """Prints a message to standard error and ends the command."""
    typer.echo(str(message), err=True)
    raise typer.Exit(int(code))
