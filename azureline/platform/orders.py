"""Builds orders to engines and parses the engines' answers."""

import json

from azureline.platform import names
from azureline.relay import orders
from azureline.util import http1

_OUTCOMES = {
    202: orders.Outcome.ACCEPTED,
    200: orders.Outcome.HOLDS,
    409: orders.Outcome.OUT_OF_TURN,
    412: orders.Outcome.OUTBID,
    400: orders.Outcome.INVALID,
    421: orders.Outcome.OTHER_SERVER,
}


def encode(
    order: orders.Order,
    instance: str,
    holder: str,
    token: int,
    address: http1.Address,
) -> http1.Request:
    """Builds the request that sends an order to an engine.

    Args:
      order: the order.
      instance: id of the engine instance that must accept the order.
      holder: name of the node that holds the engine's lease.
      token: fencing token of the lease holder's term.
      address: the engine's address.
    """
    body: dict[str, str | int] = {
        "op": order.verb.value,
        "model": order.model,
        "expected": order.expected,
        "holder": holder,
        "fencing_token": token,
    }
    if order.adapter:
        body["adapter"] = order.adapter
    return http1.Request(
        b"POST",
        b"/order",
        (
            (b"host", f"{address.host}:{address.port}".encode()),
            (b"content-type", b"application/json"),
            (names.EXPECT_INSTANCE, instance.encode()),
        ),
        json.dumps(body).encode(),
    )


def parse_outcome(answer: http1.Answer | http1.Failure) -> orders.Outcome:
    """Returns the outcome of an order; UNKNOWN if the call failed."""
    if isinstance(answer, http1.Failure):
        return orders.Outcome.UNKNOWN
    return _OUTCOMES.get(answer.head.status, orders.Outcome.UNKNOWN)


def build_report_request(
    address: http1.Address, instance: str
) -> http1.Request:
    """Builds the request for an engine's report."""
    return http1.Request(
        b"GET",
        b"/report",
        (
            (b"host", f"{address.host}:{address.port}".encode()),
            (names.EXPECT_INSTANCE, instance.encode()),
        ),
    )
