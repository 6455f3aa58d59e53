"""Sets up logging: one line per event, with fields as key=value."""

import logging as standard_logging
import time

from absl import logging
from twisted.python import log as twisted_log


class _OneLine(standard_logging.Formatter):
    """Formats a record as time, severity and message on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line for a record."""
        timestamp = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        message = record.getMessage()
        if record.exc_info:
            message += f" trace={self.formatException(record.exc_info)!r}"
        message = message.replace("\n", "\\n")
        return f"{timestamp}.{record.msecs:03.0f}Z {record.levelname} {message}"


def setup(level: str) -> None:
    """Sends log records of this program and Twisted's errors to standard error.

    Args:
      level: lowest severity that is logged: "debug", "info", "warning"
        or "error".
    """
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_OneLine())
    logging.set_verbosity(logging.converter.string_to_standard(level))
    observer = twisted_log.PythonLoggingObserver()

    def errors_only(event: dict) -> None:
        # Twisted also logs each connection that it opens.
        if event.get("isError"):
            observer.emit(event)

    twisted_log.addObserver(errors_only)
