"""HTTP clients of the platform's key-value service and VM list.

No method raises.  A call that fails in any way (rate limit, time-out, invalid
answer) returns `Unavailable`.
"""

import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.platform import interface
from azureline.util import digits
from azureline.util import http1
from azureline.util import http1_client


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
        parts = urllib.parse.urlsplit(url)
        self._host = parts.netloc.encode()
        self._root = parts.path.rstrip("/")
        self._address = http1.Address(parts.hostname or "", parts.port or 80)
        self._timeout_s = timeout_s
        # Shorter than the time-out of the whole call, so that a connection that
        # is not established in time fails with its own error: such a call was
        # certainly not sent.
        self._client = http1_client.Client(
            reactor, clocks.SystemClock(), timeout_s / 2
        )

    def close(self) -> defer.Deferred[None]:
        """Closes all connections."""
        self._client.close()
        return defer.succeed(None)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        extra_s: float = 0.0,
    ) -> defer.Deferred[_Answer | interface.Unavailable]:
        """Makes one call, which is never repeated.

        A repeat would count against the service's rate limit again.

        Args:
          method: HTTP method.
          path: path with its query, quoted.
          body: body of the request, if it has one.
          headers: headers of the request.
          extra_s: seconds that are added to the time-out.

        Returns:
          The answer, whatever its status.
        """
        sent = {"Host": self._host.decode(), **(headers or {})}
        request = http1.Request(
            method.encode(),
            (self._root + path).encode(),
            tuple((n.encode(), v.encode()) for n, v in sent.items()),
            body or b"",
        )
        timeout_s = self._timeout_s + extra_s
        fetching = self._client.fetch(self._address, request, timeout_s)
        return fetching.addCallback(_parse_answer)


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


def _parse_answer(
    answer: http1.Answer | http1.Failure,
) -> _Answer | interface.Unavailable:
    if isinstance(answer, http1.Failure):
        return interface.Unavailable(answer.reason, answer.sent)
    version = answer.head.get(b"x-version")
    number = digits.parse(version) if version else None
    return _Answer(
        answer.head.status, -1 if number is None else number, answer.body
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
