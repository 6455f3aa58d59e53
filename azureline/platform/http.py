"""HTTP clients of the platform's key-value service and VM list.

No method raises.  A call that fails in any way (rate limit, time-out, invalid
answer) returns `Unavailable`.
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
_MAX_BODY_BYTES = 4 << 20  # Values are at most 1 MB; VM lists can be larger.


class _Answer(NamedTuple):
    """An answer of the platform.

    Attributes:
      status: HTTP status code.
      version: value of the header X-Version, or -1 if it is missing.
      body: the whole body.
    """

    status: int
    version: int
    body: bytes


class _Session:
    """Persistent connections to the platform."""

    def __init__(self, reactor: Any, url: str, timeout_s: float):
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = _IDLE_CONNECTION_S
        # An automatic retry would count against the service's rate limit again.
        self._pool.retryAutomatically = False
        # Shorter than the time-out of the whole call, so that a connection that
        # is not established in time fails with its own error: such a call was
        # certainly not sent.
        self._agent = client.Agent(
            reactor, connectTimeout=timeout_s / 2, pool=self._pool
        )

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()

    def call(
        self, *args: Any, **kwargs: Any
    ) -> defer.Deferred[_Answer | interface.Unavailable]:
        """Makes one call; takes the arguments of `_call`."""
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
          extra_s: seconds that are added to the time-out.

        Returns:
          The answer, whatever its status.
        """
        raw = {name: [value] for name, value in (headers or {}).items()}
        pending = self._agent.request(
            method.encode(),
            (self._url + path).encode(),
            http_headers.Headers(raw),
            None if body is None else client.FileBodyProducer(io.BytesIO(body)),
        )
        pending.addCallback(_read_answer)
        pending.addTimeout(self._timeout_s + extra_s, self._reactor)
        try:
            return await pending
        except (error.ConnectError, error.ConnectingCancelledError) as e:
            return interface.Unavailable(f"no connection: {e}", sent=False)
        except defer.TimeoutError:
            waited_s = self._timeout_s + extra_s
            return interface.Unavailable(f"no answer within {waited_s} s")
        except Exception as e:  # No method of the clients raises.
            return interface.Unavailable(f"{type(e).__name__}: {e}")


class HttpKeyValue:
    """The platform's key-value service; see `interface.KeyValue`."""

    def __init__(self, reactor: Any, url: str, timeout_s: float = 1.0):
        """Creates a client; connections are made when needed.

        Args:
          reactor: the reactor to run on.
          url: root of the platform's HTTP interface.
          timeout_s: seconds until a call times out; a watch's wait is added.
        """
        self._session = _Session(reactor, url, timeout_s)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._session.close()

    def get(
        self, key: str
    ) -> defer.Deferred[interface.Entry | None | interface.Unavailable]:
        """Reads a key; None if it is absent."""
        pending = self._session.call("GET", _path(key))
        return pending.addCallback(_parse_get)

    def put(
        self, key: str, value: bytes, version: int, lease_id: str = ""
    ) -> defer.Deferred[
        interface.Entry | interface.Conflict | interface.Unavailable
    ]:
        """Writes a key if its version is `version`; 0 means absent."""
        headers = {"X-Expect-Version": str(version)}
        if lease_id:
            headers["X-Lease"] = lease_id
        pending = self._session.call("PUT", _path(key), value, headers)
        return pending.addCallback(_parse_put, value)

    def grant(
        self, ttl_s: float
    ) -> defer.Deferred[str | interface.Unavailable]:
        """Creates a lease and returns its id."""
        body = json.dumps({"ttl_s": ttl_s}).encode()
        pending = self._session.call("POST", "/leases", body)
        return pending.addCallback(_parse_grant)

    def renew(
        self, lease_id: str
    ) -> defer.Deferred[bool | interface.Unavailable]:
        """Renews a lease; False if it has expired."""
        path = f"/leases/{urllib.parse.quote(lease_id, safe='')}/renew"
        pending = self._session.call("POST", path, b"")
        return pending.addCallback(_parse_renew)

    def watch(
        self, key: str, version: int, wait_s: float
    ) -> defer.Deferred[interface.Entry | None | interface.Unavailable]:
        """Waits for a version other than `version`; None after `wait_s`.

        An absent key is returned as an entry of version 0.
        """
        path = f"{_path(key)}?watch={version}&wait={wait_s}"
        pending = self._session.call("GET", path, extra_s=wait_s)
        return pending.addCallback(_parse_watch)


class HttpVmList:
    """The platform's list of VMs; see `interface.VmList`."""

    def __init__(self, reactor: Any, url: str, timeout_s: float = 1.0):
        """Creates a client; connections are made when needed.

        Args:
          reactor: the reactor to run on.
          url: root of the platform's HTTP interface.
          timeout_s: seconds until a call times out.
        """
        self._session = _Session(reactor, url, timeout_s)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._session.close()

    def list(
        self,
    ) -> defer.Deferred[tuple[interface.Vm, ...] | interface.Unavailable]:
        """Reads the whole list."""
        return self._session.call("GET", "/vms").addCallback(_parse_list)


class _Body(protocol.Protocol):
    """Receives a body of at most `_MAX_BODY_BYTES`.

    Cancelling the deferred `whole` closes the connection.
    """

    def __init__(self):
        self.whole: defer.Deferred[bytes] = defer.Deferred(self._cancel)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Buffers a part of the body; closes a connection over the limit."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > _MAX_BODY_BYTES:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fires `whole` with the body; fails it if the body is incomplete."""
        if self.whole.called:
            return
        if reason.check(client.ResponseDone):
            self.whole.callback(b"".join(self._parts))
        else:
            self.whole.errback(reason)

    def _cancel(self, _: Any) -> None:
        self.transport.loseConnection()


def _read_answer(response: Any) -> defer.Deferred[_Answer]:
    version = int(response.headers.getRawHeaders("X-Version", ["-1"])[0])
    body = _Body()
    response.deliverBody(body)
    return body.whole.addCallback(
        lambda whole: _Answer(response.code, version, whole)
    )


def _path(key: str) -> str:
    return "/kv/" + urllib.parse.quote(key, safe="/")


def _parse_get(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return _entry(answer)
        case _Answer(status=404):
            return None
    return _unavailable(answer)


def _parse_put(answer: Any, value: bytes) -> Any:
    match answer:
        case _Answer(status=200, version=version) if version > 0:
            return interface.Entry(value, version)
        case _Answer(status=409, version=0):
            return interface.Conflict(None)
        case _Answer(status=409, version=version) if version > 0:
            return interface.Conflict(_entry(answer))
    return _unavailable(answer)


def _parse_grant(answer: Any) -> Any:
    match answer:
        case _Answer(status=200, body=body):
            try:
                return str(json.loads(body)["lease_id"])
            except (ValueError, KeyError, TypeError):
                return _unavailable(answer)
    return _unavailable(answer)


def _parse_renew(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return True
        case _Answer(status=410):
            return False
    return _unavailable(answer)


def _parse_watch(answer: Any) -> Any:
    match answer:
        case _Answer(status=200):
            return _entry(answer)
        case _Answer(status=404, version=0):
            return interface.Entry(b"", 0)
        case _Answer(status=204):
            return None
    return _unavailable(answer)


def _parse_list(answer: Any) -> Any:
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
    """Returns the failure for an answer that a method cannot use."""
    match answer:
        case interface.Unavailable():
            return answer
        case _Answer(status=429):
            return interface.Unavailable("over the service's rate limit")
    return interface.Unavailable(f"unusable answer, status {answer.status}")
