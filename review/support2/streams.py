"""A consumer that reads a stream and takes it up again."""

import http.client
import itertools
import os
import threading
import time

_NUMBERS = itertools.count(1)


class Stream:
    """One attempt of a consumer to read a stream, in a thread of its own.

    Attributes:
      request_id: id of the attempt.
      status: HTTP status, or 0 without an answer.
      events: ids of the events that were read to their end, in order.
      writers: the words that end the events' data, one for each event.
      complete: whether the answer ended as complete.
      reason: why it is incomplete, or "".
    """

    def __init__(
        self,
        url: str,
        path: str,
        tokens: int,
        budget_ms: int,
        headers: dict[str, str] | None = None,
        model: str = "m0",
    ):
        """Starts to send the request.

        Args:
          url: the node's URL.
          path: path of the request.
          tokens: number of events of the whole stream.
          budget_ms: the consumer's time budget in milliseconds.
          headers: further headers.
          model: the model that is asked for.
        """
        self.request_id = f"{os.getpid():08x}{next(_NUMBERS):08x}"
        self.status = 0
        self.events: list[int] = []
        self.writers: list[str] = []
        self.complete = False
        self.reason = ""
        self.began_at = time.monotonic()
        self._path = path
        self._model = model
        self._headers = {
            "Host": "site.example",
            "Azureline-Request-Id": self.request_id,
            "Azureline-Request-Deadline": str(budget_ms),
            "Azureline-Model": model,
            "Azureline-Token-Usage": f"10,{tokens}",
            **(headers or {}),
        }
        self._connection = http.client.HTTPConnection(
            url.removeprefix("http://"), timeout=budget_ms / 1000 + 2
        )
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Closes the connection, as a consumer that loses it."""
        if self._connection.sock is not None:
            self._connection.sock.shutdown(2)

    def join(self, timeout_s: float = 30.0) -> "Stream":
        """Waits until the answer has ended."""
        self._thread.join(timeout_s)
        return self

    def resumed(self, url: str, tokens: int, budget_ms: int) -> "Stream":
        """Takes the stream up again after its last whole event.

        Args:
          url: URL of the node that is asked.
          tokens: number of events of the whole stream.
          budget_ms: what is left of the time budget in milliseconds.
        """
        headers = {
            "Last-Event-Id": str(self.events[-1]),
            "Resumes": self.request_id,
        }
        return Stream(url, self._path, tokens, budget_ms, headers, self._model)

    def line(self) -> str:
        """Returns a line for the record."""
        span = f"{self.events[0]}-{self.events[-1]}" if self.events else "none"
        return (
            f"stream {self.request_id}: status {self.status}, events {span}, "
            f"versions {sorted(set(self.writers))}, complete {self.complete} "
            f"{self.reason}"
        )

    def _read(self) -> None:
        try:
            self._connection.request("POST", self._path, b"", self._headers)
            response = self._connection.getresponse()
            self.status = response.status
            self._read_events(response)
            self.complete = True
        except (OSError, http.client.HTTPException, ValueError) as e:
            self.reason = repr(e)
        finally:
            self._connection.close()

    def _read_events(self, response: http.client.HTTPResponse) -> None:
        buffer = b""
        while data := response.read1(65536):
            buffer += data
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                words = event.decode().split()
                if words[:1] == ["id:"]:
                    self.events.append(int(words[1]))
                    self.writers.append(words[-1])
        if response.status != 200:
            self.reason = buffer.decode(errors="replace")
