"""Reads the state of the fleet from nodes and the platform."""

import json
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client

from azureline.config import rollout
from azureline.config import store
from azureline.platform import http
from azureline.platform import interface

POLL_S = 0.25
STATUS_PATH = "/operators/status"


class NoResponse(NamedTuple):
    """Falsy sentinel: the node gave no usable answer.

    Attributes:
      reason: cause of the failure.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


async def read_status(
    reactor: Any, node: str, timeout_s: float
) -> dict[str, Any] | NoResponse:
    """Reads the status document of a node.

    Args:
      reactor: the reactor.
      node: "HOST:PORT" of its HTTP interface, or the URL of its root.
      timeout_s: seconds that the call may take.
    """
    root = node if "://" in node else f"http://{node}"
    agent = client.Agent(reactor, connectTimeout=timeout_s)
    url = root.rstrip("/") + STATUS_PATH
    response = agent.request(b"GET", url.encode())
    response.addCallback(_read)
    response.addTimeout(timeout_s, reactor)
    try:
        code, body = await response
        if code != 200:
            return NoResponse(f"{url} answered with status {code}")
        return json.loads(body)
    except (ValueError, defer.TimeoutError) as e:
        return NoResponse(f"{url} gave no usable answer: {e}")
    except Exception as e:  # Any failure means that there is no status.
        return NoResponse(f"{url} gave no answer: {type(e).__name__}: {e}")


async def read_expected(
    reactor: Any, platform: str, timeout_s: float
) -> rollout.Expected | NoResponse:
    """Reads the accepted version and the entry VMs from the platform.

    Args:
      reactor: the reactor.
      platform: root of the platform's HTTP interface; "" reads nothing.
      timeout_s: seconds that one call may take.
    """
    if not platform:
        return rollout.Expected(0, {})
    stored = await store.read(http.HttpKeyValue(reactor, platform, timeout_s))
    if not isinstance(stored, store.Stored):
        return NoResponse(f"{platform}: {stored.reason}")
    listed = await http.HttpVmList(reactor, platform, timeout_s).list()
    if isinstance(listed, interface.Unavailable):
        return NoResponse(f"{platform}: {listed.reason}")
    domains = {
        vm.name: vm.domain
        for vm in listed
        if vm.role == "node" and not vm.leaving
    }
    accepted = stored.accepted.version if stored.accepted else 0
    return rollout.Expected(accepted, domains)


async def poll_rollout(
    reactor: Any, node: str, platform: str, timeout_s: float, wait_s: float
) -> rollout.Rollout | NoResponse:
    """Polls the versions in force until the newest is in force everywhere.

    Args:
      reactor: the reactor.
      node: see `read_status`.
      platform: see `read_expected`.
      timeout_s: seconds that one call may take.
      wait_s: seconds after which the current state is returned.
    """
    expected = await read_expected(reactor, platform, timeout_s)
    if isinstance(expected, NoResponse):
        return expected
    give_up_at = reactor.seconds() + wait_s
    while True:
        document = await read_status(reactor, node, timeout_s)
        if isinstance(document, NoResponse):
            return document
        found = rollout.summarize(document["nodes"], expected)
        if found.complete or reactor.seconds() >= give_up_at:
            return found
        await task.deferLater(reactor, POLL_S, lambda: None)


def _read(response: Any) -> defer.Deferred[tuple[int, bytes]]:
    reading = client.readBody(response)
    return reading.addCallback(lambda body: (response.code, body))
