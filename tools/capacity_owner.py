"""Measures a node's cost as an owner of engines and keys and as planner."""

import json
import random
import time
import tracemalloc

from azureline.backends import interface
from azureline.core import wire
from azureline.fleet import demand_aggregation
from azureline.fleet import directory as directories
from azureline.fleet import engine_memory
from azureline.fleet import gossip_store
from azureline.fleet import messages
from tests import test_at_most_once_load
from tests import test_fleet_ownership
from tools import capacity_entry
from tools import capacity_fit
from tools import policy_scale

SEED = 5
GIB = 2**30
SETTLE_S = 24.0
WINDOW_S = 24.0
SLOT_SIZES = (16, 64, 256)
CLAIM_RATES_S = (85, 170, 340)
CLAIMS_S = 15.0
REPORTS_S = 200
PLAN_ROUNDS = 3
PLAN_INTERVAL_S = 5.0
MEMORY_BUDGET_MB = 256.0


def report(models: int, sequence: int = 1) -> interface.Report:
    """Returns an engine's report with two adapters per resident model."""
    resident = tuple(
        interface.ResidentModel(f"model-{i}", "1", 20 * GIB, "ready")
        for i in range(models)
    )
    adapters = tuple(
        interface.ResidentModel(f"adapter-{i}", "1", GIB // 8, "ready")
        for i in range(2 * models)
    )
    return interface.Report(
        engine="engine-1",
        incarnation="0192f0c1-0000-7000-8000-000000000000",
        sequence=sequence,
        age_s=0.5,
        capacity_bytes=320 * GIB,
        cache_bytes=60 * GIB,
        models=resident,
        adapters=adapters,
        running=8,
        queued=0,
        last_order_id="",
        fence=1,
        fences=True,
        draining=False,
    )


def _report_bytes() -> capacity_fit.Series:
    """Measures the report body that the stand-in sends, without headers."""
    sizes = (1, 3, 6, 12)
    values = []
    for models in sizes:
        body = report(models)._asdict()
        body["models"] = [r._asdict() for r in body["models"]]
        body["adapters"] = [r._asdict() for r in body["adapters"]]
        engines = capacity_entry.ENGINES_PER_NODE
        values.append(engines * len(json.dumps(body).encode()))
    return _series(
        "owner of engines",
        "reports of 2.5 engines, received",
        ("B/s", capacity_entry.BYTES_BUDGET),
        ("models in an engine", capacity_entry.HELD_MODELS),
        list(sizes),
        values,
    )


def _memory_accounting() -> capacity_fit.Series:
    """Measures memory accounting of a second's reports to one node."""
    sizes = (1, 3, 6, 12)
    values = []
    for models in sizes:
        items = {f"model-{i}": 20 * GIB for i in range(models)}
        memory = engine_memory.EngineMemory(320 * GIB, 30 * GIB, 0.0, items)
        reports = [report(models, n + 1) for n in range(REPORTS_S)]
        started = time.process_time()
        for second, engine_report in enumerate(reports):
            memory.reported(
                float(second) + 1.0, engine_report, float(second) + 0.99
            )
            memory.free_bytes(float(second) + 1.0)
            for resident in engine_report.models:
                memory.ready(resident.name, resident.version)
        seconds_per_report = (time.process_time() - started) / REPORTS_S
        values.append(
            1000 * seconds_per_report * capacity_entry.ENGINES_PER_NODE
        )
    return _series(
        "owner of engines",
        "memory books of 2.5 engines",
        ("ms/s", capacity_entry.CPU_BUDGET_MS),
        ("models in an engine", capacity_entry.HELD_MODELS),
        list(sizes),
        values,
    )


def _platform_calls() -> list[capacity_fit.Series]:
    writes, reads = [], []
    for slots in SLOT_SIZES:
        names = [f"engines/{n}" for n in range(slots)]
        fleet = test_fleet_ownership.Fleet(SEED, capacity_entry.NODES, names)
        fleet.run(SETTLE_S)
        fleet.calls.clear()
        fleet.run(WINDOW_S)
        writes.append(fleet.calls["Write"] / WINDOW_S)
        reads.append(fleet.calls["Read"] / WINDOW_S)
    axis = ("slots", 259.0)
    sizes = list(SLOT_SIZES)
    return [
        _series(
            "platform's service",
            "ownership of slots, writes of 360 nodes",
            ("calls/s", 300.0),
            axis,
            sizes,
            writes,
        ),
        _series(
            "platform's service",
            "ownership of slots, reads of 360 nodes",
            ("calls/s", 2000.0),
            axis,
            sizes,
            reads,
        ),
    ]


def _once_claims() -> list[capacity_fit.Series]:
    """Measures claims at three rates over two slots."""
    writes, sent, cpu_ms = [], [], []
    saved_rate = test_at_most_once_load.CLAIMS_PER_S
    for rate in CLAIM_RATES_S:
        test_at_most_once_load.CLAIMS_PER_S = rate
        load = test_at_most_once_load.Load(CLAIMS_S, 0.002)
        load.run()
        figures = load.figures()
        writes.append(figures["writes_per_s"])
        sent.append(1000 * figures["kb_per_s"] / 2)
        cpu_ms.append(figures["cpu_us_per_claim"] * rate / 2 / 1000)
    test_at_most_once_load.CLAIMS_PER_S = saved_rate
    axis = ("claims/s in the fleet", 340.0)
    sizes = list(CLAIM_RATES_S)
    role = "owner of keys"
    bytes_unit = ("B/s", capacity_entry.BYTES_BUDGET)
    cpu_unit = ("ms/s", capacity_entry.CPU_BUDGET_MS)
    calls = ("calls/s", 300.0)
    return [
        _series(
            "platform's service",
            "at-most-once logs, writes of two slots",
            calls,
            axis,
            sizes,
            writes,
        ),
        _series(role, "log of one slot", bytes_unit, axis, sizes, sent),
        _series(role, "claims of one slot", cpu_unit, axis, sizes, cpu_ms),
    ]


def _plans() -> list[capacity_fit.Series]:
    result = []
    for case in ("steady", "hot"):
        values = []
        for models, engines in policy_scale.SIZES:
            row = policy_scale.measure(models, engines, case, PLAN_ROUNDS)
            values.append(row.median_ms / PLAN_INTERVAL_S)
        result.append(
            _series(
                "planner",
                f"one plan in 5 s, {case} demand",
                ("ms/s", capacity_entry.CPU_BUDGET_MS),
                ("engines", capacity_entry.ENGINES),
                [engines for _, engines in policy_scale.SIZES],
                values,
            )
        )
    return result


def _received_demand_reports() -> capacity_fit.Series:
    """Calculates the bytes of the demand reports that reach the planner."""
    codec = wire.Codec(demand_aggregation.MESSAGES)
    sizes, values = (8, 32, 64, 128, 360), []
    size = len(
        codec.pack(
            demand_aggregation.DemandReport(
                "node-100", 16, 12345, bytes([99]) * capacity_entry.MODELS
            )
        )
    )
    for count in sizes:
        nodes = [
            demand_aggregation.ReportingNode(
                f"n{i}", f"d{i % capacity_entry.DOMAINS}"
            )
            for i in range(count)
        ]
        to_planner = sum(
            demand_aggregation.report_target(n.name, nodes, "n0") == "n0"
            for n in nodes[1:]
        )
        datagram_bytes = size + 28
        values.append(to_planner * datagram_bytes / demand_aggregation.PERIOD_S)
    return _series(
        "planner",
        "demand reports, received",
        ("B/s", capacity_entry.BYTES_BUDGET),
        ("nodes", capacity_entry.NODES),
        list(sizes),
        values,
    )


def _heap() -> capacity_fit.Series:
    """Measures the heap of the gossip entries and the directory they fill."""
    sizes = (100, 300, 900)
    values = []
    codec = wire.Codec({1: directories.EngineView, 2: directories.HeldModel})
    for engines in sizes:
        rng = random.Random(SEED)
        packed = [
            codec.pack(capacity_entry.view(rng, n)) for n in range(engines)
        ]
        directory = capacity_entry.full_directory(0)
        tracemalloc.start()
        store = gossip_store.GossipStore()
        for engine, value in enumerate(packed):
            entry = messages.GossipEntry(
                f"engine/{engine}", 1, 1, 0, bytes(bytearray(value))
            )
            store.merge(0.0, entry)
            directory.update_view(f"engine-{engine}", codec.unpack(value))
        values.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        del store, directory
    return _series(
        "entry",
        "heap of views and rumours (beside the idle process)",
        ("MB", MEMORY_BUDGET_MB),
        ("engines", capacity_entry.ENGINES),
        list(sizes),
        values,
    )


def _series(
    role: str,
    name: str,
    unit: tuple[str, float | None],
    axis: tuple[str, float],
    sizes: list[float],
    values: list[float],
) -> capacity_fit.Series:
    return capacity_fit.Series(
        role=role,
        name=name,
        unit=unit[0],
        axis=axis[0],
        sizes=sizes,
        values=[round(v, 4) for v in values],
        target=axis[1],
        budget=unit[1],
        command=capacity_entry.COMMAND,
        seed=SEED,
    )


PARTS = (
    _platform_calls,
    _report_bytes,
    _memory_accounting,
    _once_claims,
    _plans,
    _received_demand_reports,
    _heap,
)
"""The measurements of these roles, starting with the longest."""
