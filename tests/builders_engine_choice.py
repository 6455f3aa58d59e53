"""A fleet of nodes and engines on a virtual clock, for engine selection."""

import collections
import math
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.engine_choice import assigner
from azureline.engine_choice import chooser
from azureline.engine_choice import options
from azureline.metrics import counters as metrics
from azureline.relay import eligibility
from azureline.relay import health
from azureline.relay import in_flight
from azureline.relay import messages
from azureline.relay import prefill
from azureline.relay import ranking
from azureline.relay import requests
from azureline.relay import reservations
from azureline.relay import reserved_assignment
from azureline.relay import residency
from azureline.relay import run_times
from azureline.relay import server_choice
from azureline.relay import servers
from azureline.util import events
from tests import builders_relay
from tests import builders_serving

TOKENS_PER_S = 38700.0
CACHE_TOKENS = 197200
# Prefill of a chunk with its step, relative to the nominal rate.
STEP_RATIO = 1.2
ONE_WAY_S = 0.0044
REPORT_S = 0.9
RUN_S = 1.6
TARGET_S = 0.835
SPEC = builders_relay.kind("m", cache_tokens=CACHE_TOKENS)
ROUTE = builders_relay.route(target_s=TARGET_S, gap_s=0.3)


def prompt(name: str, tokens: int = 9190, shared: int = 6300) -> Any:
    """Returns a request whose prompt begins with a shared part."""
    own = requests.PromptPart("own", tokens - shared)
    parts = (requests.PromptPart(name, shared), own) if shared else (own,)
    return builders_relay.request(model="m", prompt_tokens=tokens, parts=parts)


def profile(**fields: Any) -> options.RequestProfile:
    """Returns the profile of a long prompt."""
    values = {
        "affinity": "m p",
        "prefixes": (options.Prefix("m/ p", 6300),),
        "prompt_tokens": 9190,
        "is_long": True,
        "tokens_per_s": TOKENS_PER_S,
        "cache_tokens": 0.6 * CACHE_TOKENS,
        "target_s": TARGET_S,
        "max_gap_s": 0.0,
        "run_s": RUN_S,
        "max_wait_s": 0.2,
        "usual_prompt_s": 0.09,
        **fields,
    }
    return options.RequestProfile(**values)


def short(**fields: Any) -> options.RequestProfile:
    """Returns the profile of a short chat."""
    values = {
        "prompt_tokens": 826,
        "is_long": False,
        "max_wait_s": 0.415,
        "target_s": 0.415,
        "prefixes": (),
        **fields,
    }
    return profile(**values)


def candidate(name: str, **fields: Any) -> options.Candidate:
    """Returns an engine of which nothing is known."""
    values = {"speed_ratio": STEP_RATIO, **fields}
    return options.Candidate(builders_relay.server(name, "m"), **values)


class Done(NamedTuple):
    """One request: its kind, engine, time to the first event and prefill."""

    kind: str
    server: str
    first_s: float
    prefilled_tokens: float


class Engine:
    """An engine with a true cache, its lease holder and its queue."""

    def __init__(self, name: str, speed: float, domain: str):
        self.server = builders_relay.server(name, "m", domain=domain)
        self.ratio = STEP_RATIO / speed
        self.holder = prefill.PrefillQueue(TOKENS_PER_S, CACHE_TOKENS)
        self.busy_until = 0.0
        self.requests = 0
        self.cache_tokens = 0.6 * CACHE_TOKENS
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def start(self, request: Any, now: float) -> tuple[float, int]:
        """Queues a prompt; returns when its prefill ends, and its tokens."""
        tokens = request.prompt_tokens
        for part in request.shared_parts:
            tokens -= self._cached.pop(part.name, 0)
            self._cached[part.name] = part.tokens
        while sum(self._cached.values()) > self.cache_tokens:
            self._cached.popitem(last=False)
        took_s = tokens / TOKENS_PER_S * self.ratio
        self.busy_until = max(now, self.busy_until) + took_s
        self.requests += 1
        return self.busy_until, tokens

    def restart(self, now: float) -> None:
        """Replaces the process by one that has cached nothing."""
        born_ms = self.server.born_ms + 1
        self.server = self.server._replace(born_ms=born_ms)
        self.holder = prefill.PrefillQueue(TOKENS_PER_S, CACHE_TOKENS)
        self._cached.clear()
        self.busy_until = now


class Node:
    """A node, which ranks engines by its own knowledge."""

    def __init__(self, fleet: "Fleet", domain: str, choice_type: Any):
        clock = fleet.clock
        self.counters = metrics.Counters()
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.ratios = prefill.ReadTimeRatios()
        self.residency = residency.Residency(fleet.catalogue)
        self.fleet = fleet
        times = run_times.RunTimes(TOKENS_PER_S)
        self.choice = choice_type(
            clock,
            times,
            TOKENS_PER_S,
            self.counters,
            events.collecting(lambda *line: self.lines.append(line)),
        )
        self.in_flight = in_flight.InFlight(
            clock, domain, self.residency, health.ServerHealth(), self
        )
        self.assigner = assigner.EngineAssigner(
            clock,
            self.choice,
            self.in_flight,
            eligibility.Eligibility(fleet.catalogue),
            self.ratios,
            self._choose,
            None,
            reserved_assignment.ReservedAssignment(
                clock,
                clock,
                self,
                self.ratios,
                self.choice,
                self.in_flight.add,
                self.in_flight.remove,
            ),
            weighs_prefixes=True,
        )

    def add_in_flight(self, *unused: Any) -> None:
        """Takes the demand for a model."""

    def release(self, *unused: Any) -> None:
        """Takes the release of a reservation."""

    async def _choose(self, ranked: Any, *unused: Any) -> Any:
        return server_choice.Chosen(ranked[0].server)

    def reserve(
        self, server: Any, model: str, adapter: str, asked: Any, limit_s: float
    ) -> defer.Deferred[reservations.ReservationResult]:
        """Asks the engine's lease holder, over two links."""
        engine = self.fleet.engines[server.server_id]
        clock, reply = self.fleet.clock, defer.Deferred()

        def answer() -> None:
            now = clock.now()
            backlog_s = engine.holder.wait_s(asked, now)
            if backlog_s > limit_s:
                result = reservations.ReservationResult(False, 0.0, backlog_s)
            else:
                nominal_s = engine.holder.nominal_s(asked)
                wait_s = engine.holder.reserve(asked, now)
                result = reservations.ReservationResult(
                    True, wait_s, backlog_s, "", nominal_s, 1
                )
            clock.callLater(ONE_WAY_S, reply.callback, result)

        def default() -> None:
            reply.callback(reservations.ReservationResult(True))

        if self.fleet.holders_lost:
            clock.callLater(0.15, default)
        else:
            clock.callLater(ONE_WAY_S, answer)
        return reply

    async def send(self, request: Any, route: Any, kind: str) -> None:
        """Sends a request and records when its first event arrives."""
        clock = self.fleet.clock
        began = clock.now()
        assigned = await self.assigner.assign(
            request, route, SPEC, self.fleet.servers, math.inf, began + 5.0
        )
        if not assigned:
            self.fleet.done.append(Done(kind, "", math.inf, 0.0))
            return
        server_id = assigned.server.server_id
        engine, sent_at = self.fleet.engines[server_id], clock.now()
        until, tokens = engine.start(request, sent_at)
        first_at = until + 2 * ONE_WAY_S

        def first_event() -> None:
            took_s = first_at - sent_at - assigned.queued_s
            if assigned.reading_s > 0:
                self.choice.record_first_part(assigned, took_s)
            self.ratios.record(
                server_id, "m", assigned.reading_s, took_s, first_at
            )

        def end() -> None:
            engine.requests -= 1
            self.in_flight.remove(assigned)

        clock.callLater(first_at - sent_at, first_event)
        clock.callLater(first_at - sent_at + RUN_S, end)
        self.fleet.done.append(Done(kind, server_id, first_at - began, tokens))


class Fleet:
    """Nodes and engines in two failure domains, on a virtual clock."""

    def __init__(
        self,
        choice_type: Any = chooser.EngineChoice,
        nodes: int = 4,
        speeds: tuple[float, ...] = (1.0, 0.8, 1.2, 0.55, 1.0, 1.1),
    ):
        self.clock = builders_serving.Clock()
        self.catalogue = servers.Catalogue()
        self.engines = {
            f"e{i}": Engine(f"e{i}", speed, f"d{i % 2}")
            for i, speed in enumerate(speeds)
        }
        self.holders_lost = self.reports_lost = False
        self.done: list[Done] = []
        for engine in self.engines.values():
            self.catalogue.update(engine.server)
        self.nodes = [
            Node(self, f"d{i % 2}", choice_type) for i in range(nodes)
        ]
        self.clock.callLater(REPORT_S, self._report)

    @property
    def servers(self) -> list[servers.BackendServer]:
        return [e.server for e in self.engines.values()]

    def play(
        self,
        seconds: float,
        rng: random.Random,
        *sources: tuple[str, float, Any, Any],
    ) -> None:
        """Sends requests at random times.

        Args:
          seconds: how long.
          rng: source of the times, prompts and nodes.
          *sources: (kind, requests per second, function that returns a
            request's prompt for a random source, route).
        """
        start = self.clock.now()
        for kind, per_s, make, route in sources:
            at = rng.expovariate(per_s)
            while at < seconds:
                node, request = rng.choice(self.nodes), make(rng)
                self.clock.callLater(at, self._send, node, request, route, kind)
                at += rng.expovariate(per_s)
        self.run_until(start + seconds + 5.0)

    def run_until(self, until: float) -> None:
        """Runs everything that is due by a time."""
        while (due := self.clock.calls[0].getTime()) <= until:
            self.clock.advance(max(0.0, due - self.clock.now()))
        self.clock.advance(max(0.0, until - self.clock.now()))

    def _send(self, node: Node, request: Any, route: Any, kind: str) -> None:
        defer.ensureDeferred(node.send(request, route, kind))

    def _report(self) -> None:
        self.clock.callLater(REPORT_S, self._report)
        if self.reports_lost:
            return
        for name, engine in self.engines.items():
            ratio = engine.holder.reading_ratio(self.clock.now())
            load = messages.EngineLoad(name, engine.requests, int(ratio * 100))
            for node in self.nodes:
                node.residency.take_load(load)
                node.in_flight.record_load_report(name)
                node.choice.record_report(engine.server, ratio)


class _Baseline(chooser.EngineChoice):
    """Another order of the same options."""

    def rank(self, profile: Any, candidates: Any) -> list[options.Option]:
        ranked = super().rank(profile, candidates)
        by_id = {o.server.server_id: o for o in ranked}
        ordered = self.order(profile, [c for c, _ in candidates], ranked)
        return [by_id[name] for name in ordered]


class LeastLoaded(_Baseline):
    """The engine with the fewest requests first."""

    def order(self, profile: Any, candidates: Any, ranked: Any) -> list[str]:
        return [
            c.server.server_id for c in sorted(candidates, key=lambda c: c.load)
        ]


class LongestPrefix(_Baseline):
    """The engine that is believed to cache most first, whatever its wait."""

    def order(self, profile: Any, candidates: Any, ranked: Any) -> list[str]:
        by_saved = sorted(ranked, key=lambda o: -o.saved_s)
        return [o.server.server_id for o in by_saved]


class RendezvousOrder(_Baseline):
    """The order before engine selection by cost: bounded load, then hash."""

    def order(self, profile: Any, candidates: Any, ranked: Any) -> list[str]:
        count = len(candidates)
        max_load = 1.25 * sum(c.load for c in candidates) / count + 1.5
        ratio = sum(c.reading_ratio for c in candidates) / count
        max_ratio = max(0.5, ratio + 0.1)

        def key(c: Any) -> tuple[bool, bool, float]:
            overloaded = c.load * c.penalty > max_load or (
                not profile.is_long and c.reading_ratio > max_ratio
            )
            name = c.server.server_id
            return (
                overloaded,
                not profile.is_long and c.other_domain,
                -ranking.rendezvous_hash(profile.affinity, name),
            )

        return [c.server.server_id for c in sorted(candidates, key=key)]


POLICIES = {
    "cost": chooser.EngineChoice,
    "least loaded": LeastLoaded,
    "longest prefix": LongestPrefix,
    "rendezvous": RendezvousOrder,
}
