"""Client of the platform's store: items, ranges, watches, leases, changes."""

import base64
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from twisted.internet import defer

from azureline.util import http1

# Between the end of a watch's wait at the store and its time-out here.  A
# connection that went silent is found by nothing else.
_WATCH_MARGIN_S = 0.5
MAX_PAGES = 100


class Unavailable(NamedTuple):
    """Falsy sentinel: no answer that can be used.

    Attributes:
      reason: what went wrong, for logs.
      done: whether the call may have taken effect.
    """

    reason: str
    done: bool

    def __bool__(self) -> bool:
        return False


class Item(NamedTuple):
    """A key with its value.

    Attributes:
      key: the key.
      value: its bytes.
      revision: revision of its last change.
      lease: id of the lease with which it goes away, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Removed(NamedTuple):
    """A key that is gone."""

    key: str
    revision: int


class Listing(NamedTuple):
    """All items under a prefix.

    Attributes:
      items: the items.
      revision: from which a watch misses nothing.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(NamedTuple):
    """What a watch has seen.

    Attributes:
      events: in the order of their revisions.
      revision: from which to go on.
    """

    events: tuple[Item | Removed, ...]
    revision: int


class HistoryGone(NamedTuple):
    """Falsy sentinel: the watch must begin with a new listing."""

    def __bool__(self) -> bool:
        return False


class Put(NamedTuple):
    """A write within a change.

    Attributes:
      key: the key.
      value: its new value.
      lease: id of the lease with which it goes away, or 0.
    """

    key: str
    value: bytes
    lease: int = 0


class Committed(NamedTuple):
    """A change that took effect at a revision."""

    revision: int


class Conflict(NamedTuple):
    """Falsy sentinel: a condition did not hold.

    Attributes:
      items: the keys of the condition that exist, as they are.
    """

    items: tuple[Item, ...]

    def __bool__(self) -> bool:
        return False


class NoLease(NamedTuple):
    """Falsy sentinel: the lease has ended."""

    def __bool__(self) -> bool:
        return False


class Lease(NamedTuple):
    """A lease.

    Attributes:
      lease_id: its id.
      ttl_s: seconds that it runs from the arrival of the last renewal.
    """

    lease_id: int
    ttl_s: float


class Store:
    """Makes calls to the platform's store; no method raises."""

    def __init__(
        self, client: http1.Client, address: http1.Address, timeout_s: float
    ):
        """Creates a client.

        Args:
          client: owner of the connections.
          address: the store's address.
          timeout_s: seconds after which a call counts as unanswered.
        """
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._host = f"{address.host}:{address.port}".encode()
        self.calls = 0

    async def listing(
        self, prefix: str, stale: bool = False
    ) -> Listing | Unavailable:
        """Returns all items under a prefix, from as many pages as needed.

        Pages are no snapshot: watching from the first page's revision brings
        every change that a later page may have missed.
        """
        items: dict[str, Item] = {}
        revision, after = 0, ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if stale:
                query["allow_stale"] = "1"
            page = await self._call("GET", "/kv-range", query)
            if isinstance(page, Unavailable):
                return page
            try:
                found = [_item(row) for row in page["items"]]
                revision = revision or int(page["as_of"])
                more = bool(page.get("truncated"))
            except (KeyError, TypeError, ValueError) as e:
                return Unavailable(f"listing: {e!r}", done=False)
            items.update((item.key, item) for item in found)
            if not more or not found:
                return Listing(tuple(items.values()), revision)
            after = found[-1].key
        return Unavailable("listing: too many pages", done=False)

    async def item(self, key: str) -> Item | None | Unavailable:
        """Returns a key's item; None if there is none."""
        answer = await self._call("GET", "/kv-key", {"key": key}, (200, 404))
        if isinstance(answer, Unavailable):
            return answer
        if answer.get("_status") == 404:
            return None
        try:
            return _item(answer)
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"item: {e!r}", done=False)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Waits for changes under a prefix after a revision."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET",
            "/kv-watch",
            query,
            (200, 410),
            timeout_s=wait_s + _WATCH_MARGIN_S,
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer.get("_status") == 410:
            return HistoryGone()
        try:
            events = tuple(_event(row) for row in answer["events"])
            return Changes(events, int(answer["as_of"]))
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"watch: {e!r}", done=False)

    async def change(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        removed: tuple[str, ...] = (),
    ) -> Committed | Conflict | NoLease | Unavailable:
        """Makes a change if every key has its expected revision.

        Args:
          expected: revision by key; 0 where the key must not exist.
          puts: what to write.
          removed: keys to remove.
        """
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(removed),
        }
        answer = await self._call(
            "POST", "/kv-txn", {}, (200, 404, 412), body=body
        )
        if isinstance(answer, Unavailable):
            return answer
        status = answer.get("_status")
        try:
            if status == 412:
                rows = answer.get("items") or []
                present = [r for r in rows if r.get("revision")]
                return Conflict(tuple(_item(r) for r in present))
            if status == 404:
                return NoLease()
            return Committed(int(answer["revision"]))
        except (AttributeError, KeyError, TypeError, ValueError) as e:
            return Unavailable(f"change: {e!r}", done=True)

    async def grant(self, ttl_s: float) -> Lease | Unavailable:
        """Creates a lease."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        answer = await self._call("POST", "/kv-lease", {}, body=body)
        if isinstance(answer, Unavailable):
            return answer
        try:
            return Lease(int(answer["lease"]), answer["ttl_ms"] / 1000)
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"lease: {e!r}", done=True)

    async def renew(self, lease_id: int) -> bool | Unavailable:
        """Renews a lease; False if it has ended."""
        answer = await self._call(
            "POST", f"/kv-keep/{lease_id}", {}, (200, 404), body={}
        )
        if isinstance(answer, Unavailable):
            return answer
        return answer.get("_status") != 404

    async def end(self, lease_id: int) -> None:
        """Ends a lease, so that its keys go away."""
        await self._call(
            "DELETE", f"/kv-lease-end/{lease_id}", {}, (200, 204, 404)
        )

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        accepted: tuple[int, ...] = (200,),
        body: Any = None,
        timeout_s: float | None = None,
    ) -> Any:
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(
                query, quote_via=urllib.parse.quote, safe="/"
            )
        headers = [(b"host", self._host)]
        data = b""
        if body is not None:
            headers.append((b"content-type", b"application/json"))
            data = json.dumps(body).encode()
        request = http1.Request(
            method.encode(), target.encode(), tuple(headers), data
        )
        self.calls += 1
        answer = await self._fetch(request, timeout_s or self._timeout_s)
        if isinstance(answer, http1.Failed):
            return Unavailable(answer.reason, done=answer.sent)
        return _parsed(answer, accepted)

    def _fetch(
        self, request: http1.Request, timeout_s: float
    ) -> defer.Deferred[http1.Answer | http1.Failed]:
        return self._client.fetch(self._address, request, timeout_s)


def _parsed(answer: http1.Answer, accepted: tuple[int, ...]) -> Any:
    status = answer.head.status
    if status not in accepted:
        # Refusals (429, 503) say that nothing was done; nothing else does.
        return Unavailable(f"status {status}", done=status not in (429, 503))
    try:
        value = json.loads(answer.body) if answer.body.strip() else {}
    except ValueError:
        value = {}
        if status == 200:
            return Unavailable("answer is not JSON", done=True)
    if not isinstance(value, dict):
        return Unavailable("answer is no object", done=True)
    value["_status"] = status
    return value


def _item(row: dict[str, Any]) -> Item:
    return Item(
        str(row["key"]),
        base64.b64decode(row["value"]),
        int(row["revision"]),
        int(row.get("lease") or 0),
    )


def _event(row: dict[str, Any]) -> Item | Removed:
    if row.get("removed"):
        return Removed(str(row["key"]), int(row["revision"]))
    return _item(row)
