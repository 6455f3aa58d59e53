"""A randomized soak test: real processes, injected faults, checked guarantees.

    python -m tools.soak --seeds 50 --first 1

Each seed starts a store, engines, ledgers and nodes on the loopback network,
sends requests throughout, injects overlapping faults, and afterwards checks
what callers and backend servers recorded.  See docs/developers/soak.md.
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
READY_TIMEOUT_S = 30.0
# Limit for every node to serve requests again after the last fault.
RECOVERY_TIMEOUT_S = 12.0
# Time limit for retries while a server restarts after a crash.
RESTART_TIMEOUT_S = 10.0
# Minimum time between a server's leaving notice and its stop.
MIN_LEAVING_NOTICE_S = 2.5
# Minimum time for which a server names a limit; the limit binds after 3 s, and
# is checked in windows of 4 s.
MIN_LIMIT_S = 7.0
# Fraction of the requests that crash servers, once that fault is active.
CRASHING_FRACTION = 0.03
# Fraction of the faults that kill all nodes, while requests crash servers.
LOSS_FRACTION = 0.25
# Name of a part of prompts that crashes engines, once that fault is active.
DEADLY_PART = "deadly"
# How the crashing requests crash servers, and how long their callers wait.
CRASH_VARIANTS: tuple[tuple[dict[str, Any], float | None], ...] = (
    ({}, None),
    ({"after_s": 0.8}, 0.3),
    ({"after_s": 2.5}, None),
    ({"how": "silent", "back_s": 4.0}, None),
    ({"how": "cut", "after_s": 0.3, "cut_s": 3.0}, None),
    ({"answer": "504", "answer_s": 0.4, "after_s": 0.9}, None),
    ({"answer": "lost", "after_s": 0.6}, None),
)
# Tries of a caller whose stream breaks off.
MAX_TAKE_UPS = 3


class Result(NamedTuple):
    """The result of one seed.

    Attributes:
      seed: the seed.
      violations: the violated guarantees.
      sent: number of requests sent.
      served_count: number of requests with a complete 200 response.
      faults: the injected faults, in order.
      duration_s: duration in seconds.
    """

    seed: int
    violations: list[str]
    sent: int
    served_count: int
    faults: list[str]
    duration_s: float


def _parts(rng: random.Random, deadly: bool) -> dict[str, str]:
    """Returns the header that names the parts of a prompt."""
    second = DEADLY_PART if deadly else f"second{rng.randrange(4)}"
    names = ("first", second, f"own{rng.getrandbits(32):x}")
    prefix = ",".join(f"{name}:5" for name in names)
    return {"Azureline-Prompt-Prefix": prefix}


class SoakRun:
    """The run of one seed."""

    def __init__(
        self,
        seed: int,
        processes: deployment.Deployment,
        seconds: float,
        lose_nodes: bool = False,
    ):
        """Creates a soak test; `run` starts the processes.

        Args:
          seed: seed of all random choices.
          processes: starts and signals the processes.
          seconds: duration of the fault injection.
          lose_nodes: whether all nodes are killed at once now and then while
            requests crash servers.
        """
        self._rng = random.Random(seed)
        self._processes = processes
        self._seconds = seconds
        self._sent: list[soak_checks.SentRequest] = []
        self._streams: list[soak_checks.TakenStream] = []
        self._stopping = threading.Event()
        self._down: set[str] = set()
        # Unix times at which each node was stopped or paused.  Such a node may
        # have lost its state or be late, so the checks exempt it for a while.
        self._disturbed: dict[str, list[float]] = {n: [] for n in NODES}
        self._send_deadly = False
        self._send_deadly_part = False
        # A generator of its own, so that seeds draw the same faults as before.
        self._crash_fault, self._crash_patience_s = random.Random(
            f"crash {seed}"
        ).choice(CRASH_VARIANTS)
        self._losses = random.Random(f"losses {seed}") if lose_nodes else None
        self._faults = [f"crashes: {json.dumps(self._crash_fault)}"]
        self._version = 7
        self._proxy: soak_proxy.FaultProxy

    def run(self) -> tuple[list[str], list[soak_checks.SentRequest], list[str]]:
        """Runs to the end; returns violations, requests and faults."""
        with contextlib.ExitStack() as stack:
            self._start(stack)
            threads = stack.enter_context(
                concurrent.futures.ThreadPoolExecutor(CALLERS)
            )
            stack.callback(self._stopping.set)
            seeds = [self._rng.random() for _ in range(CALLERS)]
            for seed in seeds:
                threads.submit(self._run_caller, random.Random(seed))
            self._inject()
            self._send_deadly = self._send_deadly_part = False
            recovered = self._recovered()
            self._stopping.set()
            threads.shutdown()
            seen = {name: self._recorded(name) for name in SERVERS}
        found = soak_checks.find_violations(self._sent, seen, self._disturbed)
        found += soak_checks.check_streams(self._streams)
        deadly = [one for one in self._sent if one.kind == "deadly"]
        ledgers = {name: seen[name] for name in SERVERS[2:]}
        found += soak_checks.find_late_crashing_runs(
            deadly, ledgers, self._disturbed
        )
        prompts = [one for one in self._sent if one.kind == "deadly_part"]
        found += soak_checks.find_late_prompts(prompts, seen, self._disturbed)
        if not recovered:
            found.append(f"RECOVER: not served within {RECOVERY_TIMEOUT_S:g} s")
        return found, self._sent, self._faults

    def _start(self, stack: contextlib.ExitStack) -> None:
        processes = self._processes
        url = processes.start_site_store(builders_relay.site_document())
        host, _, port = url.removeprefix("http://").rpartition(":")
        self._proxy = soak_proxy.FaultProxy(host, (host, int(port)))
        stack.callback(self._proxy.close)
        for number, models in ((1, ["m0", "m1"]), (2, ["m0"])):
            processes.start_site_server(
                f"engine-{number}",
                service="llm",
                models=True,
                resident=models,
                version=f"v{number}",
            )
            processes.start_site_server(f"ledger-{number}", service="ledger")
        for name in NODES:
            self._start_node(name)
        for name in NODES:
            deployment.wait_until(
                name, lambda name=name: self._ready(name), READY_TIMEOUT_S
            )

    def _start_node(self, name: str) -> None:
        domain = f"d{NODES.index(name) % 2}"
        store = {"address": self._proxy.address}
        self._processes.start_relay(name, domain, store=store)

    def _ready(self, name: str) -> bool:
        host = self._processes.urls[name].rpartition(":")[0]
        url = f"{host}:{deployment.READY_PORT}/readyz"
        try:
            urllib.request.urlopen(url, timeout=1).read()
        except OSError:
            return False
        return True

    def _run_caller(self, rng: random.Random) -> None:
        while not self._stopping.is_set():
            self._call(rng, rng.choice(NODES))
            time.sleep(rng.uniform(0.0, 0.15))

    def _take_up(
        self,
        rng: random.Random,
        first: site_caller.Answer,
        model: str,
        tokens: int,
    ) -> None:
        """Takes a stream that broke off up again, at any node."""
        events, versions = first.whole_events, set(first.versions)
        for _ in range(MAX_TAKE_UPS):
            if not events or (first.complete and first.status == 200):
                break
            time.sleep(rng.uniform(0.0, 0.3))
            url = self._processes.urls[rng.choice(NODES)]
            answer = site_caller.Caller(url).send(
                "/again/x",
                model,
                tokens=tokens,
                headers={
                    "Last-Event-Id": events[-1],
                    "Resumes": first.request_id,
                },
            )
            if answer.status == 200:
                events += answer.whole_events
                versions |= answer.versions
                if answer.complete:
                    break
        taken = soak_checks.TakenStream(tuple(events), frozenset(versions))
        self._streams.append(taken)

    def _call(self, rng: random.Random, node: str) -> site_caller.Answer:
        caller, at = site_caller.Caller(self._processes.urls[node]), time.time()
        if self._send_deadly and rng.random() < CRASHING_FRACTION:
            answer = caller.send(
                "/look/deadly",
                method="GET",
                leave_after_s=self._crash_patience_s,
            )
            sent = soak_checks.SentRequest("deadly", 0, answer, node, at)
            self._sent.append(sent)
            return answer
        if self._send_deadly_part and rng.random() < CRASHING_FRACTION:
            path, headers = (
                rng.choice(("/ask/x", "/again/x")),
                _parts(rng, True),
            )
            answer = caller.send(
                path,
                "m0",
                headers=headers,
                leave_after_s=self._crash_patience_s,
            )
            sent = soak_checks.SentRequest("deadly_part", 0, answer, node, at)
            self._sent.append(sent)
            return answer
        kind = rng.choice(("look", "post", "ask", "again"))
        tokens = rng.randint(1, 30)
        model = rng.choice(("m0", "m0", "m1", "m2"))
        if kind == "ask" and rng.random() < 0.5:
            model = f"m0/a{rng.randint(1, 3)}"
        if kind in ("look", "post"):
            method = "GET" if kind == "look" else "POST"
            answer = caller.send(
                f"/{kind}/x", method=method, wait_limit_ms=3000
            )
        else:
            answer = caller.send(
                f"/{kind}/x",
                model,
                tokens=tokens,
                wait_limit_ms=5000,
                headers=_parts(rng, False),
            )
        sent = soak_checks.SentRequest(kind, tokens, answer, node, at)
        self._sent.append(sent)
        if kind == "again" and answer.status == 200:
            self._take_up(rng, answer, model, tokens)
        return answer

    def _inject(self) -> None:
        ends_at = time.monotonic() + self._seconds
        active: list[tuple[float, Any]] = []
        while time.monotonic() < ends_at:
            self._end_expired_faults(active, time.monotonic())
            name, lasts_s, end = self._fault()
            self._faults.append(name)
            active.append((time.monotonic() + lasts_s, end))
            if self._loses_nodes():
                active += [(time.monotonic(), e) for e in self._lose_nodes()]
            time.sleep(self._rng.uniform(0.3, 1.5))
        self._end_expired_faults(active, float("inf"))

    def _end_expired_faults(
        self, active: list[tuple[float, Any]], now: float
    ) -> None:
        for expired in [entry for entry in active if entry[0] <= now]:
            active.remove(expired)
            expired[1]()

    def _fault(self) -> tuple[str, float, Any]:
        """Injects a fault; returns its name, duration and a call to end it."""
        lasts_s = self._rng.uniform(0.3, 2.5)
        instant = self._instant_faults(lasts_s)
        choice = self._rng.choice(
            (
                *("kill", "stop", "pause", "delay", "one_way"),
                *("limit", "limit_all"),
                *instant,
            )
        )
        node = self._rng.choice(NODES)
        match choice:
            case "delay":
                self._proxy.set_delay(0.1)
                return choice, lasts_s, lambda: self._proxy.set_delay(0.0)
            case "one_way":
                self._proxy.drop_replies(True)
                return choice, lasts_s, lambda: self._proxy.drop_replies(False)
            case "limit" | "limit_all":
                return self._name_limit(choice, lasts_s)
            case "kill" | "stop" | "pause" if node in self._down:
                return f"{choice} {node} (down already)", 0.0, _no_op
            case "kill" | "stop":
                return self._stop_node(choice, node, lasts_s)
            case "pause":
                self._signal(node, signal.SIGSTOP)
                self._down.add(node)
                self._disturbed[node].append(time.time())
                return f"pause {node}", lasts_s, lambda: self._resume(node)
        instant[choice]()
        return choice, 0.0, _no_op

    def _instant_faults(self, lasts_s: float) -> dict[str, Callable[[], None]]:
        """Returns the faults that end by themselves."""
        rng = self._rng
        server, engine = rng.choice(SERVERS), rng.choice(SERVERS[:2])
        lost_replies = rng.randint(1, 4)
        restore = {"age_s": rng.uniform(0.5, 9.0), "down_s": lasts_s / 2}
        return {
            "lose": lambda: self._post_faults(
                "store", lose_answers=lost_replies
            ),
            "down": lambda: self._post_faults("store", down_s=lasts_s),
            "forget": lambda: self._post_faults("store", forget=True),
            "restore": lambda: self._post_faults("store", restore=restore),
            "reset": self._proxy.reset,
            "silence": self._proxy.freeze_connections,
            "server_reset": lambda: self._post_faults(server, reset=2),
            "cut": lambda: self._post_faults(engine, cut=3),
            "server_mute": lambda: self._post_faults(server, mute=1),
            "leave": lambda: self._post_faults(
                server, leave=lasts_s + MIN_LEAVING_NOTICE_S
            ),
            "ask_pause": lambda: self._post_faults(
                server, pause={"seconds": 1.0 + lasts_s, "for_s": 0.5}
            ),
            "deadly": self._begin_deadly,
            "deadly_part": self._begin_deadly_part,
            "late_orders": lambda: self._post_faults(engine, late_orders=2),
            "config": self._change_config,
        }

    def _stop_node(
        self, choice: str, node: str, lasts_s: float
    ) -> tuple[str, float, Any]:
        is_kill = choice == "kill"
        self._signal(node, signal.SIGKILL if is_kill else signal.SIGTERM)
        self._down.add(node)
        self._disturbed[node].append(time.time())

        def start() -> None:
            self._processes.wait(node)
            self._start_node(node)
            self._down.discard(node)

        return f"{choice} {node}", lasts_s, start

    def _loses_nodes(self) -> bool:
        """Returns whether all nodes are lost now."""
        if self._losses is None or not self._send_deadly:
            return False
        return self._losses.random() < LOSS_FRACTION

    def _lose_nodes(self) -> list[Any]:
        """Kills all running nodes; returns the calls that start them again."""
        self._faults.append("kill all")
        running = [node for node in NODES if node not in self._down]
        return [self._stop_node("kill", node, 0.0)[2] for node in running]

    def _resume(self, node: str) -> None:
        self._signal(node, signal.SIGCONT)
        self._down.discard(node)

    def _signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self._processes.pid(name), number)

    def _name_limit(
        self, choice: str, lasts_s: float
    ) -> tuple[str, float, Any]:
        """Lets one server, or all servers of a service, name a limit."""
        server = self._rng.choice(SERVERS)
        service = server.partition("-")[0]
        limited = [n for n in SERVERS if n.startswith(service)]
        if choice == "limit":
            limited = [server]
        per_s = self._rng.choice((0.5, 1.0, 2.0, 4.0))

        def name(for_s: float) -> None:
            limit = {"per_s": per_s, "for_s": for_s}
            for one in limited:
                self._post_faults(one, limit=limit)

        name(2.0 * self._seconds)
        return (
            f"{choice} {server} {per_s:g}",
            MIN_LIMIT_S + lasts_s,
            lambda: name(0.0),
        )

    def _begin_deadly(self) -> None:
        for name in SERVERS[2:]:
            self._post_faults(
                name, deadly={"mark": "deadly", **self._crash_fault}
            )
        self._send_deadly = True

    def _begin_deadly_part(self) -> None:
        for name in SERVERS[:2]:
            self._post_faults(
                name, deadly={"parts": [DEADLY_PART], **self._crash_fault}
            )
        self._send_deadly_part = True

    def _change_config(self) -> None:
        self._version += self._rng.randint(1, 3)
        document = builders_relay.site_document(self._version)
        self._post_faults("store", operator=document)

    def _post_faults(self, name: str, **faults: Any) -> None:
        request = urllib.request.Request(
            self._processes.urls[name] + "/faults",
            json.dumps(faults).encode(),
            method="POST",
        )
        _fetch(request)

    def _recorded(self, name: str) -> dict[str, Any]:
        return json.loads(_fetch(self._processes.urls[name] + "/runs"))

    def _recovered(self) -> bool:
        """Returns whether all nodes serve requests again within the limit."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        pending = set(NODES)
        rng = random.Random(1)
        while pending and time.monotonic() < deadline:
            for node in sorted(pending):
                answers = [self._call(rng, node) for _ in range(4)]
                if all(a.status == 200 and a.complete for a in answers):
                    pending.discard(node)
            time.sleep(0.2)
        return not pending


def _fetch(request: urllib.request.Request | str) -> bytes:
    """Returns a stand-in's response; retries while a server restarts."""
    deadline = time.monotonic() + RESTART_TIMEOUT_S
    while True:
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.read()
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.2)


def _no_op() -> None:
    return None


def run_seed(seed: int, seconds: float, lose_nodes: bool = False) -> Result:
    """Runs one seed from the start of its processes to their end."""
    began = time.monotonic()
    with deployment.Deployment() as processes:
        run = SoakRun(seed, processes, seconds, lose_nodes)
        broken, sent, faults = run.run()
        if broken:
            for name in NODES:
                print(processes.log_tail(name, 400), file=sys.stderr)
    served = sum(s.answer.status == 200 and s.answer.complete for s in sent)
    took_s = time.monotonic() - began
    return Result(seed, broken, len(sent), served, faults, took_s)


def main(
    first: int = 1,
    seeds: int = 1,
    seconds: float = 12.0,
    lose_nodes: bool = False,
) -> None:
    """Runs seeds one after the other; exits with 1 if any check failed.

    Args:
      first: the first seed.
      seeds: the number of seeds.
      seconds: duration of the fault injection per seed.
      lose_nodes: also kill all nodes at once while requests crash servers.
    """
    failed = []
    for seed in range(first, first + seeds):
        result = run_seed(seed, seconds, lose_nodes)
        print(
            f"seed {seed}: {result.served_count} of {result.sent} served, "
            f"{len(result.faults)} faults, {result.duration_s:.0f} s, "
            f"{'; '.join(result.violations) or 'kept'}",
            flush=True,
        )
        if result.violations:
            failed.append(seed)
            print("  " + ", ".join(result.faults), flush=True)
    print(f"{seeds - len(failed)} of {seeds} seeds kept; failed: {failed}")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
