"""A stand-in for the users' store, by its published protocol.

It keeps items with revisions, leases, watches and a bounded history, and can
lose answers, refuse callers or fall silent.
"""

import base64
import json
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.web import server

from standins import common
from standins import options

MAX_WAIT_MS = 30000
PAGE_ITEMS = 50


class _Item(NamedTuple):
    value: str
    revision: int
    created: int
    lease: int


class _Lease(NamedTuple):
    ttl_s: float
    ends_at: float


class _Watch(NamedTuple):
    prefix: str
    after: int
    answer: defer.Deferred[Any]


class KvService(common.App):
    """The store; its clock is the reactor's."""

    def __init__(
        self, chosen: options.KvOptions, reactor: Any = default_reactor
    ):
        """Creates an empty store."""
        super().__init__(reactor)
        self._options = chosen
        self.items: dict[str, _Item] = {}
        self._revision = 100
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._oldest = self._revision
        self._leases: dict[int, _Lease] = {}
        self._watches: list[_Watch] = []
        self._lost = 0
        self._down_until = 0.0
        self._refused: frozenset[str] = frozenset()
        self._next_lease = 1000
        self.route("GET", "/kv-key", self._key)
        self.route("GET", "/kv-range", self._range)
        self.route("GET", "/kv-watch", self._watch)
        self.route("POST", "/kv-txn", self._txn)
        self.route("POST", "/kv-lease", self._grant)
        self.route("POST", r"/kv-keep/(\d+)", self._keep)
        self.route("DELETE", r"/kv-lease-end/(\d+)", self._end)
        self._sweep()

    def fault(self, name: str, value: Any) -> None:
        """Begins one kind of failure.

        `lose_answers` N changes, `down_s` seconds of silence, `refuse` a list
        of callers' addresses, `forget` drops the history, `operator` puts a
        configuration.
        """
        match name:
            case "lose_answers":
                self._lost = value
            case "down_s":
                self._down_until = self.reactor.seconds() + value
            case "refuse":
                self._refused = frozenset(value)
            case "operator":
                self.put("op/config", json.dumps(value).encode())
            case "forget":
                self._history.clear()
                self._oldest = self._revision
                self._cut_watches()
            case _:
                super().fault(name, value)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item as the operator or a server does."""
        text = base64.b64encode(value).decode()
        self._revision += 1
        self._write(key, text, lease)
        self._wake()
        return self._revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if key in self.items:
            self._revision += 1
            self._drop(key)
            self._wake()

    def render(self, request: server.Request) -> Any:
        """Answers, unless the store is down or turns the caller away."""
        faulty = request.path != b"/faults"
        if faulty and self.reactor.seconds() < self._down_until:
            return server.NOT_DONE_YET
        if faulty and request.getClientAddress().host in self._refused:
            request.setResponseCode(503)
            return b"{}"
        return super().render(request)

    def _key(self, request: server.Request) -> common.Reply:
        key = _argument(request, "key")
        if key not in self.items:
            return common.json_reply({"as_of": self._revision}, 404)
        return common.json_reply({**self._row(key), "as_of": self._revision})

    def _range(self, request: server.Request) -> common.Reply:
        prefix = _argument(request, "prefix")
        after = _argument(request, "after")
        found = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = found[:PAGE_ITEMS]
        return common.json_reply(
            {
                "items": [self._row(k) for k in page],
                "truncated": len(found) > len(page),
                "as_of": self._revision,
            }
        )

    def _watch(self, request: server.Request) -> Any:
        after = int(_argument(request, "after"))
        wait_s = int(_argument(request, "wait_ms")) / 1000
        if after < self._oldest:
            return common.json_reply({}, 410)
        watch = _Watch(_argument(request, "prefix"), after, defer.Deferred())
        if self._answer_watch(watch):
            return watch.answer
        self._watches.append(watch)

        def expired() -> None:
            if watch in self._watches:
                self._watches.remove(watch)
                watch.answer.callback(self._changes([]))

        self.reactor.callLater(min(wait_s, MAX_WAIT_MS / 1000), expired)
        return watch.answer

    def _txn(self, request: server.Request) -> common.Reply | None:
        change = common.read_json(request)
        rows = change.get("expected", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                keys = [r["key"] for r in rows if r["key"] in self.items]
                return common.json_reply(
                    {"items": [self._row(k) for k in keys]}, 412
                )
        puts = change.get("puts", [])
        if any(p["lease"] and p["lease"] not in self._leases for p in puts):
            return common.json_reply({}, 404)
        self._revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in change.get("remove", []):
            self._drop(key)
        self._wake()
        if self._lost > 0:
            self._lost -= 1
            return None
        return common.json_reply({"revision": self._revision})

    def _grant(self, request: server.Request) -> common.Reply:
        ttl_ms = common.read_json(request)["ttl_ms"]
        self._next_lease += 1
        now = self.reactor.seconds()
        self._leases[self._next_lease] = _Lease(
            ttl_ms / 1000, now + ttl_ms / 1000
        )
        return common.json_reply({"lease": self._next_lease, "ttl_ms": ttl_ms})

    def _keep(self, request: server.Request, name: str) -> common.Reply:
        lease = self._leases.get(int(name))
        if lease is None:
            return common.json_reply({}, 404)
        ends_at = self.reactor.seconds() + lease.ttl_s
        self._leases[int(name)] = lease._replace(ends_at=ends_at)
        return common.json_reply({"ttl_ms": int(lease.ttl_s * 1000)})

    def _end(self, request: server.Request, name: str) -> common.Reply:
        known = self._leases.pop(int(name), None)
        self._drop_leased(int(name))
        return common.json_reply({}, 200 if known else 404)

    def _sweep(self) -> None:
        """Ends leases; while the store is down they pause."""
        now = self.reactor.seconds()
        if now >= self._down_until:
            for name, lease in list(self._leases.items()):
                if lease.ends_at <= now:
                    del self._leases[name]
                    self._drop_leased(name)
        self.reactor.callLater(0.05, self._sweep)

    def _drop_leased(self, lease: int) -> None:
        gone = [k for k, item in self.items.items() if item.lease == lease]
        if gone:
            self._revision += 1
            for key in gone:
                self._drop(key)
            self._wake()

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self._revision
        self.items[key] = _Item(value, self._revision, created, lease)
        self._record(key, self._row(key))

    def _drop(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            row = {"key": key, "revision": self._revision, "removed": True}
            self._record(key, row)

    def _record(self, key: str, row: dict[str, Any]) -> None:
        self._history.append((self._revision, key, row))
        while len(self._history) > self._options.history:
            self._oldest = self._history.pop(0)[0]

    def _row(self, key: str) -> dict[str, Any]:
        return {"key": key, **self.items[key]._asdict()}

    def _wake(self) -> None:
        for watch in list(self._watches):
            if self._answer_watch(watch):
                self._watches.remove(watch)

    def _answer_watch(self, watch: _Watch) -> bool:
        seen = [
            row
            for revision, key, row in self._history
            if revision > watch.after and key.startswith(watch.prefix)
        ]
        if seen:
            watch.answer.callback(self._changes(seen))
        return bool(seen)

    def _cut_watches(self) -> None:
        cut, self._watches = self._watches, []
        for watch in cut:
            watch.answer.callback(common.json_reply({}, 410))

    def _changes(self, rows: list[dict[str, Any]]) -> common.Reply:
        return common.json_reply({"events": rows, "as_of": self._revision})


def _argument(request: server.Request, name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    return values[0].decode()


def main(chosen: options.KvOptions) -> None:
    """Runs the stand-in for the store until SIGTERM."""
    service = KvService(chosen)
    if chosen.config:
        with open(chosen.config, encoding="utf-8") as file:
            document = json.load(file)
        service.put("op/config", json.dumps(document).encode())
    common.serve(service, chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.KvOptions)
