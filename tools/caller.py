"""A blocking client of azureline, for scripts."""

from collections.abc import Iterator
import contextlib
import http.client
import json
import secrets
import time
from typing import Any
from typing import NamedTuple
import urllib.parse
import uuid

_TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """A complete HTTP response.

    Attributes:
      status: HTTP status code; 0 if there was no response.
      headers: headers by name in lower case.
      body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def document(self) -> Any:
        """The body as JSON, or an empty object."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class StreamedText(NamedTuple):
    """The result of a streamed response.

    Attributes:
      status: HTTP status code; 0 if there was no response.
      text: the text of all chunks.
      complete: whether the end marker of the stream was received.
      problem: the problem document, or {}.
    """

    status: int
    text: str
    complete: bool
    problem: dict[str, Any]


class Caller:
    """Calls one node with an API key."""

    def __init__(self, url: str, key: str = "", timeout_s: float = _TIMEOUT_S):
        """Creates a caller; each call uses a connection of its own.

        Args:
          url: root of the node's HTTP interface.
          key: the API key, if one is needed.
          timeout_s: socket timeout in seconds.
        """
        self._timeout_s = timeout_s
        self._address = urllib.parse.urlsplit(url).netloc
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"

    def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Makes one call; the status is 0 if there is no response."""
        body = None if value is None else json.dumps(value)
        with contextlib.closing(self._connect()) as conn:
            try:
                conn.request(
                    method, path, body, {**self._headers, **(headers or {})}
                )
                response = conn.getresponse()
                found = {k.lower(): v for k, v in response.getheaders()}
                return Answer(response.status, found, response.read())
            except (OSError, http.client.HTTPException):
                return Answer(0, {}, b"")

    def chunks(
        self, model: str, messages: list[dict[str, str]], max_tokens: int
    ) -> Iterator[dict[str, Any]]:
        """Yields the chunks of a streamed response; see `events`."""
        body = {
            "model": model,
            "messages": messages,
            "max_tokens": max_tokens,
            "stream": True,
        }
        yield from self.events("POST", "/v1/chat/completions", body)

    def events(
        self, method: str, path: str, value: Any = None
    ) -> Iterator[dict[str, Any]]:
        """Yields the events of a stream, then {"done": True}.

        A refusal is yielded as {"problem": document, "status": code}.  If the
        connection fails, the iterator ends without {"done": True}.
        """
        body = None if value is None else json.dumps(value)
        with contextlib.closing(self._connect()) as conn:
            try:
                conn.request(method, path, body, self._headers)
                response = conn.getresponse()
                if response.status != 200:
                    problem = json.loads(response.read() or b"{}")
                    yield {"problem": problem, "status": response.status}
                    return
                yield from _events(response)
            except (OSError, http.client.HTTPException, ValueError):
                return

    def chat(
        self, model: str, messages: list[dict[str, str]], max_tokens: int
    ) -> StreamedText:
        """Reads a streamed response to its end."""
        text, complete, problem, status = [], False, {}, 0
        for chunk in self.chunks(model, messages, max_tokens):
            status = chunk.get("status", 200)
            problem = chunk.get("problem", problem)
            complete = chunk.get("done", False)
            text.append(content(chunk))
        return StreamedText(status, "".join(text), complete, problem)

    def _connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(
            self._address, timeout=self._timeout_s
        )


def content(chunk: dict[str, Any]) -> str:
    """Returns the text of one chunk, or "" if it has none."""
    choices = chunk.get("choices")
    return choices[0]["delta"].get("content", "") if choices else ""


def new_key() -> str:
    """Returns a new UUIDv7 for use as an Idempotency-Key."""
    value = time.time_ns() // 1_000_000 << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


def _events(response: Any) -> Iterator[dict[str, Any]]:
    for line in response:
        data = line.strip()
        if not data.startswith(b"data: "):
            continue
        if data == b"data: [DONE]":
            yield {"done": True}
            return
        event = json.loads(data.removeprefix(b"data: "))
        if "choices" in event:
            yield event
        else:
            yield {"problem": event, "status": 200}
