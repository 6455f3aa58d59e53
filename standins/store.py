"""The state of the platform stand-in: keys, leases, VMs and transfers."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

VM_TTL_S = 10.0


class Value(NamedTuple):
    """A key's value, its version and the lease whose expiry removes it."""

    body: bytes
    version: int
    lease_id: str


ABSENT = Value(b"", 0, "")


class TokenBucket:
    """Admits calls at a rate, with a burst of a quarter of a second."""

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._burst = max(1.0, rate / 4)
        self._tokens = self._burst
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Takes one token; returns whether one was available."""
        self._tokens += (now - self._updated_at) * self._rate
        self._tokens = min(self._tokens, self._burst)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_s(self) -> float:
        """Returns the seconds until the next token."""
        return max(0.0, (1 - self._tokens) / self._rate)


class KeyValueStore:
    """Versioned keys with leases and watches."""

    def __init__(self, reactor: Any):
        self._reactor = reactor
        self._values: dict[str, Value] = {}
        self._leases: dict[str, Any] = {}
        self._ttls: dict[str, float] = {}
        self._watches: dict[str, list[defer.Deferred[Value]]] = {}
        self._revisions = itertools.count(1)
        self._lease_numbers = itertools.count(1)

    def get(self, key: str) -> Value:
        """Returns the value; its version is 0 if the key is absent."""
        return self._values.get(key, ABSENT)

    def put(
        self, key: str, body: bytes, expected: int, lease_id: str
    ) -> Value | None:
        """Writes if the version is as expected, else returns None."""
        if self.get(key).version != expected:
            return None
        if lease_id and lease_id not in self._leases:
            raise ValueError(f"lease {lease_id} is unknown or has expired")
        value = Value(body, next(self._revisions), lease_id)
        self._set(key, value)
        return value

    def grant_lease(self, ttl_s: float) -> str:
        """Creates a lease and returns its id."""
        lease_id = f"lease-{next(self._lease_numbers)}"
        self._ttls[lease_id] = ttl_s
        self._leases[lease_id] = self._reactor.callLater(
            ttl_s, self._expire, lease_id
        )
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Renews a lease for its time to live; False if it has expired."""
        timer = self._leases.get(lease_id)
        if timer is None:
            return False
        timer.reset(self._ttls[lease_id])
        return True

    def watch(
        self, key: str, version: int, wait_s: float
    ) -> defer.Deferred[Value | None]:
        """Waits for a version other than `version`; None after `wait_s`."""
        current = self.get(key)
        if current.version != version:
            return defer.succeed(current)
        waiter: defer.Deferred[Value | None] = defer.Deferred()
        waiters = self._watches.setdefault(key, [])
        waiters.append(waiter)

        def time_out() -> None:
            waiters.remove(waiter)
            waiter.callback(None)

        timer = self._reactor.callLater(wait_s, time_out)
        return waiter.addBoth(_stop_timer, timer)

    def close(self) -> None:
        """Stops all timers and completes all watches."""
        for timer in self._leases.values():
            timer.cancel()
        self._leases.clear()
        for key in list(self._watches):
            self._notify(key, ABSENT)

    def _set(self, key: str, value: Value) -> None:
        if value.version:
            self._values[key] = value
        else:
            self._values.pop(key, None)
        self._notify(key, value)

    def _notify(self, key: str, value: Value) -> None:
        waiters = self._watches.pop(key, [])
        for waiter in list(waiters):
            waiters.remove(waiter)
            waiter.callback(value)

    def _expire(self, lease_id: str) -> None:
        del self._leases[lease_id]
        del self._ttls[lease_id]
        for key, value in list(self._values.items()):
            if value.lease_id == lease_id:
                self._set(key, ABSENT)


def _stop_timer(result: Any, timer: Any) -> Any:
    if timer.active():
        timer.cancel()
    return result


class VmList:
    """The list of VMs as it was some seconds ago."""

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._vms: dict[str, dict[str, Any]] = {}
        self._registered_at: dict[str, float] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def register(self, vm: dict[str, Any], now: float) -> None:
        """Adds a VM or renews it; "leaving" stays set at the same address."""
        known = self._vms.get(vm["name"], {})
        vm = {**vm, "leaving": bool(known.get("leaving") or vm["leaving"])}
        if known.get("port") != vm["port"] or known.get("host") != vm["host"]:
            vm["leaving"] = False
        self._vms[vm["name"]] = vm
        self._registered_at[vm["name"]] = now

    def mark_leaving(self, name: str) -> bool:
        """Marks a VM as leaving; False if the VM is unknown."""
        if name not in self._vms:
            return False
        self._vms[name] = {**self._vms[name], "leaving": True}
        return True

    def tick(self, now: float) -> None:
        """Drops VMs whose registration expired and records the list."""
        for name, registered_at in list(self._registered_at.items()):
            if now - registered_at > VM_TTL_S:
                del self._registered_at[name]
                del self._vms[name]
        listed = [self._vms[name] for name in sorted(self._vms)]
        if listed != self._history[-1][1]:
            self._history.append((now, listed))
        while (
            len(self._history) > 1 and self._history[1][0] <= now - self._lag_s
        ):
            self._history.pop(0)

    def delayed_list(self, now: float) -> list[dict[str, Any]]:
        """Returns the list as it was `lag_s` ago."""
        self.tick(now)
        return self._history[0][1]


class TransferPool:
    """Loads that share one source with a start rate and a total bandwidth.

    While more than `at_once` loads are in progress, each slows down in
    proportion.
    """

    def __init__(self, reactor: Any, rate: float, at_once: int):
        self._reactor = reactor
        self._bucket = TokenBucket(rate, reactor.seconds())
        self._bucket._burst = self._bucket._tokens = 1.0
        self._at_once = at_once
        self._waiting: list[tuple[float, defer.Deferred[None]]] = []
        self._active: list[list[Any]] = []
        self._updated_at = 0.0
        self._timers: dict[Callable[[], None], Any] = {}

    def start(self, seconds: float) -> defer.Deferred[None]:
        """Returns a deferred of a load that takes `seconds` at full speed."""
        done: defer.Deferred[None] = defer.Deferred()
        self._waiting.append((seconds, done))
        self._start_next()
        return done

    def _start_next(self) -> None:
        now = self._reactor.seconds()
        while self._waiting and self._bucket.take(now):
            self._advance(now)
            self._active.append([*self._waiting.pop(0)])
        if self._waiting:
            self._schedule(self._bucket.wait_s() + 1e-6, self._start_next)
        self._finish()

    def _advance(self, now: float) -> None:
        speed = min(1.0, self._at_once / max(1, len(self._active)))
        for load in self._active:
            load[0] -= (now - self._updated_at) * speed
        self._updated_at = now

    def _finish(self) -> None:
        self._advance(self._reactor.seconds())
        done = [load for load in self._active if load[0] <= 1e-9]
        self._active = [load for load in self._active if load[0] > 1e-9]
        for _, waiter in done:
            waiter.callback(None)
        if self._active:
            speed = min(1.0, self._at_once / len(self._active))
            shortest = min(load[0] for load in self._active)
            self._schedule(shortest / speed + 1e-6, self._finish)

    def _schedule(self, delay: float, call: Callable[[], None]) -> None:
        timer = self._timers.get(call)
        if timer is not None and timer.active():
            timer.reset(delay)
        else:
            self._timers[call] = self._reactor.callLater(delay, call)
