"""Measures what a node spends as an entry for callers and as a member."""

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
QUIET_AFTER_S = {8: 60.0, 16: 60.0, 32: 90.0, 64: 150.0, 128: 270.0}
WINDOW_S = 60.0
ENGINES_PER_NODE = ENGINES / NODES
HELD_MODELS = 6
REQUESTS = 2000
REQUESTS_PER_S = 3400 / NODES
TOKENS_PER_S = 880_000 / NODES
RELAY_S = 20
CHANGES = 5
CHANGE_EVERY_S = 20.0
CHANGE_BYTES = 200
CHANGES_PER_S = 530 / 86400
LOOKUP_VIEWS = 200
TOKENS_PER_STREAM = 125
REPLICAS = (4, 8, 16, 32)
ENGINE_SIZES = (6, 200, 450, 900)
CPU_BUDGET_MS = 16.0
BYTES_BUDGET = 2000.0
_VIEWS = wire.Codec({1: directories.EngineView, 2: directories.HeldModel})


def view(rng: random.Random, engine: int) -> directories.EngineView:
    """Returns what an owner tells of an engine with a few models."""
    held = tuple(
        directories.HeldModel(f"model-{m}", "1", "ready", 20 * 2**30)
        for m in rng.sample(range(MODELS), HELD_MODELS)
    )
    return directories.EngineView(
        f"n{engine}",
        "0192f0c1-0000-7000-8000-000000000000",
        held,
        120 * 2**30,
        320 * 2**30,
        40 * 2**30,
        rng.randrange(32),
        False,
        False,
    )


def view_bytes() -> int:
    """Returns the bytes of the view of an engine."""
    return len(_VIEWS.pack(view(random.Random(SEED), 1)))


def _quiet() -> list[capacity_fit.Series]:
    sent, cpu = [], []
    for size in QUIET_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        rate, spent = _window(network, size)
        sent.append(rate)
        cpu.append(spent)
    sizes = list(QUIET_SIZES)
    return [
        _series("membership, quiet, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series("membership, quiet, time", "ms/s", sizes, cpu, CPU_BUDGET_MS),
    ]


def _told() -> list[capacity_fit.Series]:
    sent, cpu, held = [], [], []
    for size in TOLD_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        before = network.sent_bytes.copy()
        started = time.process_time()
        share = _refresh_views(network, size)
        spent = time.process_time() - started
        total = sum(network.sent_bytes[n] - before[n] for n in before)
        sent.append(total / WINDOW_S / size)
        cpu.append(1000 * spent / WINDOW_S / size)
        held.append(100 * share)
    sizes = list(TOLD_SIZES)
    return [
        _series("engine views, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series("engine views, time", "ms/s", sizes, cpu, CPU_BUDGET_MS),
        _series(
            "views that are at a node within 6 s",
            "%",
            sizes,
            held,
            None,
            ("nodes", TOLD_SIZES[-1]),
        ),
    ]


def _refresh_views(network: builders_network.Network, size: int) -> float:
    """Tells each engine's view once a refresh; returns the share that is fresh.

    A view is fresh on a node if it is there 6 s after it was told.
    """
    rng = random.Random(SEED)
    engines = max(1, round(ENGINES_PER_NODE * size))
    rate = engines / engine_controller.VIEW_REFRESH_S
    told: list[tuple[float, str, int]] = []
    fresh = checked = number = 0
    end = network.now + WINDOW_S
    due = network.now
    while network.now < end:
        while due <= network.now:
            number += 1
            engine = number % engines
            value = _VIEWS.pack(view(rng, engine))
            key = f"{engine_controller.VIEW_KEY_PREFIX}{engine}"
            entry = messages.GossipEntry(key, 1, number, 0, value)
            owner = f"n{engine % size}"
            network.act(owner, network.nodes[owner].publish(network.now, entry))
            told.append((network.now + 6.0, key, number))
            due += 1 / rate
        network.run(builders_network.TICK_S)
        network.effects.clear()
        while told and told[0][0] <= network.now:
            _, key, sequence = told.pop(0)
            for node in network.nodes.values():
                found = node.store.get(key)
                fresh += found is not None and found.sequence >= sequence
                checked += 1
    return fresh / checked


def _changes() -> list[capacity_fit.Series]:
    """Counts what a day's changes of configuration cost and take."""
    sent, took = [], []
    for size in TOLD_SIZES:
        network = builders_network.Network(SEED)
        network.add_many(size, DOMAINS)
        network.run(QUIET_AFTER_S[size])
        quiet, _ = _window(network, size)
        before = sum(network.sent_bytes.values())
        slowest = max(_change(network, n) for n in range(1, CHANGES + 1))
        total = sum(network.sent_bytes.values()) - before
        extra = total / size - quiet * CHANGES * CHANGE_EVERY_S
        sent.append(extra / CHANGES * CHANGES_PER_S)
        took.append(slowest)
    sizes = list(TOLD_SIZES)
    return [
        _series("530 changes a day, sent", "B/s", sizes, sent, BYTES_BUDGET),
        _series("change until known everywhere", "s", sizes, took, 6.0),
    ]


def _change(network: builders_network.Network, number: int) -> float:
    """Spreads one change; returns the seconds until every node has it."""
    key = "config/current"
    entry = messages.GossipEntry(key, number, 0, 0, bytes(CHANGE_BYTES))
    network.act("n1", network.nodes["n1"].publish(network.now, entry))
    started = network.now
    found = None
    while network.now - started < CHANGE_EVERY_S:
        network.run(builders_network.TICK_S)
        held = [n.store.get(key) for n in network.nodes.values()]
        if found is None and all(h and h.epoch == number for h in held):
            found = network.now - started
    return CHANGE_EVERY_S if found is None else found


def _window(
    network: builders_network.Network, size: int
) -> tuple[float, float]:
    before = dict(network.sent_bytes)
    started = time.process_time()
    network.run(WINDOW_S)
    spent = 1000 * (time.process_time() - started) / WINDOW_S / size
    total = sum(network.sent_bytes[n] - before[n] for n in before)
    return total / WINDOW_S / size, spent


def full_directory(engines: int) -> directories.Directory:
    """Returns a directory that knows all engines."""
    rng = random.Random(SEED)
    directory = directories.Directory("d0")
    models = {f"model-{m}": {"memory_bytes": 20 * 2**30} for m in range(MODELS)}
    listed = {
        f"engine-{e}": {
            "domain": f"d{e % DOMAINS}",
            "memory_bytes": 320 * 2**30,
        }
        for e in range(engines)
    }
    directory.configure(
        builders_directory.configuration(
            models=models, adapters={}, engines=listed
        )
    )
    for engine in range(engines):
        name = f"engine-{engine}"
        directory.update_vm(builders_directory.vm(name, f"d{engine % DOMAINS}"))
        directory.update_view(name, view(rng, engine))
    return directory


def _lookup() -> capacity_fit.Series:
    """Times what a heard view costs: a look-up for each of its models."""
    spent = []
    for engines in ENGINE_SIZES:
        directory = full_directory(engines)
        rng = random.Random(SEED)
        started = time.process_time()
        for number in range(LOOKUP_VIEWS):
            engine = number % engines
            directory.update_view(f"engine-{engine}", view(rng, engine))
            for model in directory.ready_models(f"engine-{engine}"):
                directory.candidates(model)
        each = (time.process_time() - started) / LOOKUP_VIEWS
        heard_per_s = engines / engine_controller.VIEW_REFRESH_S
        spent.append(1000 * each * heard_per_s)
    return _series(
        "look-ups of replicas (each view that is heard)",
        "ms/s",
        list(ENGINE_SIZES),
        spent,
        CPU_BUDGET_MS,
        ("engines", ENGINES),
    )


def _admission() -> capacity_fit.Series:
    """Times a request through admission and picker, by replicas."""
    spent = []
    for count in REPLICAS:
        built = admission.Admission(
            builders_routing.new_picker(SEED),
            limits.Limits(limits.Settings()),
            random.Random(SEED),
        )
        built.set_candidates("seam", builders_routing.candidates(count))
        whole = outcome.Sample(outcome.Outcome.WHOLE, 1.0, 0.1, 0.009, 100)
        calls = [builders_routing.call() for _ in range(REQUESTS)]
        started = time.process_time()
        for number, call in enumerate(calls):
            now = number / REQUESTS_PER_S
            if isinstance(built.offer(now, call), admission.Admitted):
                built.done(now + 1.0, call.request_id, whole)
            built.next(now + 1.0)
        each = (time.process_time() - started) / REQUESTS
        spent.append(1000 * each * REQUESTS_PER_S)
    return _series(
        "admission and choice of engine",
        "ms/s",
        list(REPLICAS),
        spent,
        CPU_BUDGET_MS,
        ("replicas of a model", 26),
    )


def _reports() -> capacity_fit.Series:
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


def _stream() -> capacity_fit.Series:
    """Times a second's tokens of one node, at three rates."""
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
    """Returns the processor seconds for tokens that come one in a read."""
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
            relay.caller_took(0.0, 0)
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


PARTS = (_quiet, _told, _changes, _lookup, _admission, _reports, _stream)
"""The measurements of this role, the longest first."""
