"""A stand-in for the platform: key-value service, VM list, weight store."""

import collections
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import server

from standins import common
from standins import options
from standins import store

MAX_VALUE_BYTES = 1_000_000


class Platform(common.App):
    """Serves the platform's HTTP interfaces; all state is in memory."""

    def __init__(
        self, limits: options.PlatformOptions, reactor: Any = default_reactor
    ):
        super().__init__(reactor)
        now = reactor.seconds()
        self._limits = limits
        self._answer_delay_s = limits.answer_ms / 1000
        self._keys = store.KeyValueStore(reactor)
        self._vms = store.VmList(limits.vm_lag_s)
        self._models = store.TransferPool(
            reactor, limits.store_rate, limits.store_at_once
        )
        self._adapters = store.TransferPool(
            reactor, 1e6, limits.adapters_at_once
        )
        self._writes = store.TokenBucket(limits.writes_per_s, now)
        self._reads = store.TokenBucket(limits.reads_per_s, now)
        self._stats: collections.Counter[str] = collections.Counter()
        self._down_until = 0.0
        self._answers_to_lose = 0
        self._vm_ticker = task.LoopingCall(
            lambda: self._vms.tick(reactor.seconds())
        )
        self._vm_ticker.clock = reactor
        self._vm_ticker.start(0.2)
        self._add_routes()

    def close(self) -> None:
        """Stops all timers."""
        self._vm_ticker.stop()
        self._keys.close()

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure."""
        match name:
            case "down_s":
                self._down_until = self.reactor.seconds() + value
            case "lose_answers":
                self._answers_to_lose = value
            case _:
                super().inject_fault(name, value)

    def _add_routes(self) -> None:
        self.route("GET", "/kv/(.+)", self._get)
        self.route("PUT", "/kv/(.+)", self._put)
        self.route("POST", "/leases", self._grant)
        self.route("POST", "/leases/([^/]+)/renew", self._renew)
        self.route("GET", "/vms", self._list)
        self.route("POST", "/vms", self._register)
        self.route("POST", "/vms/([^/]+)/leave", self._leave)
        self.route("POST", "/store/loads", self._load)
        self.route("GET", "/stats", self._report)

    def _throttle(self, call: str, bucket: store.TokenBucket) -> Any:
        """Counts a call; returns a refusal if the call exceeds the rate limit.

        While the service is down the call hangs: the result is a deferred
        that never fires.
        """
        now = self.reactor.seconds()
        self._stats[call] += 1
        if now < self._down_until:
            self._stats["while_down"] += 1
            return defer.Deferred()
        if not bucket.take(now):
            self._stats["rate_limited"] += 1
            return common.Reply(429, b"rate limit\n")
        return None

    def _reply_unless_lost(self, reply: common.Reply) -> Any:
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            self._stats["lost_answers"] += 1
            return None
        return reply

    def _get(self, request: server.Request, key: str) -> Any:
        watched = request.args.get(b"watch")
        refusal = self._throttle("watch" if watched else "get", self._reads)
        if refusal is not None:
            return refusal
        if not watched:
            return _value_reply(self._keys.get(key))
        wait_s = float(request.args[b"wait"][0])
        found = self._keys.watch(key, int(watched[0]), wait_s)
        return found.addCallback(_value_reply)

    def _put(self, request: server.Request, key: str) -> Any:
        refusal = self._throttle("put", self._writes)
        if refusal is not None:
            return refusal
        body = request.content.read()
        if len(body) > MAX_VALUE_BYTES:
            return common.Reply(413, b"value over 1 MB\n")
        expected = int(request.getHeader("X-Expect-Version") or 0)
        lease_id = request.getHeader("X-Lease") or ""
        written = self._keys.put(key, body, expected, lease_id)
        if written is None:
            self._stats["conflicts"] += 1
            found = _value_reply(self._keys.get(key))
            return self._reply_unless_lost(found._replace(status=409))
        return self._reply_unless_lost(_value_reply(written._replace(body=b"")))

    def _grant(self, request: server.Request) -> Any:
        refusal = self._throttle("grant", self._writes)
        if refusal is not None:
            return refusal
        ttl_s = float(common.read_json(request)["ttl_s"])
        lease_id = self._keys.grant_lease(ttl_s)
        return self._reply_unless_lost(
            common.json_reply({"lease_id": lease_id})
        )

    def _renew(self, request: server.Request, lease_id: str) -> Any:
        refusal = self._throttle("renew", self._writes)
        if refusal is not None:
            return refusal
        alive = self._keys.renew_lease(lease_id)
        return self._reply_unless_lost(common.Reply(200 if alive else 410))

    def _list(self, request: server.Request) -> Any:
        refusal = self._throttle("list_vms", self._reads)
        if refusal is not None:
            return refusal
        return common.json_reply(self._vms.delayed_list(self.reactor.seconds()))

    def _register(self, request: server.Request) -> common.Reply:
        fields = common.read_json(request)
        vm = {k: fields[k] for k in ("name", "host", "port", "role", "domain")}
        vm["leaving"] = bool(fields.get("leaving", False))
        self._vms.register(vm, self.reactor.seconds())
        return common.json_reply({})

    def _leave(self, request: server.Request, name: str) -> common.Reply:
        return common.Reply(200 if self._vms.mark_leaving(name) else 404)

    def _load(self, request: server.Request) -> Any:
        fields = common.read_json(request)
        kind = fields.get("kind", "model")
        self._stats[f"load_{kind}"] += 1
        if kind == "adapter":
            done = self._adapters.start(float(fields["seconds"]))
        else:
            seconds = fields["bytes"] / self._limits.store_bytes_per_s
            done = self._models.start(seconds)
        return done.addCallback(lambda _: common.json_reply({}))

    def _report(self, request: server.Request) -> common.Reply:
        return common.json_reply(dict(self._stats))


def _value_reply(value: store.Value | None) -> common.Reply:
    if value is None:
        return common.Reply(204)
    version = (("X-Version", str(value.version)),)
    return common.Reply(200 if value.version else 404, value.body, version)


def main(chosen: options.PlatformOptions) -> None:
    """Runs the stand-in for the platform until SIGTERM."""
    common.serve(Platform(chosen), chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.PlatformOptions)
