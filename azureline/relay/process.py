"""Runs a relay node as a process: signals, start and exit."""

import signal
import sys
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor

from azureline.relay import node as node_lib
from azureline.relay import settings as settings_lib
from azureline.util import events


def run(settings: settings_lib.RelaySettings) -> None:
    """Runs a node until it receives SIGTERM or SIGINT.

    Args:
      settings: the node's settings.

    Raises:
      SystemExit: if the node could not start.
    """
    log = events.setup(settings.log.lines_per_s, settings.name)
    node = node_lib.Node(settings, log)
    start_errors: list[Any] = []

    def stop() -> None:
        stopping = defer.ensureDeferred(node.stop())
        stopping.addErrback(
            lambda f: log.error("stop_failed", reason=f.getTraceback())
        )
        stopping.addBoth(lambda _: default_reactor.stop())

    def begin() -> None:
        signal.signal(
            signal.SIGTERM, lambda *_: default_reactor.callFromThread(stop)
        )
        signal.signal(
            signal.SIGINT, lambda *_: default_reactor.callFromThread(stop)
        )
        signal.signal(
            signal.SIGHUP,
            lambda *_: default_reactor.callFromThread(node.reload),
        )
        try:
            node.start()
        except Exception as e:  # Any failure to start stops the process.
            log.error("start_failed", reason=repr(e))
            start_errors.append(e)
            default_reactor.stop()

    default_reactor.callWhenRunning(begin)
    default_reactor.run(installSignalHandlers=False)
    if start_errors:
        sys.exit(1)
