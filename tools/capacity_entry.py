"""Measures a node's cost as an entry for callers and as a fleet member."""

import random
import time

from azureline.core import wire
from azureline.fleet import demand_aggregation
from azureline.fleet import directory as directories
from azureline.fleet import engine_controller
from azureline.fleet import messages
from azureline.routing import admission
from azureline.routing import limits
from azureline.routing import outcome
from azureline.routing import stream
from tests import builders_directory
from tests import builders_network
from tests import builders_routing
from tools import capacity_fit

SEED = 1
COMMAND = "make capacity"
NODES = 360
ENGINES = 900
MODELS = 210
DOMAINS = 7
QUIET_SIZES = (8, 16, 32, 64, 128)
TOLD_SIZES = (8, 16, 32, 64)
# Time until membership is quiet after the start, by fleet size.
QUIET_AFTER_S = {8: 60.0, 16: 60.0, 32: 90.0, 64: 150.0, 128: 270.0}
WINDOW_S = 60.0
ENGINES_PER_NODE = ENGINES / NODES
# Models resident in an engine.
HELD_MODELS = 6
REQUESTS = 2000
REQUESTS_PER_S = 3400 / NODES
TOKENS_PER_S = 880_000 / NODES
# Seconds of tokens that the relay is measured with.
RELAY_S = 20
CHANGES = 5
CHANGE_EVERY_S = 20.0
CHANGE_BYTES = 200
# The planned rate is 530 configuration changes a day.
CHANGES_PER_S = 530 / 86400
LOOKUP_VIEWS = 200
TOKENS_PER_STREAM = 125
REPLICAS = (4, 8, 16, 32)
ENGINE_SIZES = (6, 200, 450, 900)
# Budgets of a node for control work: processor ms and bytes, per second.
CPU_BUDGET_MS = 16.0
BYTES_BUDGET = 2000.0
_VIEW_CODEC = wire.Codec({1: directories.EngineView, 2: directories.HeldModel})


def view(rng: random.Random, engine: int) -> directories.EngineView:
    """Returns an owner's view of an engine with `HELD_MODELS` models."""
    resident = tuple(
        directories.HeldModel(f"model-{m}", "1", "ready", 20 * 2**30)
        for m in rng.sample(range(MODELS), HELD_MODELS)
    )
    return directories.EngineView(
        f"n{engine}",
        "0192f0c1-0000-7000-8000-000000000000",
        resident,
        120 * 2**30,
        320 * 2**30,
        40 * 2**30,
        rng.randrange(32),
        False,
        False,
    )


def view_bytes() -> int:
    """Returns the packed size of an engine's view."""
    return len(_VIEW_CODEC.pack(view(random.Random(SEED), 1)))


def _quiet_membership() -> list[capacity_fit.Series]:
    sent, cpu_ms = [], []
    for size in QUIET_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        rate, cpu_ms_per_s = _measure_window(network, size)
        sent.append(rate)
        cpu_ms.append(cpu_ms_per_s)
    sizes = list(QUIET_SIZES)
    return [
        _series("membership, quiet, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series(
            "membership, quiet, time", "ms/s", sizes, cpu_ms, CPU_BUDGET_MS
        ),
    ]


def _view_updates() -> list[capacity_fit.Series]:
    sent, cpu_ms, shares_percent = [], [], []
    for size in TOLD_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        before = network.sent_bytes.copy()
        started = time.process_time()
        up_to_date_share = _refresh_views(network, size)
        spent = time.process_time() - started
        total = sum(network.sent_bytes[n] - before[n] for n in before)
        sent.append(total / WINDOW_S / size)
        cpu_ms.append(1000 * spent / WINDOW_S / size)
        shares_percent.append(100 * up_to_date_share)
    sizes = list(TOLD_SIZES)
    return [
        _series("engine views, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series("engine views, time", "ms/s", sizes, cpu_ms, CPU_BUDGET_MS),
        _series(
            "views that are at a node within 6 s",
            "%",
            sizes,
            shares_percent,
            None,
            ("nodes", TOLD_SIZES[-1]),
        ),
    ]


def _refresh_views(network: builders_network.Network, size: int) -> float:
    """Publishes each engine's view once per refresh interval.

    Returns:
      The fraction of views that a node has within 6 s of their publication,
      over all views and nodes.
    """
    rng = random.Random(SEED)
    engines = max(1, round(ENGINES_PER_NODE * size))
    rate = engines / engine_controller.VIEW_REFRESH_S
    published: list[tuple[float, str, int]] = []
    up_to_date = checked = number = 0
    end = network.now + WINDOW_S
    next_at = network.now
    while network.now < end:
        while next_at <= network.now:
            number += 1
            engine = number % engines
            value = _VIEW_CODEC.pack(view(rng, engine))
            key = f"{engine_controller.VIEW_KEY_PREFIX}{engine}"
            entry = messages.GossipEntry(key, 1, number, 0, value)
            owner = f"n{engine % size}"
            network.act(owner, network.nodes[owner].publish(network.now, entry))
            published.append((network.now + 6.0, key, number))
            next_at += 1 / rate
        network.run(builders_network.TICK_S)
        network.effects.clear()
        while published and published[0][0] <= network.now:
            _, key, sequence = published.pop(0)
            for node in network.nodes.values():
                received = node.store.get(key)
                up_to_date += (
                    received is not None and received.sequence >= sequence
                )
                checked += 1
    return up_to_date / checked


def _config_changes() -> list[capacity_fit.Series]:
    """Measures the traffic and latency of 530 configuration changes a day."""
    sent, latencies_s = [], []
    for size in TOLD_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        quiet, _ = _measure_window(network, size)
        before = sum(network.sent_bytes.values())
        slowest_s = max(
            _publish_change(network, n) for n in range(1, CHANGES + 1)
        )
        total = sum(network.sent_bytes.values()) - before
        extra_bytes = total / size - quiet * CHANGES * CHANGE_EVERY_S
        sent.append(extra_bytes / CHANGES * CHANGES_PER_S)
        latencies_s.append(slowest_s)
    sizes = list(TOLD_SIZES)
    return [
        _series("530 changes a day, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series("change until known everywhere", "s", sizes, latencies_s, 6.0),
    ]


def _publish_change(network: builders_network.Network, number: int) -> float:
    """Publishes one change; returns the seconds until every node has it."""
    key = "config/current"
    entry = messages.GossipEntry(key, number, 0, 0, bytes(CHANGE_BYTES))
    network.act("n1", network.nodes["n1"].publish(network.now, entry))
    started = network.now
    took_s = None
    while network.now - started < CHANGE_EVERY_S:
        network.run(builders_network.TICK_S)
        entries = [n.store.get(key) for n in network.nodes.values()]
        if took_s is None and all(h and h.epoch == number for h in entries):
            took_s = network.now - started
    return CHANGE_EVERY_S if took_s is None else took_s


def _measure_window(
    network: builders_network.Network, size: int
) -> tuple[float, float]:
    before = dict(network.sent_bytes)
    started = time.process_time()
    network.run(WINDOW_S)
    cpu_ms_per_s = 1000 * (time.process_time() - started) / WINDOW_S / size
    total = sum(network.sent_bytes[n] - before[n] for n in before)
    return total / WINDOW_S / size, cpu_ms_per_s


def full_directory(engines: int) -> directories.Directory:
    """Returns a directory that lists all engines and their views."""
    rng = random.Random(SEED)
    directory = directories.Directory("d0")
    models = {f"model-{m}": {"memory_bytes": 20 * 2**30} for m in range(MODELS)}
    engine_specs = {
        f"engine-{e}": {
            "domain": f"d{e % DOMAINS}",
            "memory_bytes": 320 * 2**30,
        }
        for e in range(engines)
    }
    directory.configure(
        builders_directory.configuration(
            models=models, adapters={}, engines=engine_specs
        )
    )
    for engine in range(engines):
        name = f"engine-{engine}"
        directory.update_vm(builders_directory.vm(name, f"d{engine % DOMAINS}"))
        directory.update_view(name, view(rng, engine))
    return directory


def _view_lookups() -> capacity_fit.Series:
    """Measures a received view: its update and a look-up for each model."""
    cpu_ms = []
    for engines in ENGINE_SIZES:
        directory = full_directory(engines)
        rng = random.Random(SEED)
        started = time.process_time()
        for number in range(LOOKUP_VIEWS):
            engine = number % engines
            directory.update_view(f"engine-{engine}", view(rng, engine))
            for model in directory.ready_models(f"engine-{engine}"):
                directory.candidates(model)
        seconds_per_view = (time.process_time() - started) / LOOKUP_VIEWS
        views_per_s = engines / engine_controller.VIEW_REFRESH_S
        cpu_ms.append(1000 * seconds_per_view * views_per_s)
    return _series(
        "look-ups of replicas (each view that is heard)",
        "ms/s",
        list(ENGINE_SIZES),
        cpu_ms,
        CPU_BUDGET_MS,
        ("engines", ENGINES),
    )


def _admission() -> capacity_fit.Series:
    """Measures a request through admission and picker, by replicas."""
    cpu_ms = []
    for count in REPLICAS:
        node_admission = admission.Admission(
            builders_routing.new_picker(SEED),
            limits.Limits(limits.Settings()),
            random.Random(SEED),
        )
        node_admission.set_candidates(
            "seam", builders_routing.candidates(count)
        )
        completed = outcome.Sample(outcome.Outcome.WHOLE, 1.0, 0.1, 0.009, 100)
        calls = [builders_routing.call() for _ in range(REQUESTS)]
        started = time.process_time()
        for number, call in enumerate(calls):
            now = number / REQUESTS_PER_S
            if isinstance(node_admission.submit(now, call), admission.Admitted):
                node_admission.finish(now + 1.0, call.request_id, completed)
            node_admission.next(now + 1.0)
        seconds_per_request = (time.process_time() - started) / REQUESTS
        cpu_ms.append(1000 * seconds_per_request * REQUESTS_PER_S)
    return _series(
        "admission and choice of engine",
        "ms/s",
        list(REPLICAS),
        cpu_ms,
        CPU_BUDGET_MS,
        ("replicas of a model", 26),
    )


def _demand_reports() -> capacity_fit.Series:
    sizes, sent = (20, 70, 140, 210), []
    codec = wire.Codec(demand_aggregation.MESSAGES)
    for models in sizes:
        aggregator = demand_aggregation.DemandAggregator("n1")
        aggregator.configure(0.0, 1)
        for model in range(models):
            aggregator.add_demand(model, 1000.0 * (model + 1))
        report = aggregator.report(demand_aggregation.PERIOD_S)
        packed = len(codec.pack(report)) + builders_network.HEADER_BYTES
        sent.append(packed / demand_aggregation.PERIOD_S)
    return _series(
        "demand reports, sent",
        "B/s",
        list(sizes),
        sent,
        BYTES_BUDGET,
        ("models", MODELS),
    )


def _token_relay() -> capacity_fit.Series:
    """Measures the relay of the tokens of one node at three rates."""
    rates = (625, 1250, 2500)
    return _series(
        "relay of tokens (work for callers, not control)",
        "ms/s",
        list(rates),
        [1000 * _relay_s(rate * RELAY_S) / RELAY_S for rate in rates],
        None,
        ("tokens/s", TOKENS_PER_S),
    )


def _relay_s(tokens: int) -> float:
    """Returns the processor seconds for tokens that arrive one per read."""
    name = "0192f0c1-0000-7000-8000-000000000000"
    body = b'{"id":"%b","choices":[{"index":0,"delta":{"content":" t"}}]}'
    events = [
        b"id: %d\ndata: %b\n\n" % (i, body % name.encode())
        for i in range(TOKENS_PER_STREAM)
    ]
    started = time.process_time()
    for _ in range(tokens // TOKENS_PER_STREAM):
        relay = stream.StreamRelay(0.0, name)
        for event in events:
            relay.received(0.0, 1, event)
            relay.caller_progressed(0.0, 0)
    return time.process_time() - started


def _series(
    name: str,
    unit: str,
    sizes: list[float],
    values: list[float],
    budget: float | None,
    axis: tuple[str, float] = ("nodes", NODES),
) -> capacity_fit.Series:
    return capacity_fit.Series(
        role="entry",
        name=name,
        unit=unit,
        axis=axis[0],
        sizes=sizes,
        values=[round(v, 4) for v in values],
        target=axis[1],
        budget=budget,
        command=COMMAND,
        seed=SEED,
    )


PARTS = (
    _quiet_membership,
    _view_updates,
    _config_changes,
    _view_lookups,
    _admission,
    _demand_reports,
    _token_relay,
)
"""The measurements of this role, starting with the longest."""
