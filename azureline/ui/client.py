"""Reads the state of the fleet from nodes and the platform."""

from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple
from urllib import parse

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client

from azureline.config import rollout
from azureline.config import store
from azureline.operators import explanations
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


class Refused(NamedTuple):
    """Falsy sentinel: the node refused the question.

    Attributes:
      reason: the node's reason.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class _Answer(NamedTuple):
    url: str
    code: int
    document: dict[str, Any]


async def read_status(
    reactor: Any, node: str, timeout_s: float
) -> dict[str, Any] | NoResponse:
    """Reads the status document of a node.

    Args:
      reactor: the reactor.
      node: "HOST:PORT" of its HTTP interface, or the URL of its root.
      timeout_s: seconds that the call may take.
    """
    answer = await _get(reactor, node, STATUS_PATH, timeout_s)
    if isinstance(answer, NoResponse):
        return answer
    if answer.code != 200:
        return NoResponse(f"{answer.url} answered with status {answer.code}")
    return answer.document


async def read_explanation(
    reactor: Any, node: str, asked: Mapping[str, str], timeout_s: float
) -> dict[str, Any] | NoResponse | Refused:
    """Reads where a relay node would send a request.

    Args:
      reactor: the reactor.
      node: "HOST:PORT" of its metrics, or the URL of their root.
      asked: the request; empty values are left out.
      timeout_s: seconds that the call may take.
    """
    query = parse.urlencode({k: v for k, v in asked.items() if v})
    path = f"{explanations.PATH}?{query}"
    answer = await _get(reactor, node, path, timeout_s)
    if isinstance(answer, NoResponse):
        return answer
    document = answer.document
    if answer.code == 200 and "engines" in document:
        return document
    if answer.code in (400, 404) and "error" in document:
        return Refused(str(document["error"]))
    return NoResponse(f"{answer.url} answered with status {answer.code}")


async def _get(
    reactor: Any, node: str, path: str, timeout_s: float
) -> _Answer | NoResponse:
    root = node if "://" in node else f"http://{node}"
    agent = client.Agent(reactor, connectTimeout=timeout_s)
    url = root.rstrip("/") + path
    response = agent.request(b"GET", url.encode())
    response.addCallback(_read)
    response.addTimeout(timeout_s, reactor)
    try:
        code, body = await response
        document = json.loads(body) if body else {}
        if not isinstance(document, dict):
            return NoResponse(f"{url} gave no JSON object")
        return _Answer(url, code, document)
    except (ValueError, defer.TimeoutError) as e:
        return NoResponse(f"{url} gave no usable answer: {e}")
    except Exception as e:  # Any failure means that there is no answer.
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
