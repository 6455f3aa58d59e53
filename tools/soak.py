"""A randomized soak: real processes, faults from outside, promises checked.

    python -m tools.soak --seeds 50 --first 1

Each seed starts a store, engines, ledgers and nodes on the loopback network,
sends requests all the while, injects faults in series that overlap, and checks
afterwards what callers and backend servers saw.  See docs/developers/soak.md.
"""

from collections.abc import Callable
import concurrent.futures
import contextlib
import json
import os
import random
import signal
import sys
import threading
import time
from typing import Any
from typing import NamedTuple
import urllib.request

import typer

from tests import builders_relay
from tools import deployment
from tools import site_caller
from tools import soak_checks
from tools import soak_proxy

NODES = ("relay-1", "relay-2", "relay-3")
SERVERS = ("engine-1", "engine-2", "ledger-1", "ledger-2")
CALLERS = 6
READY_S = 30.0
# After the last fault requests must be served again within this time.
RECOVERY_S = 12.0
# A server that ended is back before this time.
BACK_S = 10.0
# A server that says that it leaves stays for so long, and a little more.
LEAVING_S = 2.5
# Of the requests, once there is one that ends servers.
DEADLY_PART = 0.03


class Result(NamedTuple):
    """What a seed came to.

    Attributes:
      seed: the seed.
      broken: the promises that were broken.
      sent: requests that were sent.
      served: requests that were served whole.
      faults: the faults in their order.
      took_s: seconds that it took.
    """

    seed: int
    broken: list[str]
    sent: int
    served: int
    faults: list[str]
    took_s: float


class Soak:
    """One seed."""

    def __init__(
        self, seed: int, processes: deployment.Deployment, seconds: float
    ):
        """Creates a soak over processes that are yet to be started."""
        self._rng = random.Random(seed)
        self._processes = processes
        self._seconds = seconds
        self._sent: list[soak_checks.Sent] = []
        self._faults: list[str] = []
        self._over = threading.Event()
        self._down: set[str] = set()
        # When nodes were restarted or paused: they may forget or be late.
        self._disturbed: dict[str, list[float]] = {n: [] for n in NODES}
        self._deadly = False
        self._version = 7
        self._proxy: soak_proxy.Proxy

    def run(self) -> tuple[list[str], list[soak_checks.Sent], list[str]]:
        """Runs to the end; returns broken promises, requests and faults."""
        with contextlib.ExitStack() as stack:
            self._start(stack)
            threads = stack.enter_context(
                concurrent.futures.ThreadPoolExecutor(CALLERS)
            )
            stack.callback(self._over.set)
            seeds = [self._rng.random() for _ in range(CALLERS)]
            for seed in seeds:
                threads.submit(self._call_on, random.Random(seed))
            self._inject()
            self._deadly = False
            back = self._recovered()
            self._over.set()
            threads.shutdown()
            seen = {name: self._seen(name) for name in SERVERS}
        found = soak_checks.broken(self._sent, seen, self._disturbed)
        deadly = [one for one in self._sent if one.kind == "deadly"]
        found += soak_checks.deadly_runs(deadly, seen, self._disturbed)
        if not back:
            found.append(f"RECOVER: not served within {RECOVERY_S:g} s")
        return found, self._sent, self._faults

    def _start(self, stack: contextlib.ExitStack) -> None:
        processes = self._processes
        url = processes.site_store(builders_relay.site_document())
        host, _, port = url.removeprefix("http://").rpartition(":")
        self._proxy = soak_proxy.Proxy(host, (host, int(port)))
        stack.callback(self._proxy.close)
        for number, models in ((1, ["m0", "m1"]), (2, ["m0"])):
            processes.site_server(
                f"engine-{number}", service="llm", models=True, resident=models
            )
            processes.site_server(f"ledger-{number}", service="ledger")
        for name in NODES:
            self._start_node(name)
        for name in NODES:
            deployment.wait_until(
                name, lambda name=name: self._ready(name), READY_S
            )

    def _start_node(self, name: str) -> None:
        domain = f"d{NODES.index(name) % 2}"
        store = {"address": self._proxy.address}
        self._processes.relay(name, domain, store=store)

    def _ready(self, name: str) -> bool:
        host = self._processes.urls[name].rpartition(":")[0]
        url = f"{host}:{deployment.READY_PORT}/readyz"
        try:
            urllib.request.urlopen(url, timeout=1).read()
        except OSError:
            return False
        return True

    def _call_on(self, rng: random.Random) -> None:
        while not self._over.is_set():
            self._call(rng, rng.choice(NODES))
            time.sleep(rng.uniform(0.0, 0.15))

    def _call(self, rng: random.Random, node: str) -> site_caller.Answer:
        caller, at = site_caller.Caller(self._processes.urls[node]), time.time()
        if self._deadly and rng.random() < DEADLY_PART:
            answer = caller.send("/look/deadly", method="GET")
            sent = soak_checks.Sent("deadly", 0, answer, node, at)
            self._sent.append(sent)
            return answer
        kind = rng.choice(("look", "post", "ask", "again"))
        tokens = rng.randint(1, 30)
        model = rng.choice(("m0", "m0", "m1", "m2"))
        if kind == "ask" and rng.random() < 0.5:
            model = f"m0/a{rng.randint(1, 3)}"
        if kind in ("look", "post"):
            method = "GET" if kind == "look" else "POST"
            answer = caller.send(f"/{kind}/x", method=method, patience_ms=3000)
        else:
            answer = caller.send(
                f"/{kind}/x", model, tokens=tokens, patience_ms=5000
            )
        sent = soak_checks.Sent(kind, tokens, answer, node, at)
        self._sent.append(sent)
        return answer

    def _inject(self) -> None:
        ends_at = time.monotonic() + self._seconds
        undo: list[tuple[float, Any]] = []
        while time.monotonic() < ends_at:
            self._undo(undo, time.monotonic())
            name, lasts_s, end = self._fault()
            self._faults.append(name)
            undo.append((time.monotonic() + lasts_s, end))
            time.sleep(self._rng.uniform(0.3, 1.5))
        self._undo(undo, float("inf"))

    def _undo(self, undo: list[tuple[float, Any]], now: float) -> None:
        for due in [entry for entry in undo if entry[0] <= now]:
            undo.remove(due)
            due[1]()

    def _fault(self) -> tuple[str, float, Any]:
        """Injects a fault; returns its name, duration and how to end it."""
        lasts_s = self._rng.uniform(0.3, 2.5)
        momentary = self._momentary(lasts_s)
        choice = self._rng.choice(
            ("kill", "stop", "pause", "delay", "one_way", *momentary)
        )
        node = self._rng.choice(NODES)
        match choice:
            case "delay":
                self._proxy.delay(0.1)
                return choice, lasts_s, lambda: self._proxy.delay(0.0)
            case "one_way":
                self._proxy.one_way(True)
                return choice, lasts_s, lambda: self._proxy.one_way(False)
            case "kill" | "stop" | "pause" if node in self._down:
                return f"{choice} {node} (down already)", 0.0, _nothing
            case "kill" | "stop":
                return self._end_node(choice, node, lasts_s)
            case "pause":
                self._signal(node, signal.SIGSTOP)
                self._down.add(node)
                self._disturbed[node].append(time.time())
                return f"pause {node}", lasts_s, lambda: self._resume(node)
        momentary[choice]()
        return choice, 0.0, _nothing

    def _momentary(self, lasts_s: float) -> dict[str, Callable[[], None]]:
        """Returns the faults that need no end of their own."""
        rng = self._rng
        server, engine = rng.choice(SERVERS), rng.choice(SERVERS[:2])
        lost = rng.randint(1, 4)
        return {
            "lose": lambda: self._tell("store", lose_answers=lost),
            "down": lambda: self._tell("store", down_s=lasts_s),
            "forget": lambda: self._tell("store", forget=True),
            "reset": self._proxy.reset,
            "silence": self._proxy.silence,
            "server_reset": lambda: self._tell(server, reset=2),
            "server_mute": lambda: self._tell(server, mute=1),
            "leave": lambda: self._tell(server, leave=lasts_s + LEAVING_S),
            "ask_pause": lambda: self._tell(
                server, pause={"seconds": 1.0 + lasts_s, "for_s": 0.5}
            ),
            "deadly": self._begin_deadly,
            "late_orders": lambda: self._tell(engine, late_orders=2),
            "config": self._change_config,
        }

    def _end_node(
        self, choice: str, node: str, lasts_s: float
    ) -> tuple[str, float, Any]:
        kills = choice == "kill"
        self._signal(node, signal.SIGKILL if kills else signal.SIGTERM)
        self._down.add(node)
        self._disturbed[node].append(time.time())

        def start() -> None:
            self._processes.wait(node)
            self._start_node(node)
            self._down.discard(node)

        return f"{choice} {node}", lasts_s, start

    def _resume(self, node: str) -> None:
        self._signal(node, signal.SIGCONT)
        self._down.discard(node)

    def _signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self._processes.pid(name), number)

    def _begin_deadly(self) -> None:
        for name in SERVERS[2:]:
            self._tell(name, deadly={"mark": "deadly"})
        self._deadly = True

    def _change_config(self) -> None:
        self._version += self._rng.randint(1, 3)
        document = builders_relay.site_document(self._version)
        self._tell("store", operator=document)

    def _tell(self, name: str, **faults: Any) -> None:
        request = urllib.request.Request(
            self._processes.urls[name] + "/faults",
            json.dumps(faults).encode(),
            method="POST",
        )
        _fetch(request)

    def _seen(self, name: str) -> dict[str, Any]:
        return json.loads(_fetch(self._processes.urls[name] + "/runs"))

    def _recovered(self) -> bool:
        """Returns whether every node serves every kind again in time."""
        give_up_at = time.monotonic() + RECOVERY_S
        left = set(NODES)
        rng = random.Random(1)
        while left and time.monotonic() < give_up_at:
            for node in sorted(left):
                answers = [self._call(rng, node) for _ in range(4)]
                if all(a.status == 200 and a.whole for a in answers):
                    left.discard(node)
            time.sleep(0.2)
        return not left


def _fetch(request: urllib.request.Request | str) -> bytes:
    """Returns a stand-in's answer; one that has ended is back soon."""
    give_up_at = time.monotonic() + BACK_S
    while True:
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.read()
        except OSError:
            if time.monotonic() > give_up_at:
                raise
            time.sleep(0.2)


def _nothing() -> None:
    return None


def run_seed(seed: int, seconds: float) -> Result:
    """Runs one seed from the start of its processes to their end."""
    began = time.monotonic()
    with deployment.Deployment() as processes:
        broken, sent, faults = Soak(seed, processes, seconds).run()
        if broken:
            for name in NODES:
                print(processes.log_tail(name, 400), file=sys.stderr)
    served = sum(s.answer.status == 200 and s.answer.whole for s in sent)
    took_s = time.monotonic() - began
    return Result(seed, broken, len(sent), served, faults, took_s)


def main(first: int = 1, seeds: int = 1, seconds: float = 12.0) -> None:
    """Runs seeds one after the other; ends with 1 if a promise was broken.

    Args:
      first: the first seed.
      seeds: how many.
      seconds: of faults in each.
    """
    failed = []
    for seed in range(first, first + seeds):
        result = run_seed(seed, seconds)
        print(
            f"seed {seed}: {result.served} of {result.sent} served, "
            f"{len(result.faults)} faults, {result.took_s:.0f} s, "
            f"{'; '.join(result.broken) or 'kept'}",
            flush=True,
        )
        if result.broken:
            failed.append(seed)
            print("  " + ", ".join(result.faults), flush=True)
    print(f"{seeds - len(failed)} of {seeds} seeds kept; failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
