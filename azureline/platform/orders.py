"""Orders to engines and how engines answer them."""

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
    """Returns the call that gives an order.

    Args:
      order: the order.
      instance: id of the engine that must take it.
      holder: name of the holder of the engine's orders.
      token: fencing token of the holder's turn.
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


def outcome(answer: http1.Answer | http1.Failed) -> orders.Outcome:
    """Returns how an engine took an order."""
    if isinstance(answer, http1.Failed):
        return orders.Outcome.UNKNOWN
    return _OUTCOMES.get(answer.head.status, orders.Outcome.UNKNOWN)


def report_request(address: http1.Address, instance: str) -> http1.Request:
    """Returns the call that asks an engine for its report."""
    return http1.Request(
        b"GET",
        b"/report",
        (
            (b"host", f"{address.host}:{address.port}".encode()),
            (names.EXPECT_INSTANCE, instance.encode()),
        ),
    )
