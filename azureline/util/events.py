"""Rate-limited structured log lines on standard output that never block.

Each line is one JSON object with the time, the event and its fields.  Lines
beyond the rate limit or beyond the buffer for a slow reader are dropped and
counted; the next line that is written has their number in `dropped`.
"""

import collections
from collections.abc import Callable
import logging
import os
import time
from typing import Any

from pythonjsonlogger import json as json_format

# Buffer for a slow reader of standard output.
_BUFFER_BYTES = 256 * 1024
_BURST_S = 3.0


class _Output(logging.Handler):
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int, lines_per_s: int):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._rate = float(lines_per_s)
        self._tokens = self._rate * _BURST_S
        self._refilled_at = time.monotonic()
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        if not self._take_token(record.levelno):
            self.dropped += 1
            return
        if self.dropped:
            record.dropped = self.dropped
            self.dropped = 0
        self._write((self.format(record) + "\n").encode())

    def _take_token(self, level: int) -> bool:
        now = time.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate * _BURST_S, refilled)
        self._refilled_at = now
        # Warnings and errors may use the tokens that are reserved from
        # ordinary events.
        min_tokens = 1.0 if level >= logging.WARNING else self._rate * 0.5
        if self._tokens < min_tokens:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > _BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        while self._buffer:
            head = self._buffer[0]
            try:
                written = os.write(self._descriptor, head)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(head):
                self._buffer[0] = head[written:]
                return
            self._buffer.popleft()


class Log:
    """Writes the log events of one process."""

    def __init__(self, logger: logging.Logger, output: _Output | None):
        self._logger = logger
        self._output = output

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last one was written."""
        return self._output.dropped if self._output else 0

    def info(self, event: str, **fields: Any) -> None:
        """Writes an event of normal operation."""
        self._logger.info(event, extra=fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Writes an event that may need an operator's attention."""
        self._logger.warning(event, extra=fields)

    def error(self, event: str, **fields: Any) -> None:
        """Writes a failure of this process."""
        self._logger.error(event, extra=fields)


def setup(lines_per_s: int, node: str, descriptor: int = 1) -> Log:
    """Returns a log that writes to a descriptor.

    Args:
      lines_per_s: maximum rate of lines per second.
      node: name of the VM, added to each line.
      descriptor: file descriptor to write to; standard output by default.
    """
    output = _Output(descriptor, lines_per_s)
    output.setFormatter(
        json_format.JsonFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={
                "created": "time",
                "levelname": "level",
                "message": "event",
            },
            static_fields={"node": node},
        )
    )
    logger = logging.getLogger("azureline.events")
    logger.handlers[:] = [output]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return Log(logger, output)


def null_log() -> Log:
    """Returns a log that writes nothing, for tests."""
    logger = logging.Logger("silent")
    logger.addHandler(logging.NullHandler())
    return Log(logger, None)


def collecting(callback: Callable[[str, dict[str, Any]], None]) -> Log:
    """Returns a log that passes events to a function, for tests.

    Args:
      callback: called with the name and fields of each event.
    """
    logger = logging.Logger("collecting")

    class _Collector(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            callback(record.getMessage(), dict(record.__dict__))

    logger.addHandler(_Collector())
    return Log(logger, None)
