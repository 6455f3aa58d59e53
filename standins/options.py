"""Options of the stand-ins; each field is an option of the command line."""

from collections.abc import Callable
import inspect
from typing import Any
from typing import NamedTuple

import typer


class PlatformOptions(NamedTuple):
    """Options of the platform: rates, delays and transfer speeds.

    Attributes:
      port: TCP port; 0 takes a free one.
      host: address in 127.0.0.0/8.
      seed: unused; the platform makes no random choice.
      writes_per_s: writes of the key-value service, leases included.
      reads_per_s: reads of the key-value service; a watch counts as one.
      answer_ms: delay of each reply, in milliseconds.
      vm_lag_s: age of the VM list, in seconds.
      store_rate: starts of model loads per second.
      store_at_once: model loads that run at full speed together.
      store_bytes_per_s: full speed of one model load.
      adapters_at_once: adapter loads that run at full speed together.
    """

    port: int = 0
    host: str = "127.0.0.1"
    seed: int = 0
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    answer_ms: float = 3.0
    vm_lag_s: float = 1.0
    store_rate: float = 1.5
    store_at_once: int = 5
    store_bytes_per_s: float = 20e9
    adapters_at_once: int = 40


class ServerOptions(NamedTuple):
    """Options of a ledger engine or a plain service.

    Attributes:
      name: name of the VM.
      domain: its failure domain.
      platform: URL of the platform stand-in, or "" to stay unregistered.
      port: TCP port; 0 takes a free one.
      host: address in 127.0.0.0/8.
    """

    name: str = "server-1"
    domain: str = "d1"
    platform: str = ""
    port: int = 0
    host: str = "127.0.0.1"


class EngineOptions(NamedTuple):
    """Options of a model engine.

    Attributes:
      name: name of the VM.
      domain: its failure domain.
      platform: URL of the platform stand-in; if "", loads take no time.
      port: TCP port; 0 takes a free one.
      host: address in 127.0.0.0/8.
      memory_bytes: capacity of the accelerator memory.
      tokens_per_s: tokens per second of each running stream.
      max_running: streams that run at once; more are queued.
      first_token_ms: time to the first token of a stream.
      prefix_slots: prompt prefixes in the cache; a hit takes a third of the
        time to the first token.
      cache_bytes_per_token: cache bytes per token of prompt or answer.
      report_lag_s: age of the reported state, in seconds.
      adapter_ms: time to load one adapter, in milliseconds.
      fences: whether the engine refuses an order with a lower fencing token
        than that of an earlier order.
      memory_check: whether the engine refuses loads and requests that exceed
        its free memory.
      resident: models loaded at start-up, as NAME@VERSION=BYTES.
    """

    name: str = "engine-1"
    domain: str = "d1"
    platform: str = ""
    port: int = 0
    host: str = "127.0.0.1"
    memory_bytes: int = 80_000_000_000
    tokens_per_s: float = 40.0
    max_running: int = 64
    first_token_ms: float = 60.0
    prefix_slots: int = 256
    cache_bytes_per_token: int = 100_000
    report_lag_s: float = 0.5
    adapter_ms: float = 5.0
    fences: bool = True
    memory_check: bool = True
    resident: list[str] = []


class KvOptions(NamedTuple):
    """Options of the users' store.

    Attributes:
      port: TCP port; 0 takes a free one.
      host: address in 127.0.0.0/8.
      history: number of past changes that a watch can replay.
      config: file with the operators' configuration, or "".
    """

    port: int = 0
    host: str = "127.0.0.1"
    history: int = 2000
    config: str = ""


class SiteServerOptions(NamedTuple):
    """Options of a backend server of the users' platform.

    Attributes:
      name: id of the server.
      service: name of the server's service.
      domain: its failure domain.
      store: URL of the store.
      address: IP:PORT that the server publishes in the store.
      port: TCP port.
      host: address in 127.0.0.0/8.
      slots: maximum number of requests that run at once.
      work_s: duration of a request in seconds.
      load_s: duration of the load or unload of a model in seconds.
      places: number of models that fit into memory.
      adapter_places: number of adapters that fit into memory.
      models: whether the server is a model engine.
      resident: models loaded at start-up.
      born: Unix time of the server's start in milliseconds.
      beat_s: interval in seconds at which the server rewrites its entry.
      version: version of the server's software.
    """

    name: str = "server-1"
    service: str = "ledger"
    domain: str = "d1"
    store: str = ""
    address: str = ""
    port: int = 0
    host: str = "127.0.0.1"
    slots: int = 16
    work_s: float = 0.05
    load_s: float = 0.3
    places: int = 2
    adapter_places: int = 2
    models: bool = False
    resident: list[str] = []
    born: int = 1
    beat_s: float = 0.5
    version: str = "v1"


def run(main: Callable[[Any], None], kind: type) -> None:
    """Parses the command line into a `kind` and calls `main` with it."""

    def command(**values: Any) -> None:
        main(kind(**values))

    fields = [
        inspect.Parameter(
            name,
            inspect.Parameter.KEYWORD_ONLY,
            default=typer.Option(kind._field_defaults[name]),
            annotation=annotation,
        )
        for name, annotation in kind.__annotations__.items()
    ]
    command.__signature__ = inspect.Signature(fields)
    command.__annotations__ = dict(kind.__annotations__)
    command.__doc__ = main.__doc__
    typer.run(command)
