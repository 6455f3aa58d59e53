"""A deployment of real processes for failure tests."""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import json
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
    """Three nodes, engines, a ledger and a service, with fault injection."""

    def __init__(self, processes: deployment.Deployment):
        self.processes = processes
        self.frozen: set[str] = set()
        self.killed: set[str] = set()
        self._models: dict[str, str] = {}
        self._limits: dict[str, int] = {}

    def caller(self, node: str, timeout_s: float = 30.0) -> callers.Caller:
        """Returns a caller of one node."""
        url = self.processes.urls[node]
        return callers.Caller(url, demo.KEY, timeout_s)

    def inject_fault(self, vm: str, **faults: Any) -> None:
        """Injects faults into a stand-in."""
        url = self.processes.urls[vm]
        answer = callers.Caller(url).call("POST", "/faults", faults)
        assert answer.status == 200, answer

    def signal(self, vm: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this deployment."""
        os.kill(self.processes.pid(vm), number)

    def chat(self, node: str, tokens: int) -> callers.StreamedText:
        """Reads a streamed answer to its end."""
        return self.caller(node).chat(demo.MODEL, QUESTION, tokens)

    def is_complete(self, seen: callers.StreamedText, tokens: int) -> bool:
        """Returns whether an answer is complete and has the expected text."""
        text = answers.text(demo.MODEL, "", QUESTION, tokens)
        return seen.complete and seen.text == text

    def approve(
        self, node: str, key: str, lot: int, deadline_s: float = 10.0
    ) -> callers.Answer:
        """Sends an approval, which must run at most once."""
        return self.caller(node, deadline_s + 5).call(
            "POST",
            "/v1/services/approvals/lots",
            {"lot": lot},
            {"Idempotency-Key": key, "X-Deadline-S": str(deadline_s)},
        )

    def approve_until_final(
        self, nodes: tuple[str, ...], key: str, lot: int, tries: int = 30
    ) -> list[callers.Answer]:
        """Retries an approval with the same key until the answer is final."""
        seen = []
        for number in range(tries):
            node = nodes[number % len(nodes)]
            seen.append(self.approve(node, key, lot))
            if seen[-1].status == 200 or _is_final(seen[-1]):
                break
            time.sleep(0.5)
        return seen

    def start_chat(
        self, node: str, tokens: int
    ) -> tuple[concurrent.futures.Future, Any]:
        """Starts a stream; returns its future and its engine's name."""
        future = self.in_background(self.chat, node, tokens)
        busy = deployment.wait_until(
            "an engine runs the stream", self.busy_engines, READY_S
        )
        return future, busy[0]

    def chat_until_whole(
        self, nodes: tuple[str, ...], tokens: int, question: Any = None
    ) -> list[callers.StreamedText]:
        """Retries, as a caller would, until an answer is complete."""
        messages = question or QUESTION
        seen = []
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            node = nodes[len(seen) % len(nodes)]
            chat = self.caller(node).chat(demo.MODEL, messages, tokens)
            seen.append(chat)
            if chat.complete:
                break
            time.sleep(0.5)
        return seen

    def report(self, engine: str) -> dict[str, Any]:
        """Returns an engine's own report, or {} if it does not answer."""
        url = self.processes.urls[engine]
        return (
            callers.Caller(url, timeout_s=2.0).call("GET", "/report").document
        )

    def engines(self) -> list[str]:
        """Returns the names of all engines that were started."""
        names = self.processes.urls
        return sorted(n for n in names if n.startswith("engine-"))

    def busy_engines(self) -> list[str]:
        """Returns the engines that report running streams."""
        return [e for e in self.engines() if self.report(e).get("running")]

    def ready_models(self, engine: str) -> set[str]:
        """Returns the models that an engine reports as ready."""
        models = self.report(engine).get("models", [])
        return {m["name"] for m in models if m["state"] == "ready"}

    def alive(self, vm: str) -> bool:
        """Returns whether a process still runs."""
        pid = self.processes.pid(vm)
        try:
            with open(f"/proc/{pid}/stat") as stat:
                return stat.read().rpartition(")")[2].split()[0] != "Z"
        except FileNotFoundError:
            return False

    def exit_code(self, vm: str, timeout_s: float) -> int:
        """Waits until a stopping process exits; returns its exit code."""
        pid = self.processes.pid(vm)
        status = deployment.wait_until(
            f"{vm} ends",
            lambda: os.waitid(
                os.P_PID, pid, os.WEXITED | os.WNOWAIT | os.WNOHANG
            ),
            timeout_s,
        )
        assert status.si_code == os.CLD_EXITED, status
        return status.si_status

    def start_engine(self, number: int, **options: Any) -> None:
        """Starts or restarts the engine with a number."""
        _start_engine(self.processes, number, **options)

    def configure(self, models: dict[str, str], **limits: int) -> str:
        """Extends and applies the configuration; returns the command's output.

        Args:
          models: models to add, with their memory.
          **limits: limits of the site to set.
        """
        self._models |= models
        self._limits |= limits
        base = demo.BASE % demo.key_digest()
        for name, size in self._models.items():
            entry = f'"{name}": {{"memory_bytes": "{size}"}},'
            base = base.replace('"models": {', f'"models": {{{entry}', 1)
        overlay = _overlay(len(self.engines()), self._limits)
        paths = [self.processes.folder / f"{n}.json" for n in ("base", "site")]
        for path, text in zip(paths, (base, overlay), strict=True):
            path.write_text(text)
        platform = ("--platform", self.processes.urls["platform"])
        applied = self.processes.run_command(
            "config", "apply", *map(str, paths), *platform
        )
        assert applied.returncode == 0, applied.stderr
        return applied.stdout

    def versions(self, nodes: tuple[str, ...] = NODES) -> list[int]:
        """Returns the configuration version that each node reports."""
        return [self.status(node).get("config_version", 0) for node in nodes]

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
def running(
    engines: int = 2, program: str = "", **engine_options: Any
) -> Iterator[Fleet]:
    """Runs a fleet until the block ends; it serves when the block starts.

    Args:
      engines: number of model engines.
      program: the built azureline to run; by default the package itself.
      **engine_options: options of the engines' command line.
    """
    command = [program] if program else None
    with deployment.Deployment(command) as processes:
        processes.start_standin("platform", "platform", store_rate=4.0)
        resident = [f"{demo.MODEL}@1={14 * GIB}"]
        for number in range(1, engines + 1):
            _start_engine(
                processes, number, resident=resident, **engine_options
            )
        processes.start_standin("ledger", "ledger-1", domain="d3")
        processes.start_standin("service", "stock-1", domain="d1")
        for name, domain in zip(NODES, demo.DOMAINS, strict=True):
            processes.start_node(name, domain, timeouts={"drain_notice_s": 1.0})
        fleet = Fleet(processes)
        fleet.configure({})
        try:
            _wait_until_served(fleet)
        except deployment.StartError as e:
            logs = [f"--- {n}\n{processes.log_tail(n)}" for n in NODES]
            raise deployment.StartError("\n".join([str(e), *logs])) from e
        try:
            yield fleet
        finally:
            for name in fleet.frozen:
                fleet.signal(name, signal.SIGCONT)


def _start_engine(
    processes: deployment.Deployment, number: int, **options: Any
) -> None:
    processes.start_standin(
        "engine",
        f"engine-{number}",
        domain=f"d{(number - 1) % 3 + 1}",
        memory_bytes=80 * GIB,
        fences=number == 1,
        **options,
    )


def _overlay(engines: int, limits: dict[str, int]) -> str:
    added: dict[str, Any] = {"ledger-1": {"role": "ledger", "domain": "d3"}}
    for number in range(1, engines + 1):
        added[f"engine-{number}"] = {
            "domain": f"d{(number - 1) % 3 + 1}",
            "memory_bytes": "80 GiB",
        }
    document = {"site": "demo", "engines": {"$add": added}, "limits": limits}
    return json.dumps(document)


def _wait_until_served(fleet: Fleet) -> None:
    for node in NODES:
        deployment.wait_until(
            f"{node} serves",
            lambda node=node: fleet.chat(node, 1).complete,
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
