"""Parses backend servers' entries in the store and engines' reports."""

import ipaddress
import json
import math
import reprlib
from typing import Any

from azureline.platform import names
from azureline.platform import site_config
from azureline.relay import orders
from azureline.relay import servers
from azureline.util import digits
from azureline.util import http1

_STATES = {"ready": False, "draining": True}
# Bounds of what a usable entry holds; numbers up to 2^53 are exact in JSON.
_MAX_COUNT = 1 << 53
_MAX_TEXT = 256


def server_id(key: str) -> str:
    """Returns the id of the server whose entry is stored under a key."""
    return key.removeprefix(names.SERVERS_PREFIX)


def decode(
    key: str, value: bytes
) -> servers.BackendServer | site_config.InvalidDocument:
    """Parses a server's entry.

    Other programs also write entries.  An entry with a missing field or a field
    of the wrong type describes no usable server and is rejected as a whole.

    Returns:
      The server, or which field is invalid and why.
    """
    entry = _parse_json(value)
    if not isinstance(entry, dict):
        return site_config.InvalidDocument(key, "not a JSON object")
    address = _address(entry.get("address"))
    state = entry.get("state")
    if address is None:
        found = reprlib.repr(entry.get("address"))
        return site_config.InvalidDocument(
            f"{key}.address", f"expected IP:PORT, got {found}"
        )
    if not isinstance(state, str) or state not in _STATES:
        known = ", ".join(_STATES)
        return site_config.InvalidDocument(
            f"{key}.state",
            f"expected one of {known}; got {reprlib.repr(state)}",
        )
    for name in ("service", "zone", "version"):
        if not _is_text(entry.get(name)):
            found = ascii(reprlib.repr(entry.get(name)))
            return site_config.InvalidDocument(
                f"{key}.{name}", f"expected a short string, got {found}"
            )
    for name in ("slots", "sequence"):
        if not _is_count(entry.get(name)):
            found = reprlib.repr(entry.get(name))
            return site_config.InvalidDocument(
                f"{key}.{name}", f"expected a non-negative integer, got {found}"
            )
    born = entry.get("born", 0)
    if not _is_count(born):
        return site_config.InvalidDocument(
            f"{key}.born",
            f"expected a non-negative integer, got {reprlib.repr(born)}",
        )
    models = _resident_models(entry.get("models", []))
    if models is None:
        found = reprlib.repr(entry.get("models"))
        return site_config.InvalidDocument(
            f"{key}.models", f"expected a list of models, got {found}"
        )
    at_hand = entry.get("at_hand")
    return servers.BackendServer(
        server_id=server_id(key),
        service=entry["service"],
        address=address,
        domain=entry["zone"],
        slots=entry["slots"],
        leaving=_STATES[state] or _is_count(entry.get("remaining_ms")),
        born_ms=born,
        # In an entry "sequence" is the version of the entry; in a report it is
        # the number of orders that the engine has accepted.
        beat=entry["sequence"],
        models=models,
        in_memory=_name_list(at_hand, "in_memory"),
        on_disk=_name_list(at_hand, "on_disk"),
        software_version=entry["version"],
    )


def decode_report(value: bytes) -> orders.Report | site_config.InvalidDocument:
    """Parses an engine's report.

    Returns:
      The report, or which field is invalid and why.
    """
    report = _parse_json(value)
    if not isinstance(report, dict):
        return site_config.InvalidDocument("report", "not a JSON object")
    models = _resident_models(report.get("models"))
    sequence = report.get("sequence")
    if models is None or not _is_count(sequence):
        found = reprlib.repr((report.get("models"), sequence))
        return site_config.InvalidDocument(
            "report",
            f"expected models and a non-negative sequence, got {found}",
        )
    at_hand = report.get("at_hand")
    return orders.Report(
        born_ms=_integer(report.get("born")),
        sequence=sequence,
        busy=report.get("busy") is True,
        models=models,
        coming=_loading(report.get("coming")),
        in_memory=_name_list(at_hand, "in_memory"),
        on_disk=_name_list(at_hand, "on_disk"),
        running=_integer(report.get("running_reqs")),
        queued=_integer(report.get("queued_reqs")),
        cache_used=_integer(report.get("kv_used")),
        cache_total=_integer(report.get("kv_total")),
    )


def _parse_json(value: bytes) -> Any:
    try:
        return json.loads(value)
    except (ValueError, RecursionError):
        return None


def _is_count(value: Any) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and 0 <= value <= _MAX_COUNT
    )


def _is_text(value: Any) -> bool:
    if not isinstance(value, str) or len(value) > _MAX_TEXT:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0
    is_usable = -_MAX_COUNT <= value <= _MAX_COUNT and not math.isnan(value)
    return int(value) if is_usable else 0


def _address(value: Any) -> http1.Address | None:
    if not isinstance(value, str):
        return None
    host, _, number = value.rpartition(":")
    port = digits.parse(number)
    if port is None or not 0 < port < 65536:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return http1.Address(host, port)


def _resident_models(value: Any) -> tuple[servers.Resident, ...] | None:
    if not isinstance(value, list):
        return None
    residents = []
    for row in value:
        if not isinstance(row, dict) or not _is_text(row.get("name")):
            return None
        adapters = row.get("adapters", [])
        if not isinstance(adapters, list):
            return None
        residents.append(
            servers.Resident(
                row["name"],
                _integer(row.get("version")),
                tuple(_adapter(a) for a in adapters),
            )
        )
    return tuple(residents)


def _adapter(value: Any) -> str:
    """Returns an adapter's name from [MODEL/]NAME[@VERSION] or an object."""
    return _named(value).rpartition("/")[2]


def _named(value: Any) -> str:
    """Returns the text before "@" of a name or an object's name, or ""."""
    if isinstance(value, dict):
        value = value.get("name")
    return value.partition("@")[0] if _is_text(value) else ""


def _loading(value: Any) -> tuple[tuple[str, str], ...]:
    """Parses a list of MODEL[/ADAPTER][@VERSION] to (model, adapter) pairs."""
    if not isinstance(value, list):
        return ()
    pairs = []
    for item in value:
        model, _, adapter = _named(item).partition("/")
        pairs.append((model, adapter))
    return tuple(pairs)


def _name_list(value: Any, name: str) -> tuple[str, ...]:
    rows = value.get(name) if isinstance(value, dict) else None
    if not isinstance(rows, list):
        return ()
    return tuple(name for name in map(_named, rows) if name)
