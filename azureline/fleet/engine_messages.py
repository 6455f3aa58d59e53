"""Messages from and to the nodes that own engine slots."""

from typing import NamedTuple

from azureline.backends import interface


class MoveRequest(NamedTuple):
    """Asks an engine's owner to carry out one move of a plan.

    Attributes:
      move_id: identity of the move; a repeated request is carried out once.
      epoch: epoch of the planner; the owner refuses a request with a lower
        epoch than the latest that it knows.
      engine: name of the engine.
      kind: value of an `interface.OrderKind`.
      target: name of the model.
      version: version of the model.
      bytes_needed: memory in bytes that the move takes or frees.
    """

    move_id: str
    epoch: int
    engine: str
    kind: str
    target: str
    version: str
    bytes_needed: int


class MoveDone(NamedTuple):
    """Answers a `MoveRequest`.

    Attributes:
      move_id: identity of the move.
      engine: name of the engine.
      result: "accepted" if an order was sent, else the reason why not.
    """

    move_id: str
    engine: str
    result: str


class AdapterRequest(NamedTuple):
    """Asks an engine's owner to load an adapter.

    Attributes:
      engine: name of the engine.
      adapter: name of the adapter.
    """

    engine: str
    adapter: str


class AdapterReply(NamedTuple):
    """Answers an `AdapterRequest`.

    Attributes:
      engine: name of the engine.
      adapter: name of the adapter.
      incarnation: incarnation of the engine, or "" if the owner knows none.
      ready: whether the adapter is loaded.
      reason: why the adapter is not loaded, or "".
    """

    engine: str
    adapter: str
    incarnation: str
    ready: bool
    reason: str


MESSAGES: dict[int, type] = {
    50: MoveRequest,
    51: MoveDone,
    52: AdapterRequest,
    53: AdapterReply,
}


def order_kind(request: MoveRequest) -> interface.OrderKind | None:
    """Returns the kind of order that a move needs, or None if unknown."""
    try:
        return interface.OrderKind(request.kind)
    except ValueError:
        return None
