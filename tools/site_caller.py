"""A client of the users' platform, for tests and the soak test."""

import http.client
import itertools
import os
from typing import NamedTuple

_REQUEST_NUMBERS = itertools.count(1)


class Answer(NamedTuple):
    """The response that a caller received.

    Attributes:
      request_id: id of the request.
      status: HTTP status, or 0 after a connection error or a time-out.
      headers: names in lower case.
      body: the received bytes.
      complete: whether the body was received completely.
      reason: the error if the response is incomplete, or "".
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    reason: str = ""

    @property
    def not_run(self) -> bool:
        """Whether the status guarantees that the request did not run."""
        return self.status in (408, 421, 429, 503)

    @property
    def events(self) -> list[str]:
        """The ids of a stream's events."""
        lines = self.body.decode().splitlines()
        return [line[4:] for line in lines if line.startswith("id: ")]

    @property
    def whole_events(self) -> list[str]:
        """The ids of the events that were received to their end."""
        return [event.split()[1] for event in self._whole_events()]

    @property
    def versions(self) -> set[str]:
        """The software versions of the engines that wrote a stream's events."""
        return {event.split()[-1] for event in self._whole_events()}

    def _whole_events(self) -> list[str]:
        return self.body.decode(errors="replace").split("\n\n")[:-1]


class Caller:
    """Sends requests to one node, on new or persistent connections."""

    def __init__(self, url: str, host: str = "site.example", source: str = ""):
        """Creates a caller.

        Args:
          url: the node's URL.
          host: value of the Host header.
          source: IP address that it calls from, or "" for any.
        """
        self._address = url.removeprefix("http://")
        self._host = host
        self._source = (source, 0) if source else None
        self._persistent: http.client.HTTPConnection | None = None

    def send(
        self,
        path: str,
        model: str = "",
        tokens: int = 5,
        wait_limit_ms: int = 5000,
        method: str = "POST",
        keep: bool = False,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        leave_after_s: float | None = None,
    ) -> Answer:
        """Sends a request and reads the response to its end.

        A caller that leaves closes its connection after `leave_after_s` seconds
        without a byte.
        """
        request_id = f"{os.getpid():08x}{next(_REQUEST_NUMBERS):08x}"
        sent = {
            "Host": self._host,
            "Azureline-Request-Id": request_id,
            "Azureline-Request-Deadline": str(wait_limit_ms),
            **(headers or {}),
        }
        if model:
            sent["Azureline-Model"] = model
            sent["Azureline-Token-Usage"] = f"10,{tokens}"
        timeout_s = leave_after_s or wait_limit_ms / 1000 + 2
        connection = self._connection(keep, timeout_s)
        try:
            connection.request(method, path, body, sent)
            return self._read(connection, request_id)
        except (OSError, http.client.HTTPException) as e:
            self._persistent = None
            connection.close()
            return Answer(request_id, 0, {}, b"", False, repr(e))
        finally:
            if not keep:
                connection.close()

    def _read(
        self, connection: http.client.HTTPConnection, request_id: str
    ) -> Answer:
        response = connection.getresponse()
        headers = {n.lower(): v for n, v in response.getheaders()}
        try:
            body, complete, reason = response.read(), True, ""
        except http.client.IncompleteRead as e:
            body, complete, reason = e.partial, False, repr(e)
        if headers.get("connection", "").lower() == "close":
            self._persistent = None
        return Answer(
            request_id, response.status, headers, body, complete, reason
        )

    def _connection(
        self, keep: bool, timeout_s: float
    ) -> http.client.HTTPConnection:
        if keep and self._persistent is not None:
            return self._persistent
        connection = http.client.HTTPConnection(
            self._address, timeout=timeout_s, source_address=self._source
        )
        if keep:
            self._persistent = connection
        return connection
