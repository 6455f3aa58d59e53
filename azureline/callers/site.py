"""The callers' HTTP interface: chat completions, services and health."""

from typing import Any
from typing import NamedTuple
from typing import Protocol
import uuid

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.web import resource
from twisted.web import server

from azureline import requests
from azureline.callers import answer
from azureline.callers import credentials
from azureline.callers import memory_request
from azureline.callers import parse
from azureline.core import errors
from azureline.util import http_service
from azureline.util import memory_budget
from azureline.util import turns

_SERVICES = b"/v1/services/"


class ServiceRequest(NamedTuple):
    """A call to a service as the caller sent it.

    Attributes:
      call: the typed call.
      method: HTTP method.
      content_type: media type of the body, or "".
      body: the body.
    """

    call: requests.ServiceCall
    method: str
    content_type: str
    body: bytes


class ServiceAnswer(NamedTuple):
    """The complete answer to a service call.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body, or "".
      body: the body.
      replayed: whether this is the stored answer of an earlier execution.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False


class Frontend(Protocol):
    """Functions of the node that the callers' interface uses."""

    def refusal(self) -> errors.Refusal | None:
        """Returns why new requests are refused, or None."""

    def ready(self) -> errors.Refusal | None:
        """Returns why the load balancer must send no requests, or None."""

    def credentials(self) -> credentials.Credentials:
        """Returns the API keys of the configuration in force."""

    def target(self, name: str) -> parse.Target | errors.Refusal:
        """Resolves a model name of a request to a model and an adapter."""

    def deadline(self, seconds: float) -> float:
        """Returns the monotonic time `seconds` from now."""

    def default_deadline_s(self) -> float:
        """Returns the deadline in seconds of requests that set none."""

    def generate(
        self,
        call: requests.ModelCall,
        messages: list[dict[str, str]],
        answer: Any,
    ) -> None:
        """Starts a generation whose events are written to `answer`."""

    def is_idempotent(
        self, service: str, method: str, path: str
    ) -> bool | errors.Refusal:
        """Returns whether a call is idempotent, or why it is refused."""

    async def call_service(
        self, request: ServiceRequest
    ) -> ServiceAnswer | errors.Refusal:
        """Executes a call to a service."""

    def issue_key(self) -> str:
        """Returns a new idempotency key."""

    def count_refusal(self, refusal: errors.Refusal) -> None:
        """Counts a refusal that the interface has sent."""

    def on_caller_disconnected(self, request_id: str) -> None:
        """Handles the disconnection of a service's caller."""

    def status(self) -> Any:
        """Returns the operators' status document."""


class _Site(server.Site):
    """The site, whose connections parse much input in several turns."""

    def __init__(self, root: "Root"):
        super().__init__(root, requestFactory=memory_request.MemoryRequest)
        self.channels: set[http_service.Channel] = set()
        self.turns = turns.Turns(default_reactor)
        self.protocol = http_service.Channel


class Root(resource.Resource):
    """Routes every path of the interface."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        frontend: Frontend,
        answer_budget: memory_budget.MemoryBudget | None = None,
    ):
        """Creates the resource.

        Args:
          frontend: functions of the node.
          answer_budget: memory for answers that are sent as one document;
            None if it is not counted.
        """
        super().__init__()
        self._frontend = frontend
        self._answer_budget = answer_budget

    def render(self, request):
        """Handles a request; see `twisted.web.resource.Resource`."""
        route = (request.method, request.path)
        match route:
            case (b"GET", b"/healthz"):
                answer.write_json(request, 200, {"status": "ok"})
            case (b"GET", b"/readyz"):
                self._ready(request)
            case (b"GET", b"/operators/status"):
                answer.write_json(request, 200, self._frontend.status())
            case (b"POST", b"/v1/chat/completions"):
                self._chat(request)
            case (b"POST", b"/v1/idempotency-keys"):
                self._issue_key(request)
            case (_, path) if path.startswith(_SERVICES):
                self._service(request)
            case _:
                self._refuse(
                    request,
                    errors.Refusal(
                        errors.ErrorKind.NOT_FOUND, "No such path or method."
                    ),
                    "",
                )
        return server.NOT_DONE_YET

    def _ready(self, request: Any) -> None:
        refusal = self._frontend.ready()
        if refusal is not None:
            answer.write_refusal(request, refusal, "")
            return
        answer.write_json(request, 200, {"status": "ready"})

    def _refuse(
        self, request: Any, refusal: errors.Refusal, request_id: str
    ) -> None:
        self._frontend.count_refusal(refusal)
        answer.write_refusal(request, refusal, request_id)

    def _issue_key(self, request: Any) -> None:
        identity = self._identify(request)
        if isinstance(identity, errors.Refusal):
            self._refuse(request, identity, "")
            return
        answer.write_json(request, 201, {"key": self._frontend.issue_key()})

    def _identify(self, request: Any) -> credentials.Identity | errors.Refusal:
        refusal = self._frontend.refusal()
        if refusal is not None:
            return refusal
        known = self._frontend.credentials()
        return known.identify(_header(request, "Authorization"))

    def _chat(self, request: Any) -> None:
        request_id = _new_id()
        call, parsed = self._chat_call(request, request_id)
        if isinstance(call, errors.Refusal):
            self._refuse(request, call, request_id)
            return
        sink: Any
        if parsed.stream:
            sink = answer.StreamAnswer(request, request_id)
        else:
            budget = self._answer_budget
            sink = answer.DocumentAnswer(
                request,
                request_id,
                parsed.model,
                budget and budget.reserve(),
            )
        self._frontend.generate(call, parsed.messages, sink)

    def _chat_call(
        self, request: Any, request_id: str
    ) -> tuple[requests.ModelCall | errors.Refusal, Any]:
        identity = self._identify(request)
        if isinstance(identity, errors.Refusal):
            return identity, None
        parsed = parse.parse_chat(request.content.read())
        if isinstance(parsed, errors.Refusal):
            return parsed, None
        target = self._frontend.target(parsed.model)
        if isinstance(target, errors.Refusal):
            return target, None
        priority_and_deadline = self._priority_and_deadline(request, identity)
        if isinstance(priority_and_deadline, errors.Refusal):
            return priority_and_deadline, None
        call = parse.model_call(
            parsed, target, request_id, identity.name, *priority_and_deadline
        )
        return call, parsed

    def _priority_and_deadline(
        self, request: Any, identity: credentials.Identity
    ) -> tuple[requests.Priority, float] | errors.Refusal:
        """Returns the priority and the monotonic deadline of a request."""
        priority = parse.parse_priority(
            _header(request, "X-Priority"), identity.highest_priority
        )
        if isinstance(priority, errors.Refusal):
            return priority
        seconds = parse.parse_deadline_s(
            _header(request, "X-Deadline-S"),
            self._frontend.default_deadline_s(),
        )
        if isinstance(seconds, errors.Refusal):
            return seconds
        return priority, self._frontend.deadline(seconds)

    def _service(self, request: Any) -> None:
        request_id = _new_id()
        call = self._service_request(request, request_id)
        if isinstance(call, errors.Refusal):
            self._refuse(request, call, request_id)
            return
        pending = defer.ensureDeferred(self._frontend.call_service(call))
        disconnected: list[bool] = []

        def on_disconnect(_: Any) -> None:
            disconnected.append(True)
            self._frontend.on_caller_disconnected(request_id)

        def reply(result: Any) -> None:
            if isinstance(result, errors.Refusal):
                self._frontend.count_refusal(result)
            if not disconnected:
                _reply(request, result, request_id)

        request.notifyFinish().addErrback(on_disconnect)

        def on_error(failure: Any) -> None:
            reply(errors.Refusal(errors.ErrorKind.INTERNAL, ""))
            failure.raiseException()

        pending.addCallbacks(reply, on_error)

    def _service_request(
        self, request: Any, request_id: str
    ) -> ServiceRequest | errors.Refusal:
        identity = self._identify(request)
        if isinstance(identity, errors.Refusal):
            return identity
        target = request.uri.removeprefix(_SERVICES).decode("ascii", "replace")
        service, _, rest = target.partition("/")
        path = "/" + rest
        method = request.method.decode("ascii", "replace")
        idempotent = self._frontend.is_idempotent(service, method, path)
        if isinstance(idempotent, errors.Refusal):
            return idempotent
        priority_and_deadline = self._priority_and_deadline(request, identity)
        if isinstance(priority_and_deadline, errors.Refusal):
            return priority_and_deadline
        key = _header(request, "Idempotency-Key")
        if not idempotent and not key:
            return errors.Refusal(
                errors.ErrorKind.KEY_REQUIRED,
                "Send an Idempotency-Key that is a UUIDv7.",
            )
        body = request.content.read()
        name = f"{service}\0{method}\0{path}\0".encode()
        call = requests.ServiceCall(
            request_id=request_id,
            caller=identity.name,
            service=service,
            path=path,
            idempotent=idempotent,
            key="" if idempotent else key,
            priority=priority_and_deadline[0],
            deadline=priority_and_deadline[1],
            content=parse.content_digest(name + body),
        )
        return ServiceRequest(
            call, method, _header(request, "Content-Type"), body
        )


def make_site(
    frontend: Frontend,
    max_body_bytes: int = memory_request.DEFAULT_MAX_BODY_BYTES,
    body_budget: memory_budget.MemoryBudget | None = None,
    answer_budget: memory_budget.MemoryBudget | None = None,
) -> server.Site:
    """Returns the HTTP site that serves callers and operators.

    Args:
      frontend: functions of the node.
      max_body_bytes: maximum size of a request body in bytes.
      body_budget: memory for the bodies of all requests; None if it is not
        counted.
      answer_budget: the same for answers that are sent as one document.
    """
    site = _Site(Root(frontend, answer_budget))
    site.body_budget = body_budget
    site.max_body_bytes = max_body_bytes
    site.refused = frontend.count_refusal
    site.displayTracebacks = False
    return site


def _reply(request: Any, result: Any, request_id: str) -> None:
    if isinstance(result, errors.Refusal):
        answer.write_refusal(request, result, request_id)
        return
    request.setResponseCode(result.status)
    if result.content_type:
        request.setHeader("Content-Type", result.content_type)
    request.setHeader("X-Request-Id", request_id)
    if result.replayed:
        request.setHeader("Idempotency-Replayed", "true")
    request.write(result.body)
    request.finish()


def _header(request: Any, name: str) -> str:
    values = request.requestHeaders.getRawHeaders(name)
    return values[0] if values else ""


def _new_id() -> str:
    return uuid.uuid4().hex
