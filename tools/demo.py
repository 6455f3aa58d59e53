"""Runs azureline's main functions as real processes and checks each result.

Starts the platform, two model engines, a ledger engine, a plain service and
three nodes, applies a configuration and then acts as a caller.  Exits with 0
only if every check passed.
"""

from collections.abc import Sequence
import hashlib
import json
import signal
import sys
import time
from typing import Annotated
from typing import Any

import typer

from standins import answers
from tools import caller
from tools import deployment

KEY = "demo-key"
MODEL = "seam-advice"
ADAPTER = "lot-notes"
QUESTION = [{"role": "user", "content": "Which chuck for a 73 mm end?"}]
SERVING_TIMEOUT_S = 60.0
DOMAINS = ("d1", "d2", "d3")
NODES = ("node-1", "node-2", "node-3")

BASE = """\
// Shared by all sites.
{
  "models": {
    "seam-advice": {"memory_bytes": "14 GiB"},
    "wear-report": {"memory_bytes": "20 GiB"},
    "dial-review": {"memory_bytes": "9 GiB"}
  },
  "adapters": {
    "lot-notes": {"model": "seam-advice", "memory_bytes": "48 MiB"}
  },
  "services": {
    "approvals": {"role": "ledger", "servers": ["ledger-*"]},
    "stock": {
      "role": "service",
      "servers": ["stock-*"],
      "idempotent": true
    }
  },
  "callers": {
    "demo": {"key_sha256": "%s", "max_priority": "urgent"}
  }
}
"""

OVERLAY = """\
// Specific to this site: its engines.
{
  "site": "demo",
  "engines": {
    "$add": {
      "engine-1": {"domain": "d1", "memory_bytes": "80 GiB"},
      "engine-2": {"domain": "d2", "memory_bytes": "80 GiB"},
      "ledger-1": {"role": "ledger", "domain": "d3"}
    }
  }
}
"""


def key_digest() -> str:
    """Returns the digest of the caller's API key for the configuration."""
    return hashlib.sha256(KEY.encode()).hexdigest()


class Checks:
    """Prints each check and records those that failed."""

    def __init__(self):
        self.failed: list[str] = []

    def check(self, what: str, held: Any, detail: Any = "") -> None:
        """Records one check.

        Args:
          what: the statement that is checked.
          held: whether the statement is true.
          detail: the observed value, printed if the statement is false.
        """
        print(f"{'ok  ' if held else 'FAIL'}  {what}", flush=True)
        if not held:
            self.failed.append(what)
            print(f"      seen: {detail!r}"[:2000], flush=True)


def start(fleet: deployment.Deployment) -> None:
    """Starts all processes."""
    fleet.start_standin("platform", "platform", store_rate=4.0)
    for name, domain, fences in (
        ("engine-1", "d1", True),
        ("engine-2", "d2", False),
    ):
        fleet.start_standin(
            "engine",
            name,
            domain=domain,
            memory_bytes=80 << 30,
            fences=fences,
        )
    fleet.start_standin("ledger", "ledger-1", domain="d3")
    fleet.start_standin("service", "stock-1", domain="d1")
    for name, domain in zip(NODES, DOMAINS, strict=True):
        fleet.start_node(name, domain)


def apply_config(
    fleet: deployment.Deployment, checks: Checks, base: str, overlay: str
) -> None:
    """Applies a base file and an overlay."""
    paths = [fleet.folder / "base.json", fleet.folder / "overlay.json"]
    for path, text in zip(paths, (base, overlay), strict=True):
        path.write_text(text)
    platform = ("--platform", fleet.urls["platform"])
    applied = fleet.run_command("config", "apply", *map(str, paths), *platform)
    if applied.returncode != 0:
        raise deployment.StartError(f"config apply: {applied.stderr}")
    checks.check("base and overlay are applied", True)


def wait_until_served(
    fleet: deployment.Deployment, checks: Checks, names: Sequence[str]
) -> None:
    """Waits until every node is ready and serves the model."""
    for name in names:
        node = caller.Caller(fleet.urls[name])
        deployment.wait_until(
            f"{name} is ready",
            lambda node=node: node.call("GET", "/readyz").status == 200,
            SERVING_TIMEOUT_S,
        )
    checks.check("every node is ready", True)
    for name in names:
        deployment.wait_until(
            f"{name} serves {MODEL}",
            lambda name=name: _chat(fleet, name, MODEL, 1).complete,
            SERVING_TIMEOUT_S,
        )
    checks.check("every node serves the model", True)


def check_streams(fleet: deployment.Deployment, checks: Checks) -> None:
    """Reads streamed answers and compares them with the expected text."""
    _check_answer(fleet, checks, "node-1", MODEL, "")
    _check_answer(fleet, checks, "node-2", MODEL, ADAPTER)


def check_duplicate_approval(
    fleet: deployment.Deployment, checks: Checks
) -> None:
    """Sends one approval through two nodes; it must run once."""
    headers = {"Idempotency-Key": caller.new_key(), "X-Deadline-S": "20"}
    sent = [
        _approve(fleet, name, headers, {"lot": 7341, "approved": True})
        for name in ("node-1", "node-2")
    ]
    checks.check(
        "the approval sent through two nodes is answered twice",
        [answer.status for answer in sent] == [200, 200],
        sent,
    )
    checks.check("both answers are equal", sent[0].body == sent[1].body, sent)
    count = caller.Caller(fleet.urls["ledger-1"]).call("GET", "/count")
    checks.check(
        "the ledger ran it once", count.document.get("runs") == 1, count
    )
    other = _approve(fleet, "node-3", headers, {"lot": 7341, "approved": False})
    checks.check(
        "the same key with another body is refused as not run",
        other.document.get("kind") == "key_reused"
        and other.document.get("ran") == "no",
        other,
    )


def check_stock_lookup(fleet: deployment.Deployment, checks: Checks) -> None:
    """Calls the plain service."""
    found = caller.Caller(fleet.urls["node-3"], KEY).call(
        "GET", "/v1/services/stock/needles/90-14?shop=2"
    )
    checks.check("a stock lookup is answered", found.status == 200, found)


def show_status(fleet: deployment.Deployment, checks: Checks) -> None:
    """Prints the output of the status command."""
    shown = fleet.run_command("status", "--node", fleet.urls["node-2"])
    print(shown.stdout)
    checks.check("the status is shown", shown.returncode == 0, shown.stderr)


def check_node_loss(fleet: deployment.Deployment, checks: Checks) -> None:
    """Kills node 1 during a stream; the other nodes must keep serving."""
    lost_stream = _chunks(fleet, "node-1", 400)
    other_stream = _chunks(fleet, "node-2", 400)
    for _ in range(20):
        next(lost_stream, {})
        next(other_stream, {})
    fleet.kill("node-1")
    rest = list(lost_stream)
    checks.check(
        "a stream through the killed node does not look whole",
        not any("done" in chunk for chunk in rest),
        rest[-1:],
    )
    chunks = list(other_stream)
    text = "".join(caller.content(chunk) for chunk in chunks)
    expected = answers.text(MODEL, "", QUESTION, 400)
    checks.check(
        "a stream through another node meanwhile is whole",
        chunks[-1:] == [{"done": True}] and expected.endswith(text),
        chunks[-1:],
    )
    for name in NODES[1:]:
        _check_answer(fleet, checks, name, MODEL, "")
    headers = {"Idempotency-Key": caller.new_key(), "X-Deadline-S": "20"}
    answer = _approve(fleet, "node-3", headers, {"lot": 7342})
    checks.check(
        "an approval after the loss is answered", answer.status == 200, answer
    )


def _approve(
    fleet: deployment.Deployment, name: str, headers: Any, value: Any
) -> caller.Answer:
    """Sends an approval; retries refusals that did not run, as advised."""
    deadline = time.monotonic() + SERVING_TIMEOUT_S
    while True:
        answer = caller.Caller(fleet.urls[name], KEY).call(
            "POST", "/v1/services/approvals/lots/approve", value, headers
        )
        wait_s = answer.document.get("retry_after")
        expired = time.monotonic() > deadline
        if answer.document.get("ran") != "no" or wait_s is None or expired:
            return answer
        time.sleep(wait_s)


def _chat(
    fleet: deployment.Deployment, name: str, model: str, max_tokens: int
) -> caller.StreamedText:
    node = caller.Caller(fleet.urls[name], KEY)
    return node.chat(model, QUESTION, max_tokens)


def _chunks(fleet: deployment.Deployment, name: str, max_tokens: int) -> Any:
    node = caller.Caller(fleet.urls[name], KEY)
    return node.chunks(MODEL, QUESTION, max_tokens)


def _check_answer(
    fleet: deployment.Deployment,
    checks: Checks,
    name: str,
    model: str,
    adapter: str,
) -> None:
    """Retries while the request is refused, then compares the text."""
    answer = deployment.wait_until(
        f"{name} answers for {adapter or model}",
        lambda: _unless_refused(_chat(fleet, name, adapter or model, 64)),
        SERVING_TIMEOUT_S,
    )
    expected = answers.text(model, adapter, QUESTION, 64)
    checks.check(
        f"an answer of {adapter or model} through {name} is whole",
        answer.complete and answer.text == expected,
        answer,
    )


def _unless_refused(answer: caller.StreamedText) -> Any:
    refused = answer.problem.get("ran") == "no" and not answer.text
    return None if refused else answer


def main(
    program: Annotated[
        str, typer.Option(help="The built azureline to run.")
    ] = "",
) -> None:
    """Runs the demo."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    checks = Checks()
    with deployment.Deployment([program] if program else None) as fleet:
        try:
            start(fleet)
            apply_config(fleet, checks, BASE % key_digest(), OVERLAY)
            wait_until_served(fleet, checks, NODES)
            check_streams(fleet, checks)
            check_duplicate_approval(fleet, checks)
            check_stock_lookup(fleet, checks)
            show_status(fleet, checks)
            check_node_loss(fleet, checks)
        except deployment.StartError as e:
            checks.check(str(e), False)
        if checks.failed:
            for name in NODES:
                if name in fleet.urls:
                    print(f"--- log of {name}\n{fleet.log_tail(name)}")
    print(json.dumps({"failed": checks.failed}))
    sys.exit(1 if checks.failed else 0)


if __name__ == "__main__":
    typer.run(main)
