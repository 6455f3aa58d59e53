"""A stand-in for the users' store, by its published protocol.

It keeps items with revisions, leases, watches and a bounded history.  Injected
faults make it lose replies, refuse clients, stop answering or come back from an
older copy of its state.
"""

import base64
import json
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.web import server

from standins import common
from standins import endless
from standins import options

MAX_WAIT_MS = 30000
PAGE_ITEMS = 50
# Rises by one with each return from an older copy; in all answers.
ERA_HEADER = "Store-Era"
# Time between two copies of the state, and how many are kept.
_COPY_INTERVAL_S = 0.25
_MAX_COPIES = 120
# Time after a return at which the operator writes a lost configuration again.
_REWRITE_S = 0.5


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


class _Copy(NamedTuple):
    """A copy of the state.

    Attributes:
      at: time of the copy in seconds.
      items: items by key.
      leases: seconds until the end of each lease, and its duration.
      revision: revision of the last change.
      next_lease: number of the last lease.
      history: changes that a watch can replay.
      compacted_revision: revision of the last change that was discarded.
    """

    at: float
    items: dict[str, _Item]
    leases: dict[int, tuple[float, float]]
    revision: int
    next_lease: int
    history: list[tuple[int, str, dict[str, Any]]]
    compacted_revision: int


class KvService(common.App):
    """The store; takes its time from the reactor's clock."""

    def __init__(
        self, chosen: options.KvOptions, reactor: Any = default_reactor
    ):
        """Creates an empty store."""
        super().__init__(reactor)
        self._options = chosen
        self.items: dict[str, _Item] = {}
        self._revision = 100
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._compacted_revision = self._revision
        self._leases: dict[int, _Lease] = {}
        self._watches: list[_Watch] = []
        self._answers_to_lose = 0
        self._down_until = 0.0
        self._refused_hosts: frozenset[str] = frozenset()
        self._next_lease = 1000
        self.era = 1
        self._copies: list[_Copy] = []
        self._rewrite_s = _REWRITE_S
        self._endless = endless.EndlessAnswers(reactor)
        self.route("GET", "/kv-key", self._key)
        self.route("GET", "/kv-range", self._range)
        self.route("GET", "/kv-watch", self._watch)
        self.route("POST", "/kv-txn", self._txn)
        self.route("POST", "/kv-lease", self._grant)
        self.route("POST", r"/kv-keep/(\d+)", self._renew)
        self.route("DELETE", r"/kv-lease-end/(\d+)", self._revoke)
        self._sweep()

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure.

        `lose_answers` applies the next N changes without a reply; `down_s`
        leaves all requests unanswered for that many seconds; `refuse` answers
        503 to a list of client addresses; `forget` discards the history;
        `restore` (`age_s`, `down_s`) stops answering for `down_s` seconds and
        comes back from a copy that is `age_s` seconds old; `rewrite_s` is the
        time after which the operator then writes a lost configuration again;
        `endless` answers reads without an end, see
        `endless.EndlessFault`;
        `operator` writes a configuration; `write` (`key`, `text`) writes an
        item, as another program would.
        """
        match name:
            case "restore":
                self._down_until = self.reactor.seconds() + value["down_s"]
                # The fault itself is answered first.
                self.reactor.callLater(0.01, self._close_client_connections)
                self.reactor.callLater(
                    value["down_s"], self.restore, value["age_s"]
                )
            case "lose_answers":
                self._answers_to_lose = value
            case "down_s":
                self._down_until = self.reactor.seconds() + value
            case "refuse":
                self._refused_hosts = frozenset(value)
            case "rewrite_s":
                self._rewrite_s = value
            case "write":
                self.put(value["key"], value["text"].encode())
            case "operator":
                self.put("op/config", json.dumps(value).encode())
            case "endless":
                self._endless.fault = endless.EndlessFault(**value)
            case "forget":
                self._history.clear()
                self._compacted_revision = self._revision
                self._reset_watches()
            case _:
                super().inject_fault(name, value)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item without a precondition; returns the new revision."""
        text = base64.b64encode(value).decode()
        self._revision += 1
        self._write(key, text, lease)
        self._notify_watches()
        return self._revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if key in self.items:
            self._revision += 1
            self._delete(key)
            self._notify_watches()

    def restore(self, age_s: float) -> None:
        """Returns to a copy that is at least `age_s` seconds old, if any."""
        newest_at = self.reactor.seconds() - age_s
        copies = [copy for copy in self._copies if copy.at <= newest_at]
        copy = copies[-1] if copies else self._copies[0]
        self._copies = copies or self._copies[:1]
        config = self.items.get("op/config")
        now = self.reactor.seconds()
        self.era += 1
        self.items = dict(copy.items)
        self._leases = {
            lease_id: _Lease(ttl_s, now + left_s)
            for lease_id, (left_s, ttl_s) in copy.leases.items()
        }
        self._revision = copy.revision
        self._next_lease = copy.next_lease
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        self._reset_watches()
        if config is not None and self.items.get("op/config") != config:
            self.reactor.callLater(
                self._rewrite_s, self._rewrite_config, config
            )

    def _rewrite_config(self, config: _Item) -> None:
        """Writes the operator's configuration again unless a newer one is."""
        current = self.items.get("op/config")
        if current is None or _version(current) < _version(config):
            self.put("op/config", base64.b64decode(config.value))

    def _save_copy(self) -> None:
        now = self.reactor.seconds()
        if self._copies and now < self._copies[-1].at + _COPY_INTERVAL_S:
            return
        leases = {
            lease_id: (lease.ends_at - now, lease.ttl_s)
            for lease_id, lease in self._leases.items()
        }
        self._copies.append(
            _Copy(
                now,
                dict(self.items),
                leases,
                self._revision,
                self._next_lease,
                list(self._history),
                self._compacted_revision,
            )
        )
        del self._copies[:-_MAX_COPIES]

    def _close_client_connections(self) -> None:
        for transport in list(self._transports):
            transport.abortConnection()

    def render(self, request: server.Request) -> Any:
        """Handles a request unless the store is down or refuses the client."""
        request.setHeader(ERA_HEADER, str(self.era))
        subject_to_faults = request.path != b"/faults"
        if subject_to_faults and self.reactor.seconds() < self._down_until:
            return server.NOT_DONE_YET
        if (
            subject_to_faults
            and request.getClientAddress().host in self._refused_hosts
        ):
            request.setResponseCode(503)
            return b"{}"
        # Servers only write, and their stand-ins bear no faulty store.
        if request.method == b"GET" and self._endless.takes():
            headers = ((ERA_HEADER, str(self.era)),)
            defer.ensureDeferred(self._endless.send(request, headers))
            return server.NOT_DONE_YET
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
        if not self._compacted_revision <= after <= self._revision:
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
            self._delete(key)
        self._notify_watches()
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
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

    def _renew(self, request: server.Request, lease_id: str) -> common.Reply:
        lease = self._leases.get(int(lease_id))
        if lease is None:
            return common.json_reply({}, 404)
        ends_at = self.reactor.seconds() + lease.ttl_s
        self._leases[int(lease_id)] = lease._replace(ends_at=ends_at)
        return common.json_reply({"ttl_ms": int(lease.ttl_s * 1000)})

    def _revoke(self, request: server.Request, lease_id: str) -> common.Reply:
        known = self._leases.pop(int(lease_id), None)
        self._delete_leased(int(lease_id))
        return common.json_reply({}, 200 if known else 404)

    def _sweep(self) -> None:
        """Removes expired leases; none expire while the store is down."""
        now = self.reactor.seconds()
        if now >= self._down_until:
            self._save_copy()
            for lease_id, lease in list(self._leases.items()):
                if lease.ends_at <= now:
                    del self._leases[lease_id]
                    self._delete_leased(lease_id)
        self.reactor.callLater(0.05, self._sweep)

    def _delete_leased(self, lease: int) -> None:
        keys = [k for k, item in self.items.items() if item.lease == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._delete(key)
            self._notify_watches()

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self._revision
        self.items[key] = _Item(value, self._revision, created, lease)
        self._record(key, self._row(key))

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            row = {"key": key, "revision": self._revision, "removed": True}
            self._record(key, row)

    def _record(self, key: str, row: dict[str, Any]) -> None:
        self._history.append((self._revision, key, row))
        while len(self._history) > self._options.history:
            self._compacted_revision = self._history.pop(0)[0]

    def _row(self, key: str) -> dict[str, Any]:
        return {"key": key, **self.items[key]._asdict()}

    def _notify_watches(self) -> None:
        for watch in list(self._watches):
            if self._answer_watch(watch):
                self._watches.remove(watch)

    def _answer_watch(self, watch: _Watch) -> bool:
        rows = [
            row
            for revision, key, row in self._history
            if revision > watch.after and key.startswith(watch.prefix)
        ]
        if rows:
            watch.answer.callback(self._changes(rows))
        return bool(rows)

    def _reset_watches(self) -> None:
        cut, self._watches = self._watches, []
        for watch in cut:
            watch.answer.callback(common.json_reply({}, 410))

    def _changes(self, rows: list[dict[str, Any]]) -> common.Reply:
        return common.json_reply({"events": rows, "as_of": self._revision})


def _version(config: _Item) -> int:
    return json.loads(base64.b64decode(config.value))["version"]


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
