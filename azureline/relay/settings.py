"""Settings of a relay node, read at start."""

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
      address: its address for calls.
      timeout_s: seconds after which a call fails without an answer.
      watch_s: maximum wait of a watch, in seconds.
      pause_s: seconds from a watch's answer to the next watch.
    """

    address: bounds.Address
    timeout_s: bounds.Seconds
    watch_s: bounds.Seconds
    pause_s: bounds.Seconds


class Engines(NamedTuple):
    """Properties of engines that the engines do not report themselves.

    Attributes:
      read_tokens_per_s: prompt tokens that an engine reads per second.
      weigh_prefixes: whether what an engine caches of a prompt is weighed
        against the wait there; if not, requests with a common beginning go to
        one engine while its load allows.
    """

    read_tokens_per_s: bounds.Rate
    weigh_prefixes: bool


class Orders(NamedTuple):
    """Leases and timing of orders to engines.

    Attributes:
      lease_s: seconds after which the lease of an unresponsive lease holder
        ends.
      renew_s: seconds between renewals of a lease.
      valid_s: seconds after a renewal in which orders may be sent.
      turn_s: minimum seconds between the orders of two lease holders.
      margin_s: seconds added to waits for another lease holder's orders.
    """

    lease_s: bounds.Seconds
    renew_s: bounds.Seconds
    valid_s: bounds.Seconds
    turn_s: bounds.Seconds
    margin_s: bounds.Seconds


class Repeats(NamedTuple):
    """Retry budget: limit on repeated sends of requests, over all nodes.

    Attributes:
      ratio: repeated sends allowed per request.
      window_s: length of the sliding window, in seconds.
      allowance: repeated sends that are always allowed in a window.
    """

    ratio: bounds.Weight
    window_s: bounds.Seconds
    allowance: bounds.Weight


class Loads(NamedTuple):
    """Limit on loads from the weight store, over all engines.

    Attributes:
      window_s: length of the sliding window, in seconds.
      over: factor by which the loads in a window may exceed the configured
        rate.
    """

    window_s: bounds.Seconds
    over: bounds.Weight


class Stop(NamedTuple):
    """A planned stop.

    Attributes:
      notice_s: seconds in which the load balancer detects that a node is
        leaving.
      grace_s: seconds from the signal to the end of the process.
    """

    notice_s: bounds.Seconds
    grace_s: bounds.Seconds


class Log(NamedTuple):
    """Log output.

    Attributes:
      lines_per_s: maximum number of lines written per second.
    """

    lines_per_s: bounds.Positive


class RelaySettings(NamedTuple):
    """Settings of one relay node.

    Attributes:
      name: unique name of the VM.
      host: its IP address.
      domain: its failure domain.
      callers: address that callers connect to.
      readiness: address of the readiness check of the load balancer.
      link_mbps: speed of the VM's link in Mbit/s; 0 if unknown.
      memory_mb: limit on the memory of the process, in MB.
      node_port: UDP port for messages of other nodes.
      metrics_port: TCP port of the metrics in text format; 0 for none.
      connect_s: seconds to open a connection to a backend server.
      store: the platform's store.
      engines: properties of engines.
      orders: leases and timing of orders to engines.
      repeats: retry budget.
      loads: limit on loads from the weight store.
      stop: a planned stop.
      log: log output.
    """

    name: bounds.Name
    host: bounds.Host
    domain: str
    callers: bounds.Address
    readiness: bounds.Address
    link_mbps: bounds.Weight
    memory_mb: bounds.Positive
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
    """Reads and validates a settings file."""
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
