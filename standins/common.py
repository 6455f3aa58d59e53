"""Code shared by the stand-ins: routing, faults, registration, start-up."""

from collections.abc import Callable
import io
import json
import re
import socket
from typing import Any
from typing import NamedTuple
import urllib.parse
import weakref

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import resource
from twisted.web import server

REGISTER_EVERY_S = 2.0
# Connections that fill the queue of a socket that accepts none; further ones
# get no answer.
_QUEUE_FILLERS = 2


class Reply(NamedTuple):
    """A response to one HTTP request.

    Attributes:
      status: HTTP status code.
      body: the raw body.
      headers: pairs of name and value.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class _Route(NamedTuple):
    method: bytes
    pattern: re.Pattern[str]
    handler: Callable[..., Any]


def json_reply(
    value: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> Reply:
    """Returns a reply whose body is `value` as JSON."""
    kind = ("Content-Type", "application/json")
    return Reply(status, json.dumps(value).encode(), (kind, *headers))


def read_json(request: server.Request) -> dict[str, Any]:
    """Returns the object in a request's body; raises ValueError if none."""
    value = json.loads(request.content.read() or b"{}")
    if not isinstance(value, dict):
        raise ValueError(
            f"request body decodes to {type(value).__name__}, not an object"
        )
    return value


def is_open(request: server.Request) -> bool:
    """Returns whether the request's connection is still open for a reply."""
    return getattr(request, "channel", None) is not None


def close_without_answer(request: server.Request) -> None:
    """Aborts the request's connection, as the crash of a process would."""
    if is_open(request):
        request.transport.abortConnection()


class App(resource.Resource):
    """Dispatches requests to handlers; the base class of all stand-ins.

    A handler takes the request and the groups of its pattern.  It returns a
    `Reply`, a deferred of one, or None to answer (or not) by itself.
    """

    isLeaf = True  # noqa: N815 - a name of twisted.web

    def __init__(self, reactor: Any = default_reactor):
        super().__init__()
        self.reactor = reactor
        self._routes: list[_Route] = []
        self._transports: weakref.WeakSet[Any] = weakref.WeakSet()
        self._answer_delay_s = 0.0
        self._listener: Any = None
        # Sockets that keep the address of a silent server occupied.
        self._silent: list[socket.socket] = []
        self.route("POST", "/faults", self._set_faults)

    def route(
        self, method: str, pattern: str, handler: Callable[..., Any]
    ) -> None:
        """Adds a handler for the paths that match a regular expression."""
        route = _Route(method.encode(), re.compile(pattern), handler)
        self._routes.append(route)

    def render(self, request: server.Request) -> Any:
        """Calls the handler that matches the request and sends its reply."""
        self._transports.add(request.transport)
        path = urllib.parse.unquote(request.path.decode("ascii", "replace"))
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match and route.method == request.method:
                result = defer.maybeDeferred(
                    route.handler, request, *match.groups()
                )
                result.addErrback(self._error_reply)
                result.addCallback(self._deliver, request)
                return server.NOT_DONE_YET
        request.setResponseCode(404)
        return b"no such path\n"

    def listen(self, host: str, port: int) -> int:
        """Starts to accept connections; returns the port."""
        self._listener = self.reactor.listenTCP(port, self.site(), 512, host)
        return self._listener.getHost().port

    def close_connections(self) -> None:
        """Stops listening and aborts all open connections."""
        self._listener.stopListening()
        for transport in list(self._transports):
            transport.abortConnection()

    def fall_silent(self) -> None:
        """Sends and refuses nothing any more, like a host without power."""
        self._freeze()
        address = self._listener.getHost()
        stopped = defer.maybeDeferred(self._listener.stopListening)
        stopped.addCallback(
            lambda _: self._occupy((address.host, address.port))
        )

    def _occupy(self, address: tuple[str, int]) -> None:
        """Binds an address so that attempts to connect to it time out."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(address)
        holder.listen(0)
        self._silent.append(holder)
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._silent.append(filler)

    def end_silence(self) -> None:
        """Frees the address; connections from before the silence are reset."""
        for held in self._silent:
            held.close()
        self._silent.clear()
        for transport in list(self._transports):
            transport.abortConnection()

    def site(self) -> server.Site:
        """Returns the factory to listen with."""
        return _Site(self, timeout=None)

    def close(self) -> Any:
        """Stops timers and closes connections; may return a deferred."""

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure; subclasses add their own kinds."""
        match name:
            case "answer_ms":
                self._answer_delay_s = value / 1000
            case "freeze_s":
                self.reactor.callLater(0.01, self._freeze)
            case _:
                raise ValueError(f"unknown fault {name}")

    def _set_faults(self, request: server.Request) -> Reply:
        for name, value in read_json(request).items():
            self.inject_fault(name, value)
        return json_reply({})

    def _freeze(self) -> None:
        """Stops all traffic on open connections for good; new ones work."""
        for transport in list(self._transports):
            transport.pauseProducing()
            transport.write = lambda data: None
            transport.writeSequence = lambda data: None

    def _error_reply(self, failure: Any) -> Reply:
        if failure.check(ValueError, KeyError, TypeError):
            return json_reply({"error": failure.getErrorMessage()}, 400)
        return Reply(500, failure.getTraceback().encode())

    def _deliver(self, reply: Reply | None, request: server.Request) -> None:
        if reply is None:
            return
        if self._answer_delay_s:
            self.reactor.callLater(
                self._answer_delay_s, self._send, reply, request
            )
        else:
            self._send(reply, request)

    def _send(self, reply: Reply, request: server.Request) -> None:
        if not is_open(request):
            return
        request.setResponseCode(reply.status)
        for name, value in reply.headers:
            request.setHeader(name, value)
        request.setHeader("Content-Length", str(len(reply.body)))
        request.write(reply.body)
        request.finish()


class _Site(server.Site):
    """Serves without time limits, tracebacks or an access log."""

    displayTracebacks = False  # noqa: N815 - a name of twisted.web

    def log(self, request: server.Request) -> None:
        """Discards the entry for the access log."""


class JsonClient:
    """Posts JSON over one pool of connections."""

    def __init__(self, reactor: Any, url: str):
        self._pool = client.HTTPConnectionPool(reactor)
        self._agent = client.Agent(reactor, connectTimeout=2, pool=self._pool)
        self._url = url.rstrip("/")

    async def post(self, path: str, value: Any) -> dict[str, Any]:
        """Posts `value` and returns the JSON object of the answer."""
        response = await self._agent.request(
            b"POST",
            (self._url + path).encode(),
            http_headers.Headers({"Content-Type": ["application/json"]}),
            client.FileBodyProducer(io.BytesIO(json.dumps(value).encode())),
        )
        body = await client.readBody(response)
        if response.code != 200:
            raise ValueError(f"{path} answered {response.code}")
        return json.loads(body or b"{}")

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()


def start_registration(
    reactor: Any, json_client: JsonClient, vm: dict[str, Any]
) -> task.LoopingCall:
    """Registers a VM with the platform now and every two seconds."""

    def register() -> Any:
        done = defer.ensureDeferred(json_client.post("/vms", vm))
        return done.addErrback(lambda failure: None)

    loop = task.LoopingCall(register)
    loop.clock = reactor
    loop.start(REGISTER_EVERY_S)
    return loop


def serve(
    app: App, host: str, port: int, platform: str = "", vm: Any = None
) -> None:
    """Listens, registers with the platform and runs until SIGTERM.

    Args:
      app: the stand-in to serve.
      host: an address in 127.0.0.0/8.
      port: the port; 0 takes any free one.
      platform: URL of the platform stand-in, or "" to stay unregistered.
      vm: name, role and domain for the platform's list of VMs.

    Raises:
      ValueError: if `host` is not a loopback address.
    """
    if not host.startswith("127."):
        raise ValueError(f"{host} is not in 127.0.0.0/8")
    reactor = app.reactor
    bound = app.listen(host, port)
    if platform:
        vm = {**vm, "host": host, "port": bound, "leaving": False}
        start_registration(reactor, JsonClient(reactor, platform), vm)
    print(f"ready port={bound}", flush=True)
    reactor.run()
