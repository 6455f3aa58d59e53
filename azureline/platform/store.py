"""Client of the platform's store: reads, watches, transactions and leases.

All revisions that it takes and returns are positions, which are ordered across
the store's eras.  Nothing of one era is used for a call in another.
"""

import base64
from collections.abc import Callable
import json
from typing import Any
from typing import NamedTuple
import urllib.parse

from twisted.internet import defer

from azureline.platform import eras
from azureline.platform import names
from azureline.util import http1
from azureline.util import http1_client

_EARLIER_ERA = "the store has returned from an older copy"
# Seconds that the client waits for an answer after a watch's wait at the store
# has ended.  This time-out is the only means to detect a dead connection.
_WATCH_MARGIN_S = 0.5
MAX_PAGES = 100


class Unavailable(NamedTuple):
    """Falsy sentinel: the call failed or its answer is unusable.

    Attributes:
      reason: what went wrong, for logs.
      may_have_applied: whether the call may have taken effect.
    """

    reason: str
    may_have_applied: bool

    def __bool__(self) -> bool:
        return False


class Item(NamedTuple):
    """A key-value pair.

    Attributes:
      key: the key.
      value: its bytes.
      revision: position of the key's last change.
      lease: id of the lease that the key is attached to, or 0.  The store
        deletes the key when the lease ends.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Deleted(NamedTuple):
    """A deleted key, with the position of the deletion."""

    key: str
    revision: int


class Listing(NamedTuple):
    """All items whose keys have a prefix.

    Attributes:
      items: the items.
      revision: position from which a watch sees every change that the listing
        may lack.
    """

    items: tuple[Item, ...]
    revision: int


class Changes(NamedTuple):
    """The changes that a watch returned.

    Attributes:
      events: the changes, in the order of their revisions.
      revision: position from which the next watch continues.
    """

    events: tuple[Item | Deleted, ...]
    revision: int


class HistoryGone(NamedTuple):
    """Falsy sentinel: the store does not have the history of the position.

    It has discarded it, or has returned from an older copy.  The prefix must be
    listed again before the next watch.
    """

    def __bool__(self) -> bool:
        return False


class Put(NamedTuple):
    """A write within a transaction.

    Attributes:
      key: the key.
      value: its new value.
      lease: id of the lease that the key is attached to, or 0.
    """

    key: str
    value: bytes
    lease: int = 0


class Committed(NamedTuple):
    """The transaction took effect at a position."""

    revision: int


class Conflict(NamedTuple):
    """Falsy sentinel: a key did not have its expected revision.

    Attributes:
      items: the current items of those expected keys that exist.
    """

    items: tuple[Item, ...]

    def __bool__(self) -> bool:
        return False


class NoLease(NamedTuple):
    """Falsy sentinel: a lease of the transaction has ended."""

    def __bool__(self) -> bool:
        return False


class Lease(NamedTuple):
    """A lease.

    Attributes:
      lease_id: its id.
      ttl_s: lifetime in seconds, counted from the time at which the store
        receives the last renewal.
    """

    lease_id: int
    ttl_s: float


class StoreClient:
    """Client of the platform's store; no method raises."""

    def __init__(
        self,
        client: http1_client.Client,
        address: http1.Address,
        timeout_s: float,
    ):
        """Creates a client.

        Args:
          client: HTTP client that owns the connections.
          address: the store's address.
          timeout_s: seconds until a call times out.
        """
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._host = f"{address.host}:{address.port}".encode()
        self._era: int | None = None
        # Eras in which leases were granted; their ids are given out again.
        self._lease_eras: dict[int, int] = {}
        self._on_return: list[Callable[[int], None]] = []
        self.calls = 0

    @property
    def era(self) -> int:
        """Latest era of the store that this node knows."""
        return eras.FIRST_ERA if self._era is None else self._era

    def on_return(self, callback: Callable[[int], None]) -> None:
        """Adds a function that is called with the era after each return."""
        self._on_return.append(callback)

    def learn_era(self, era: int) -> None:
        """Records that the store is in an era; earlier ones are ignored."""
        if not eras.FIRST_ERA <= era <= eras.MAX_ERA:
            return
        if self._era is None:
            self._era = era
        elif era > self._era:
            self._era = era
            for callback in self._on_return:
                callback(era)

    async def list(
        self, prefix: str, allow_stale: bool = False
    ) -> Listing | Unavailable:
        """Lists all items whose keys have a prefix, in several pages if needed.

        The pages do not form a snapshot.  A watch from the first page's
        revision returns every change that a later page may lack.

        Args:
          prefix: prefix of the keys.
          allow_stale: whether the store may answer from data that is out of
            date.
        """
        items: dict[str, Item] = {}
        revision, after, era = 0, "", 0
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            if allow_stale:
                query["allow_stale"] = "1"
            page = await self._call("GET", "/kv-range", query)
            if isinstance(page, Unavailable):
                return page
            era = era or page["_era"]
            if page["_era"] != era:
                return Unavailable(_EARLIER_ERA, may_have_applied=False)
            try:
                found = [_parse_item(row, era) for row in page["items"]]
                revision = revision or eras.position(era, int(page["as_of"]))
                more = bool(page.get("truncated"))
            except (KeyError, TypeError, ValueError) as e:
                return Unavailable(f"listing: {e!r}", may_have_applied=False)
            items.update((item.key, item) for item in found)
            if not more or not found:
                return Listing(tuple(items.values()), revision)
            after = found[-1].key
        return Unavailable(
            f"listing: more than {MAX_PAGES} pages", may_have_applied=False
        )

    async def get(self, key: str) -> Item | None | Unavailable:
        """Returns a key's item; None if the key does not exist."""
        answer = await self._call("GET", "/kv-key", {"key": key}, (200, 404))
        if isinstance(answer, Unavailable):
            return answer
        if answer.get("_status") == 404:
            return None
        try:
            return _parse_item(answer, answer["_era"])
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"item: {e!r}", may_have_applied=False)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | HistoryGone | Unavailable:
        """Waits for changes of keys with a prefix.

        Args:
          prefix: prefix of the keys.
          after: position after which changes are returned.
          wait_s: maximum time in seconds that the store waits for a change.
        """
        era = eras.era_of(after)
        if era != self.era:
            return HistoryGone()
        query = {
            "prefix": prefix,
            "after": str(eras.revision_of(after)),
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
        if answer.get("_status") == 410 or answer["_era"] != era:
            return HistoryGone()
        try:
            events = tuple(_parse_event(row, era) for row in answer["events"])
            return Changes(events, eras.position(era, int(answer["as_of"])))
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"watch: {e!r}", may_have_applied=False)

    async def transact(
        self,
        expected: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> Committed | Conflict | NoLease | Unavailable:
        """Runs a transaction if every key has its expected revision.

        Args:
          expected: position by key; 0 where the key must not exist.
          puts: the writes.
          deletes: keys to delete.
        """
        era = self.era
        known = [at for at in expected.values() if at]
        leases = [put.lease for put in puts if put.lease]
        if any(eras.era_of(at) != era for at in known):
            return Unavailable(_EARLIER_ERA, may_have_applied=False)
        if not all(map(self._is_current, leases)):
            return NoLease()
        body = {
            "expected": [
                {"key": key, "revision": eras.revision_of(at)}
                for key, at in expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(deletes),
        }
        answer = await self._call(
            "POST", "/kv-txn", {}, (200, 404, 412), body=body
        )
        if isinstance(answer, Unavailable):
            return answer
        if answer["_era"] != era and (known or leases):
            return Unavailable(_EARLIER_ERA, may_have_applied=True)
        status, era = answer.get("_status"), answer["_era"]
        try:
            if status == 412:
                rows = answer.get("items") or []
                present = [r for r in rows if r.get("revision")]
                return Conflict(tuple(_parse_item(r, era) for r in present))
            if status == 404:
                return NoLease()
            return Committed(eras.position(era, int(answer["revision"])))
        except (AttributeError, KeyError, TypeError, ValueError) as e:
            return Unavailable(f"change: {e!r}", may_have_applied=True)

    async def grant(self, ttl_s: float) -> Lease | Unavailable:
        """Creates a lease."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        answer = await self._call("POST", "/kv-lease", {}, body=body)
        if isinstance(answer, Unavailable):
            return answer
        try:
            lease = Lease(int(answer["lease"]), answer["ttl_ms"] / 1000)
            self._lease_eras[lease.lease_id] = answer["_era"]
            return lease
        except (KeyError, TypeError, ValueError) as e:
            return Unavailable(f"lease: {e!r}", may_have_applied=True)

    async def renew(self, lease_id: int) -> bool | Unavailable:
        """Renews a lease; False if it has ended."""
        if self._is_current(lease_id):
            answer = await self._call(
                "POST", f"/kv-keep/{lease_id}", {}, (200, 404), body={}
            )
            if isinstance(answer, Unavailable):
                return answer
            if answer.get("_status") != 404 and self._is_current(lease_id):
                return True
        self._lease_eras.pop(lease_id, None)
        return False

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease, so that the store deletes its keys."""
        is_current = self._is_current(lease_id)
        self._lease_eras.pop(lease_id, None)
        if is_current:
            await self._call(
                "DELETE", f"/kv-lease-end/{lease_id}", {}, (200, 204, 404)
            )

    def _is_current(self, lease_id: int) -> bool:
        """Returns whether a lease was granted in the store's current era."""
        return self._lease_eras.get(lease_id) == self.era

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
        if isinstance(answer, http1.Failure):
            return Unavailable(answer.reason, may_have_applied=answer.sent)
        era = eras.parse_era(answer.head.get(names.STORE_ERA))
        if era is not None:
            self.learn_era(era)
        if era is not None and era < self.era:
            return Unavailable(_EARLIER_ERA, may_have_applied=True)
        parsed = _parse_answer(answer, accepted)
        if not isinstance(parsed, Unavailable):
            parsed["_era"] = self.era
        return parsed

    def _fetch(
        self, request: http1.Request, timeout_s: float
    ) -> defer.Deferred[http1.Answer | http1.Failure]:
        fetching = self._client.fetch(self._address, request, timeout_s)
        return fetching.addCallback(self._close_idle_after_failure)

    def _close_idle_after_failure(
        self, result: http1.Answer | http1.Failure
    ) -> http1.Answer | http1.Failure:
        """Makes the next call open a connection if one has failed.

        What silenced it may have silenced those that are idle, too.
        """
        if isinstance(result, http1.Failure):
            self._client.close_idle(self._address)
        return result


def _parse_answer(answer: http1.Answer, accepted: tuple[int, ...]) -> Any:
    status = answer.head.status
    if status not in accepted:
        # Only 429 and 503 guarantee that the call had no effect.
        return Unavailable(
            f"status {status}", may_have_applied=status not in (429, 503)
        )
    try:
        value = json.loads(answer.body) if answer.body.strip() else {}
    except (ValueError, RecursionError):
        value = {}
        if status == 200:
            return Unavailable(
                "answer is not valid JSON", may_have_applied=True
            )
    if not isinstance(value, dict):
        found = type(value).__name__
        return Unavailable(
            f"answer: expected an object, got {found}", may_have_applied=True
        )
    value["_status"] = status
    return value


def _parse_item(row: dict[str, Any], era: int) -> Item:
    return Item(
        str(row["key"]),
        base64.b64decode(row["value"]),
        eras.position(era, int(row["revision"])),
        int(row.get("lease") or 0),
    )


def _parse_event(row: dict[str, Any], era: int) -> Item | Deleted:
    if row.get("removed"):
        at = eras.position(era, int(row["revision"]))
        return Deleted(str(row["key"]), at)
    return _parse_item(row, era)
