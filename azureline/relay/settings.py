"""Settings of a VM that relays, read at start and when the file changes."""

from typing import NamedTuple

from azureline.config import bounds
from azureline.config import defaults
from azureline.config import jsonc
from azureline.config import problems
from azureline.config import structure

_SECTION = "relay"


class Store(NamedTuple):
    """The platform's store.

    Attributes:
      address: where it accepts calls.
      timeout_s: seconds after which a call counts as unanswered.
      watch_s: seconds that a watch waits at most.
      pause_s: seconds from a watch's answer to the next watch.
    """

    address: bounds.Address
    timeout_s: bounds.Seconds
    watch_s: bounds.Seconds
    pause_s: bounds.Seconds


class Engines(NamedTuple):
    """Engines, as far as they do not tell it themselves.

    Attributes:
      read_tokens_per_s: tokens of prompts that one reads a second.
    """

    read_tokens_per_s: bounds.Rate


class Orders(NamedTuple):
    """Orders to engines.

    Attributes:
      lease_s: seconds after which the lease of a silent holder ends.
      renew_s: seconds between renewals.
      valid_s: seconds after a renewal in which orders may be sent.
      turn_s: seconds that must lie between orders of two holders.
      margin_s: seconds added to waits for another holder's orders.
    """

    lease_s: bounds.Seconds
    renew_s: bounds.Seconds
    valid_s: bounds.Seconds
    turn_s: bounds.Seconds
    margin_s: bounds.Seconds


class Repeats(NamedTuple):
    """Sends beyond the first of each request, over all nodes.

    Attributes:
      ratio: per request.
      window_s: seconds of the sliding window.
      allowance: that are always allowed in a window.
    """

    ratio: bounds.Weight
    window_s: bounds.Seconds
    allowance: bounds.Weight


class Loads(NamedTuple):
    """Loads from the weight store, over all engines.

    Attributes:
      window_s: seconds of the sliding window.
      over: factor on the configured rate that is still allowed.
    """

    window_s: bounds.Seconds
    over: bounds.Weight


class Stop(NamedTuple):
    """A planned stop.

    Attributes:
      notice_s: seconds in which the balancer notices that a node is leaving.
      grace_s: seconds from the signal to the end of the process.
    """

    notice_s: bounds.Seconds
    grace_s: bounds.Seconds


class Log(NamedTuple):
    """What is logged.

    Attributes:
      lines_per_s: lines that are written each second at most.
    """

    lines_per_s: bounds.Positive


class RelaySettings(NamedTuple):
    """Settings of one VM.

    Attributes:
      name: unique name of the VM.
      host: its IP address.
      domain: its failure domain.
      callers: where callers connect.
      readiness: where the balancer asks for readiness.
      link_mbps: speed of the VM's link; 0 if not known.
      node_port: UDP port for other nodes.
      metrics_port: TCP port for metrics as text; 0 for none.
      connect_s: seconds to open a connection to a backend server.
      store: the platform's store.
      engines: what engines are like.
      orders: orders to engines.
      repeats: sends beyond the first of each request.
      loads: loads from the weight store.
      stop: a planned stop.
      log: what is logged.
    """

    name: bounds.Name
    host: bounds.Host
    domain: str
    callers: bounds.Address
    readiness: bounds.Address
    link_mbps: bounds.Weight
    node_port: bounds.Port
    metrics_port: bounds.Count
    connect_s: bounds.Seconds
    store: Store
    engines: Engines
    orders: Orders
    repeats: Repeats
    loads: Loads
    stop: Stop
    log: Log


def read(path: str) -> RelaySettings | problems.Invalid:
    """Reads and checks a settings file."""
    source = jsonc.load(path)
    if isinstance(source, problems.Invalid):
        return source
    document = defaults.complete(source.value, _SECTION)
    if not isinstance(document, problems.Invalid):
        document = structure.typed(RelaySettings, document)
    if isinstance(document, problems.Invalid):
        found = [source.locate(problem) for problem in document.problems]
        return problems.Invalid(tuple(found))
    return document
