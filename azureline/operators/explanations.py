"""Explains where a request would go now, without sending it."""

from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import NamedTuple
from typing import TypedDict

from azureline.engine_choice import descriptions
from azureline.engine_choice import options
from azureline.relay import requests
from azureline.relay import routes

PATH = "/operators/explain"
# Longer prompts and more parts are no request that the relay would accept.
_MAX_TOKENS = 10_000_000
_MAX_PARTS = 64


class Explanation(TypedDict):
    """Where a request would go now, as one node sees it.

    Attributes:
      node: the node.
      config_version: the configuration in force there.
      model: the request's model.
      route: its route.
      service: the service that would serve it.
      engines: the engines in the order in which they would be tried.
      excluded: engines that hold the model but may get no requests now.
    """

    node: str
    config_version: int
    model: str
    route: str
    service: str
    engines: list[descriptions.Description]
    excluded: list[str]


class Ranked(NamedTuple):
    """The decision on a request.

    Attributes:
      engines: the engines in the order in which they would be tried.
      excluded: ids of engines that hold the model but may get no requests.
    """

    engines: list[options.Option]
    excluded: list[str]


class Page(NamedTuple):
    """An answer of the operators' interface.

    Attributes:
      status: HTTP status.
      body: JSON.
    """

    status: int
    body: bytes


class _Problem(NamedTuple):
    """Falsy sentinel: the request cannot be explained.

    Attributes:
      status: HTTP status.
      reason: the reason, for the operator.
    """

    status: int
    reason: str

    def __bool__(self) -> bool:
        return False


class Explainer:
    """Answers operators' questions at one node; changes no state."""

    def __init__(
        self,
        node: str,
        table: routes.RouteTable,
        rank: Callable[
            [requests.CallerRequest, routes.Route, routes.Service], Ranked
        ],
    ):
        """Creates an instance.

        Args:
          node: name of this node.
          table: the configuration in force.
          rank: the decision on a request, its route and its service.
        """
        self._node = node
        self._table = table
        self._rank = rank

    def answer(self, query: Mapping[str, str]) -> Page:
        """Returns the answer to a question.

        Args:
          query: `model`, and optionally `route`, `adapter`, `tokens` (of the
            prompt) and `prefix` (its shared parts, "NAME:TOKENS,...").
        """
        explained = self._explain(query)
        if isinstance(explained, _Problem):
            body = json.dumps({"error": explained.reason})
            return Page(explained.status, body.encode())
        return Page(200, json.dumps(explained).encode())

    def _explain(self, query: Mapping[str, str]) -> Explanation | _Problem:
        config = self._table.config
        if config is None:
            return _Problem(503, "the node has no configuration")
        request = _request(query)
        if isinstance(request, _Problem):
            return request
        found = _find(config, request.model, query.get("route", ""))
        if isinstance(found, _Problem):
            return found
        route, service = found
        ranked = self._rank(request, route, service)
        return {
            "node": self._node,
            "config_version": config.version,
            "model": request.model,
            "route": route.name,
            "service": service.name,
            "engines": [
                descriptions.describe(option) for option in ranked.engines
            ],
            "excluded": ranked.excluded,
        }


def _find(
    config: routes.SiteConfig, model: str, name: str
) -> tuple[routes.Route, routes.Service] | _Problem:
    """Returns the route and the service of a request for a model."""
    known = [r for r in config.routes if not name or r.name == name]
    if not known:
        return _Problem(404, f"no route is named {name}")
    for route in known:
        for share in route.shares:
            service = config.services.get(share.service)
            if (
                service is not None
                and service.engine is not None
                and model in service.engine.models
            ):
                return route, service
    where = f"route {name}" if name else "any route"
    return _Problem(404, f"model {model} is unknown to {where}")


def _request(query: Mapping[str, str]) -> requests.CallerRequest | _Problem:
    model = query.get("model", "")
    if not model:
        return _Problem(400, "model is missing")
    parts = _parts(query.get("prefix", ""))
    if isinstance(parts, _Problem):
        return parts
    shared_tokens = sum(part.tokens for part in parts)
    tokens = _tokens(query.get("tokens", "") or str(shared_tokens))
    if tokens is None or tokens < shared_tokens:
        return _Problem(
            400, "tokens must be a number not below the tokens of the prefix"
        )
    own = requests.PromptPart("", tokens - shared_tokens)
    return requests.CallerRequest(
        "",
        b"GET",
        b"/",
        "",
        (),
        b"",
        model=model,
        adapter=query.get("adapter", ""),
        prompt_tokens=tokens,
        parts=(*parts, own),
    )


def _parts(text: str) -> tuple[requests.PromptPart, ...] | _Problem:
    parts = []
    for part in text.split(",") if text else ():
        name, _, length = part.strip().rpartition(":")
        tokens = _tokens(length)
        if not name or tokens is None or len(parts) >= _MAX_PARTS:
            return _Problem(
                400, f"prefix must be at most {_MAX_PARTS} NAME:TOKENS"
            )
        parts.append(requests.PromptPart(name, tokens))
    return tuple(parts)


def _tokens(text: str) -> int | None:
    if not (text.isascii() and text.isdigit() and len(text) <= 8):
        return None
    tokens = int(text)
    return tokens if tokens <= _MAX_TOKENS else None
