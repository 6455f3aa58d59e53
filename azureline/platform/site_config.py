"""Parses the operators' configuration that is kept in the store."""

import json
import math
from typing import Any
from typing import NamedTuple

from azureline.relay import routes
from azureline.relay import workspaces

# Larger numbers are not exact in JSON.
_MAX_NUMBER = 1 << 53
_KINDS = {
    "idempotent": routes.Kind.IDEMPOTENT,
    "non_idempotent": routes.Kind.NON_IDEMPOTENT,
    "streaming": routes.Kind.STREAMING,
}


# Units of quotas, and whether they count tokens.
_UNITS = {"": False, "token_metered": True}


class InvalidDocument(NamedTuple):
    """Falsy sentinel: the bytes are not a valid document.

    Attributes:
      where: path to the invalid value, or "" for the whole document.
      reason: why the value is invalid.
    """

    where: str
    reason: str

    def __bool__(self) -> bool:
        return False


class _FieldError(ValueError):
    def __init__(self, where: str, reason: str):
        super().__init__(reason)
        self.where = where


def decode(data: bytes) -> routes.SiteConfig | InvalidDocument:
    """Parses a configuration.

    Returns:
      The configuration, or the path of the first invalid value and the reason.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as e:
        return InvalidDocument("", f"not JSON: {e}")
    try:
        top = _Fields(document, "")
        return routes.SiteConfig(
            version=top.integer("version"),
            routes=tuple(_route(f) for f in top.rows("routes")),
            services={
                s.name: s for s in (_service(f) for f in top.rows("services"))
            },
            limits=_limits(top.table("limits")),
            workspaces=_workspaces(top.rows("tenants")),
        )
    except _FieldError as e:
        return InvalidDocument(e.where, str(e))


class _Fields:
    """Reads typed fields of one JSON object."""

    def __init__(self, value: Any, where: str):
        if not isinstance(value, dict):
            raise _FieldError(
                where, f"expected an object, got {type(value).__name__}"
            )
        self._value = value
        self._where = where

    def has(self, name: str) -> bool:
        return self._value.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        return self._get(name, str, default)

    def integer(self, name: str, default: int | None = None) -> int:
        value = self._get(name, int, default)
        if abs(value) > _MAX_NUMBER:
            raise _FieldError(self._at(name), "is too large")
        return value

    def flag(self, name: str) -> bool:
        return self._get(name, bool, False)

    def number(self, name: str, default: float | None = None) -> float:
        value = self._get(name, (int, float), default)
        if isinstance(value, int) and abs(value) > _MAX_NUMBER:
            raise _FieldError(self._at(name), "is too large")
        if not math.isfinite(value):
            raise _FieldError(
                self._at(name), f"expected a finite number, got {value}"
            )
        return float(value)

    def amount(self, name: str, default: float) -> float:
        """Returns a number that is not negative; null means the default."""
        value = self.number(name, default) if self.has(name) else default
        if value < 0:
            raise self.error(name, f"expected at least 0, got {value:g}")
        return float(value)

    def seconds(self, name: str, default_ms: float | None = None) -> float:
        """Returns a field in milliseconds, converted to seconds."""
        return self.number(name, default_ms) / 1000

    def table(self, name: str) -> "_Fields":
        return _Fields(self._value.get(name, {}), self._at(name))

    def texts(self, name: str) -> list[str]:
        values = self._get(name, list, [])
        if not all(isinstance(value, str) for value in values):
            raise _FieldError(self._at(name), "expected a list of strings")
        return values

    def rows(self, name: str) -> list["_Fields"]:
        rows = self._get(name, list, [])
        where = self._at(name)
        return [_Fields(row, f"{where}[{i}]") for i, row in enumerate(rows)]

    def error(self, name: str, reason: str) -> _FieldError:
        """Returns the error of a field with an invalid value."""
        return _FieldError(self._at(name), reason)

    def _get(self, name: str, kind: Any, default: Any) -> Any:
        value = self._value.get(name, default)
        if isinstance(value, bool) and kind is not bool:
            raise _FieldError(self._at(name), "has the wrong type bool")
        if not isinstance(value, kind):
            raise _FieldError(
                self._at(name),
                f"is missing or has the wrong type {type(value).__name__}",
            )
        return value

    def _at(self, name: str) -> str:
        return f"{self._where}.{name}" if self._where else name


def _route(fields: _Fields) -> routes.Route:
    kind = _KINDS.get(fields.text("route_type"))
    if kind is None:
        known = ", ".join(_KINDS)
        raise _FieldError(
            "route_type",
            f"expected one of {known}; got {fields.text('route_type')!r}",
        )
    shares = [
        routes.Share(f.text("service"), f.number("weight"))
        for f in fields.rows("traffic_split")
    ]
    if not shares:
        shares = [routes.Share(fields.text("service"), 1.0)]
    return routes.Route(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("prefix"),
        kind=kind,
        shares=tuple(s for s in shares if s.weight > 0) or tuple(shares),
        timeout_s=fields.seconds("timeout_ms", 60000),
        target_s=fields.seconds("target_latency_ms", 1000),
        attempts=max(1, fields.integer("max_attempts", 1)),
        rank=fields.integer("priority", 0),
        sticky=fields.flag("sticky"),
        resumable=fields.flag("can_resume"),
        gap_s=fields.seconds("gap_aim_ms", 0),
        public=fields.flag("public"),
    )


def _workspaces(rows: list[_Fields]) -> tuple[workspaces.Workspace, ...]:
    found = tuple(map(_workspace, rows))
    owners: dict[bytes, str] = {}
    for row, workspace in zip(rows, found, strict=True):
        for key in workspace.keys:
            if key in owners:
                # The reason is logged, so it does not contain the key.
                raise row.error(
                    "api_keys",
                    f"has a key that also belongs to {owners[key]!r}",
                )
        owners.update(dict.fromkeys(workspace.keys, workspace.name))
    return found


def _workspace(fields: _Fields) -> workspaces.Workspace:
    has_rank = fields.has("priority")
    return workspaces.Workspace(
        name=fields.text("name"),
        keys=frozenset(map(workspaces.digest, fields.texts("api_keys"))),
        rank=fields.integer("priority") if has_rank else None,
        quota=_quota(fields),
    )


def _quota(fields: _Fields) -> workspaces.Quota | None:
    rate_per_s = fields.amount("rate_per_s", 0)
    burst = fields.amount("burst", rate_per_s)
    plain_tokens = fields.amount("plain_tokens", 1)
    unit = fields.text("unit") if fields.has("unit") else ""
    if unit not in _UNITS:
        known = ", ".join(filter(None, _UNITS))
        raise fields.error("unit", f"expected {known} or none; got {unit!r}")
    if not rate_per_s:
        return None
    return workspaces.Quota(
        rate_per_s, burst, _UNITS[unit], math.ceil(plain_tokens)
    )


def _service(fields: _Fields) -> routes.Service:
    engine = fields.table("engine") if fields.has("engine") else None
    return routes.Service(
        name=fields.text("name"),
        health_path=fields.text("health_path", "/healthz"),
        # Maximum number of connections to one server from all nodes together.
        connections=fields.integer("max_conns", 1 << 20),
        engine=_engine(engine) if engine else None,
    )


def _engine(fields: _Fields) -> routes.EngineSpec:
    models = [_model(f) for f in fields.rows("models")]
    return routes.EngineSpec(
        slots=fields.integer("slots", 1),
        cache_tokens=fields.integer("kv_capacity_tokens", 0),
        # Despite its name this field limits weights and adapters together.
        memory_mb=fields.number("weights_mb", 0),
        adapter_places=fields.integer("adapter_slots", 0),
        host_mb=fields.number("host_mb", 0),
        disk_mb=fields.number("disk_mb", 0),
        loads_per_s=fields.number("loads_per_s", 0),
        models={m.name: m for m in models},
    )


def _model(fields: _Fields) -> routes.Model:
    store_s = fields.number("load_s", 0)
    return routes.Model(
        name=fields.text("name"),
        size_mb=fields.number("weights_mb"),
        # A count, not a list: the adapters are named a1, a2 and so on.
        adapters=fields.integer("adapters", 0),
        adapter_mb=fields.number("adapter_mb", 0),
        store_s=store_s,
        disk_s=fields.number("disk_s", store_s),
        memory_s=fields.number("warm_s", store_s),
    )


def _limits(fields: _Fields) -> routes.Limits:
    defaults = routes.Limits()
    return routes.Limits(
        head_bytes=fields.integer("max_header_bytes", defaults.head_bytes),
        body_bytes=fields.integer("max_body_bytes", defaults.body_bytes),
        head_s=fields.seconds("header_timeout_ms", defaults.head_s * 1000),
        idle_s=fields.seconds("idle_timeout_ms", defaults.idle_s * 1000),
    )
