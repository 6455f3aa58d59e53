"""The platform's interfaces over HTTP.

No method raises: a call that fails in any way, be it refused for its rate,
unanswered in time or answered with nonsense, returns `Unavailable`.
"""

import io
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers

from azureline.platform import interface

_IDLE_CONNECTION_S = 10.0
_IDLE_CONNECTIONS = 4
_MAX_BODY_BYTES = 4 << 20  # Values end at 1 MB; the VM list may be longer.


class _Answer(NamedTuple):
    """What the service answered.

    Attributes:
      status: HTTP status code.
      version: the header X-Version, or -1 if there is none.
      body: the whole body.
    """

    status: int
    version: int
    body: bytes


class _Session:
    """Connections to the platform, kept open between calls."""

    def __init__(self, reactor: Any, url: str, timeout_s: float):
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        # A repeated call would count against the service's rate again.
        self._pool.retryAutomatically = False
        # Shorter than the whole call's timeout, so that running out of time
        # before there is a connection is told apart from a missing answer.
        self._agent = client.Agent(
            reactor, connectTimeout=timeout_s / 2, pool=self._pool
        )

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()

    def call(
        self, *args: Any, **kwargs: Any
    ) -> defer.Deferred[_Answer | interface.Unavailable]:
        """Makes one call; the arguments are those of `_call`."""
        return defer.ensureDeferred(self._call(*args, **kwargs))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        extra_s: float = 0.0,
    ) -> _Answer | interface.Unavailable:
        """Makes one call.

        Args:
          method: HTTP method.
          path: path with its query, quoted.
          body: body of the request, if it has one.
          headers: headers of the request.
          extra_s: seconds that the service may take above the timeout.

        Returns:
          The answer, whatever its status.
        """
        raw = {name: [value] for name, value in (headers or {}).items()}
        answered = self._agent.request(
            method.encode(),
            (self._url + path).encode(),
            http_headers.Headers(raw),
            None if body is None else client.FileBodyProducer(io.BytesIO(body)),
        )
        answered.addCallback(_read)
        answered.addTimeout(self._timeout_s + extra_s, self._reactor)
        try:
            return await answered
        except (error.ConnectError, error.ConnectingCancelledError) as e:
            return interface.Unavailable(f"no connection: {e}", sent=False)
        except defer.TimeoutError:
            return interface.Unavailable("no answer in time")
        except Exception as e:  # Whatever it is, the caller must go on.
            return interface.Unavailable(f"{type(e).__name__}: {e}")


class HttpKeyValue:
    """The platform's key-value service; see `interface.KeyValue`."""

    def __init__(self, reactor: Any, url: str, timeout_s: float = 1.0):
        """Creates a client; connections are made when needed.

        Args:
          reactor: the reactor to run on.
          url: root of the platform's HTTP interface.
          timeout_s: seconds for a call, beyond what a watch may wait.
        """
        self._session = _Session(reactor, url, timeout_s)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._session.close()

    def get(
        self, key: str
    ) -> defer.Deferred[interface.Entry | None | interface.Unavailable]:
        """Reads a key; None if it is absent."""
        answered = self._session.call("GET", _path(key))
        return answered.addCallback(_got)

    def put(
        self, key: str, value: bytes, version: int, lease_id: str = ""
    ) -> defer.Deferred[
        interface.Entry | interface.Conflict | interface.Unavailable
    ]:
        """Writes a key if its version is `version`; 0 expects it absent."""
        headers = {"X-Expect-Version": str(version)}
        if lease_id:
            headers["X-Lease"] = lease_id
        answered = self._session.call("PUT", _path(key), value, headers)
        return answered.addCallback(_written, value)

    def grant(
        self, ttl_s: float
    ) -> defer.Deferred[str | interface.Unavailable]:
        """Creates a lease and returns its id."""
        body = json.dumps({"ttl_s": ttl_s}).encode()
        answered = self._session.call("POST", "/leases", body)
        return answered.addCallback(_granted)

    def renew(
        self, lease_id: str
    ) -> defer.Deferred[bool | interface.Unavailable]:
        """Renews a lease; False if it has lapsed."""
        path = f"/leases/{urllib.parse.quote(lease_id, safe='')}/renew"
        answered = self._session.call("POST", path, b"")
        return answered.addCallback(_renewed)

    def watch(
        self, key: str, version: int, wait_s: float
    ) -> defer.Deferred[interface.Entry | None | interface.Unavailable]:
        """Waits for a version other than `version`; None after `wait_s`.

        A key that has vanished is returned as an entry of version 0.
        """
        path = f"{_path(key)}?watch={version}&wait={wait_s}"
        answered = self._session.call("GET", path, extra_s=wait_s)
        return answered.addCallback(_changed)


class HttpVmList:
    """The platform's list of VMs; see `interface.VmList`."""

    def __init__(self, reactor: Any, url: str, timeout_s: float = 1.0):
        """Creates a client; connections are made when needed.

        Args:
          reactor: the reactor to run on.
          url: root of the platform's HTTP interface.
          timeout_s: seconds for a call.
        """
        self._session = _Session(reactor, url, timeout_s)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._session.close()

    def list(
        self,
    ) -> defer.Deferred[tuple[interface.Vm, ...] | interface.Unavailable]:
        """Reads the whole list."""
        return self._session.call("GET", "/vms").addCallback(_listed)


class _Body(protocol.Protocol):
    """Collects a body of bounded size; cancelling closes the connection."""

    def __init__(self):
        self.whole: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keeps a part of the body."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > _MAX_BODY_BYTES:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Gives the body if it has come to its end."""
        if self.whole.called:
            return
        if reason.check(client.ResponseDone):
            self.whole.callback(b"".join(self._parts))
        else:
            self.whole.errback(reason)

    def _cancel(self, _: Any) -> None:
        self.transport.loseConnection()


def _read(response: Any) -> defer.Deferred[_Answer]:
    version = int(response.headers.getRawHeaders("X-Version", ["-1"])[0])
    body = _Body()
    response.deliverBody(body)
    return body.whole.addCallback(
        lambda whole: _Answer(response.code, version, whole)
    )


def _path(key: str) -> str:
    return "/kv/" + urllib.parse.quote(key, safe="/")


def _got(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return _entry(answer)
        case _Answer(status=404):
            return None
    return _unavailable(answer)


def _written(answer: Any, value: bytes) -> Any:
    match answer:
        case _Answer(status=200, version=version) if version > 0:
            return interface.Entry(value, version)
        case _Answer(status=409, version=0):
            return interface.Conflict(None)
        case _Answer(status=409, version=version) if version > 0:
            return interface.Conflict(_entry(answer))
    return _unavailable(answer)


def _granted(answer: Any) -> Any:
    match answer:
        case _Answer(status=200, body=body):
            try:
                return str(json.loads(body)["lease_id"])
            except (ValueError, KeyError, TypeError):
                return _unavailable(answer)
    return _unavailable(answer)


def _renewed(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return True
        case _Answer(status=410):
            return False
    return _unavailable(answer)


def _changed(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return _entry(answer)
        case _Answer(status=404, version=0):
            return interface.Entry(b"", 0)
        case _Answer(status=204):
            return None
    return _unavailable(answer)


def _listed(answer: Any) -> Any:
    match answer:
        case _Answer(status=200, body=body):
            try:
                return tuple(interface.Vm(**vm) for vm in json.loads(body))
            except (ValueError, TypeError):
                return _unavailable(answer)
    return _unavailable(answer)


def _entry(answer: _Answer) -> interface.Entry | interface.Unavailable:
    if answer.version < 1:
        return _unavailable(answer)
    return interface.Entry(answer.body, answer.version)


def _unavailable(
    answer: _Answer | interface.Unavailable,
) -> interface.Unavailable:
    """Turns an answer that a method cannot use into its failure."""
    match answer:
        case interface.Unavailable():
            return answer
        case _Answer(status=429):
            return interface.Unavailable("over the service's rate")
    return interface.Unavailable(f"unusable answer, status {answer.status}")
