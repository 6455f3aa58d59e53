"""Answers to one caller, as one document or as a stream of events."""

import json
from typing import Any
from typing import Protocol

from twisted.internet import interfaces
from zope import interface as zope_interface

from azureline.callers import problem
from azureline.core import errors
from azureline.util import bodies
from azureline.util import memory_budget

EVENT_STREAM = "text/event-stream"
_DATA = b"data: "
_DONE = b"data: [DONE]"


class ConnectionObserver(Protocol):
    """Receives events of the caller's connection."""

    def on_caller_disconnected(self) -> None:
        """Handles the closing of the connection by the caller."""


@zope_interface.implementer(interfaces.IPushProducer)
class StreamAnswer:
    """Forwards events to the caller as they arrive."""

    def __init__(self, request: Any, request_id: str):
        """Creates the answer; nothing is written yet.

        Args:
          request: the `twisted.web` request.
          request_id: identity of the request.
        """
        self._request = request
        self._request_id = request_id
        self._observer: ConnectionObserver | None = None
        self._started = False
        self._ended = False
        self._paused = False
        self._unsent = 0
        request.notifyFinish().addErrback(lambda _: self._on_disconnect())

    def set_observer(self, observer: ConnectionObserver) -> None:
        """Sets the receiver of the connection's events."""
        self._observer = observer

    @property
    def unsent_bytes(self) -> int:
        """Bytes written since the transport last paused this producer."""
        return self._unsent

    def write(self, data: bytes) -> None:
        """Forwards complete events."""
        if self._ended:
            return
        if not self._started:
            self._start()
        self._request.write(data)
        if self._paused:
            self._unsent += len(data)

    def finish(self) -> None:
        """Ends an answer that is complete."""
        if self._ended:
            return
        self._end()

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal, as the last event if the stream has started."""
        if self._ended:
            return
        if self._started:
            self._request.write(problem.stream_event(refusal, self._request_id))
            self._end()
            return
        self._ended = True
        write_refusal(self._request, refusal, self._request_id)

    def pauseProducing(self):  # noqa: N802
        """Records that the transport's buffer is full (a slow caller)."""
        self._paused = True

    def resumeProducing(self):  # noqa: N802
        """Records that the transport has sent its buffer."""
        self._paused = False
        self._unsent = 0

    def stopProducing(self):  # noqa: N802
        """Does nothing; `notifyFinish` reports the end of the request."""

    def _start(self) -> None:
        self._started = True
        self._request.setHeader("Content-Type", EVENT_STREAM)
        self._request.setHeader("Cache-Control", "no-store")
        self._request.setHeader("X-Request-Id", self._request_id)
        self._request.registerProducer(self, True)

    def _end(self) -> None:
        self._ended = True
        self._request.unregisterProducer()
        self._request.finish()

    def _on_disconnect(self) -> None:
        self._ended = True
        if self._observer is not None:
            self._observer.on_caller_disconnected()


class DocumentAnswer:
    """Collects the events and sends one JSON document at the end."""

    unsent_bytes = 0

    def __init__(
        self,
        request: Any,
        request_id: str,
        model: str,
        memory: memory_budget.Reservation | None = None,
    ):
        """Creates the answer.

        Args:
          request: the `twisted.web` request.
          request_id: identity of the request.
          model: name of the model as sent by the caller.
          memory: memory for the events; None if it is not counted.
        """
        self._request = request
        self._request_id = request_id
        self._model = model
        self._events = bodies.Body(memory)
        self._ended = False
        self._observer: ConnectionObserver | None = None
        request.notifyFinish().addErrback(lambda _: self._on_disconnect())

    def set_observer(self, observer: ConnectionObserver) -> None:
        """Sets the receiver of the connection's events."""
        self._observer = observer

    def write(self, data: bytes) -> None:
        """Stores complete events until the end of the answer.

        Refuses an answer that exceeds a limit, and stops the generation.
        """
        if self._ended:
            return
        excess = self._events.add(data)
        if excess:
            self.refuse(errors.Refusal(errors.ErrorKind.BACKEND_FAILED, excess))
            if self._observer is not None:
                self._observer.on_caller_disconnected()

    def finish(self) -> None:
        """Sends the complete answer."""
        if self._ended:
            return
        self._ended = True
        text = _content(self._events.content())
        self._events.release()
        document = {
            "id": self._request_id,
            "object": "chat.completion",
            "model": self._model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
        }
        write_json(self._request, 200, document)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal instead of the collected events."""
        if self._ended:
            return
        self._ended = True
        self._events.release()
        write_refusal(self._request, refusal, self._request_id)

    def _on_disconnect(self) -> None:
        self._ended = True
        self._events.release()
        if self._observer is not None:
            self._observer.on_caller_disconnected()


def write_refusal(
    request: Any, refusal: errors.Refusal, request_id: str
) -> None:
    """Sends a problem document (RFC 9457) and ends the request."""
    request.setResponseCode(refusal.answer.status)
    request.setHeader("Content-Type", problem.CONTENT_TYPE)
    request.setHeader("X-Request-Id", request_id)
    retry_after = problem.retry_after_header(refusal)
    if retry_after:
        request.setHeader("Retry-After", retry_after)
    _send(request, problem.body(refusal, request_id))


def write_json(request: Any, status: int, document: Any) -> None:
    """Sends a JSON document and ends the request."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    _send(request, json.dumps(document).encode())


def _send(request: Any, body: bytes) -> None:
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()


def _content(events: bytes) -> str:
    parts = []
    for line in events.split(b"\n"):
        if not line.startswith(_DATA) or line == _DONE:
            continue
        chunk = json.loads(line.removeprefix(_DATA))
        parts.append(chunk["choices"][0]["delta"].get("content", ""))
    return "".join(parts)
