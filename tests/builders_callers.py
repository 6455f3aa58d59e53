"""A fake of the node behind the callers' interface that records its calls."""

import hashlib
from typing import Any

from azureline import requests
from azureline.callers import credentials
from azureline.callers import parse
from azureline.callers import site
from azureline.core import errors

KEY = "sekrit"
HEADERS = {"Authorization": f"Bearer {KEY}"}


class FakeFrontend:
    """Answers generations with two events and echoes calls to services.

    Attributes:
      calls: the generations that were started.
      service_requests: the service calls.
      stopped: refusal of all new requests, or None.
      answer: the answer object of the last generation.
      hold: whether generations stay open without an event.
      counted: kinds of the counted refusals.
      disconnected: request ids of the callers that disconnected.
    """

    def __init__(self):
        self.calls: list[requests.ModelCall] = []
        self.service_requests: list[site.ServiceRequest] = []
        self.stopped: errors.Refusal | None = None
        self.answer: Any = None
        self.hold = False
        self.counted: list[errors.ErrorKind] = []
        self.disconnected: list[str] = []

    def on_caller_disconnected(self, request_id):
        self.disconnected.append(request_id)

    def count_refusal(self, refusal):
        self.counted.append(refusal.kind)

    def refusal(self):
        return self.stopped

    def ready(self):
        return self.stopped

    def credentials(self):
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        identity = credentials.Identity("plant-a", requests.Priority.NORMAL)
        return credentials.Credentials({digest: identity})

    def target(self, name):
        if name == "no-such":
            return errors.Refusal(errors.ErrorKind.UNKNOWN_MODEL, "none")
        return parse.Target(name, "")

    def deadline(self, seconds):
        return 100.0 + seconds

    def default_deadline_s(self):
        return 60.0

    def generate(self, call, messages, answer):
        self.calls.append(call)
        self.answer = answer
        if self.hold:
            return
        answer.write(event(0, "Hello "))
        answer.write(event(1, "there"))
        answer.finish()

    def is_idempotent(self, service, method, path):
        if service == "none":
            return errors.Refusal(errors.ErrorKind.UNKNOWN_SERVICE, "none")
        return method == "GET"

    async def call_service(self, request):
        self.service_requests.append(request)
        return site.ServiceAnswer(200, "text/plain", request.body or b"ok")

    def issue_key(self):
        return "0190b7a2-0000-7000-8000-000000000000"

    def status(self):
        return {"nodes": []}


def event(offset: int, text: str) -> bytes:
    """Returns one event of a stream."""
    data = (
        f'{{"id":"r","choices":[{{"index":0,"delta":{{"content":"{text}"}}}}]}}'
    )
    return f"id: {offset}\ndata: {data}\n\n".encode()


class Observer:
    """Records that an answer's generation is to stop."""

    def __init__(self, gone: list[bool]):
        """Creates an observer that adds to a list."""
        self._gone = gone

    def on_caller_disconnected(self) -> None:
        """Records the call."""
        self._gone.append(True)
