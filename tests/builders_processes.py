"""A deployment of real processes for tests of failures."""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import os
import signal
import time
from typing import Any

from standins import answers
from tools import caller as callers
from tools import demo
from tools import deployment

GIB = 1 << 30
NODES = ("node-1", "node-2", "node-3")
QUESTION = [{"role": "user", "content": "Which chuck?"}]
KINDS = ("ran", "not_run", "unknown")
READY_S = 90.0


class Fleet:
    """Three nodes, two engines, a ledger and a service that can be failed."""

    def __init__(self, processes: deployment.Deployment):
        self.processes = processes
        self.stopped: set[str] = set()

    def caller(self, node: str, timeout_s: float = 30.0) -> callers.Caller:
        """Returns a caller of one node."""
        url = self.processes.urls[node]
        return callers.Caller(url, demo.KEY, timeout_s)

    def fault(self, vm: str, **faults: Any) -> None:
        """Makes a stand-in fail."""
        url = self.processes.urls[vm]
        answer = callers.Caller(url).call("POST", "/faults", faults)
        assert answer.status == 200, answer

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this deployment."""
        os.kill(self.processes.pid(vm), number)

    def chat(self, node: str, tokens: int) -> callers.StreamedText:
        """Reads a streamed answer to its end."""
        return self.caller(node).chat(demo.MODEL, QUESTION, tokens)

    def whole(self, seen: callers.StreamedText, tokens: int) -> bool:
        """Returns whether an answer is whole and as the engine gave it."""
        text = answers.text(demo.MODEL, "", QUESTION, tokens)
        return seen.whole and seen.text == text

    def approve(
        self, node: str, key: str, lot: int, deadline_s: float = 10.0
    ) -> callers.Answer:
        """Sends an approval, which may run once."""
        return self.caller(node, deadline_s + 5).call(
            "POST",
            "/v1/services/approvals/lots",
            {"lot": lot},
            {"Idempotency-Key": key, "X-Deadline-S": str(deadline_s)},
        )

    def approve_until_told(
        self, nodes: tuple[str, ...], key: str, lot: int, tries: int = 30
    ) -> list[callers.Answer]:
        """Sends an approval again until the answer is final."""
        seen = []
        for number in range(tries):
            node = nodes[number % len(nodes)]
            seen.append(self.approve(node, key, lot))
            if seen[-1].status == 200 or _is_final(seen[-1]):
                break
            time.sleep(0.5)
        return seen

    def runs(self) -> dict[str, int]:
        """Returns how often the ledger ran each key."""
        url = self.processes.urls["ledger-1"]
        return callers.Caller(url).call("GET", "/count").document["by_key"]

    def status(self, node: str) -> dict[str, Any]:
        """Returns the operators' status document."""
        return self.caller(node).call("GET", "/operators/status").document

    def in_background(
        self, function: Any, *args: Any
    ) -> concurrent.futures.Future:
        """Calls a function in a thread."""
        executor = concurrent.futures.ThreadPoolExecutor(1)
        future = executor.submit(function, *args)
        executor.shutdown(wait=False)
        return future


@contextlib.contextmanager
def running(**engine_options: Any) -> Iterator[Fleet]:
    """Starts a fleet that serves, and ends it."""
    with deployment.Deployment() as processes:
        processes.standin("platform", "platform", store_rate=4.0)
        for number in (1, 2):
            processes.standin(
                "engine",
                f"engine-{number}",
                domain=f"d{number}",
                memory_bytes=80 * GIB,
                fences=number == 1,
                resident=[f"{demo.MODEL}@1={14 * GIB}"],
                **engine_options,
            )
        processes.standin("ledger", "ledger-1", domain="d3")
        processes.standin("service", "stock-1", domain="d1")
        for name, domain in zip(NODES, demo.DOMAINS, strict=True):
            processes.node(name, domain, timeouts={"drain_notice_s": 1.0})
        demo.apply(
            processes,
            demo.Checks(),
            demo.BASE % demo.key_digest(),
            demo.OVERLAY,
        )
        fleet = Fleet(processes)
        try:
            _wait_until_served(fleet)
        except deployment.StartError as e:
            logs = [f"--- {n}\n{processes.log_tail(n)}" for n in NODES]
            raise deployment.StartError("\n".join([str(e), *logs])) from e
        try:
            yield fleet
        finally:
            for name in fleet.stopped:
                fleet.signal(name, signal.SIGCONT)


def _wait_until_served(fleet: Fleet) -> None:
    for node in NODES:
        deployment.wait_until(
            f"{node} serves",
            lambda node=node: fleet.chat(node, 1).whole,
            READY_S,
        )
        for slot in range(4):
            deployment.wait_until(
                f"{node} approves",
                lambda node=node, slot=slot: (
                    fleet.approve(node, callers.new_key(), slot).status == 200
                ),
                READY_S,
            )


def _is_final(answer: callers.Answer) -> bool:
    return answer.document.get("ran") in ("unknown", "yes")
