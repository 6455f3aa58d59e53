"""Code shared by all commands: type, options, messages and reactor."""

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
      run: function that runs it; its docstring is the command's help.
    """

    name: str
    run: Callable[..., None]


class InterruptedRunError(typer.Abort):
    """Raised if the user interrupted the command before it finished."""


def run(work: Callable[[Any], Awaitable[T]]) -> T:
    """Runs a coroutine on Twisted's reactor until it ends.

    Args:
      work: function that is called with the reactor.

    Returns:
      The result of the coroutine.

    Raises:
      InterruptedRunError: if the reactor was stopped first.
    """
    from twisted.internet import reactor  # The import installs the reactor.

    results: list[Any] = []

    def stop(_: Any) -> None:
        with contextlib.suppress(error.ReactorNotRunning):  # By an interrupt.
            reactor.stop()

    def begin() -> None:
        working = defer.ensureDeferred(work(reactor))
        working.addBoth(results.append)
        working.addBoth(stop)

    reactor.callWhenRunning(begin)
    reactor.run()
    if not results:
        raise InterruptedRunError
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def fail(code: exits.Exit, message: object) -> NoReturn:
    """Prints a message to standard error and ends the command."""
    typer.echo(str(message), err=True)
    raise typer.Exit(int(code))
