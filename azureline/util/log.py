"""Sets up logging: one line per event, with fields as key=value."""

import logging as standard_logging
import time

from absl import logging
from twisted.python import log as twisted_log


class _OneLine(standard_logging.Formatter):
    """Formats a record as time, severity and message on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line for a record."""
        whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        message = record.getMessage()
        if record.exc_info:
            message += f" trace={self.formatException(record.exc_info)!r}"
        message = message.replace("\n", "\\n")
        return f"{whole}.{record.msecs:03.0f}Z {record.levelname} {message}"


def setup(level: str) -> None:
    """Sends logs of this program and of Twisted to standard error.

    Args:
      level: the lowest severity that is written: "debug", "info", "warning"
        or "error".
    """
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_OneLine())
    logging.set_verbosity(logging.converter.string_to_standard(level))
    observer = twisted_log.PythonLoggingObserver()

    def errors_only(event: dict) -> None:
        # Twisted also reports each connection that it opens.
        if event.get("isError"):
            observer.emit(event)

    twisted_log.addObserver(errors_only)
