"""Messages between the nodes that use engines and those that own them."""

from typing import NamedTuple

from azureline.backends import interface


class MoveRequest(NamedTuple):
    """Asks an engine's owner to carry out one step of a plan.

    Attributes:
      move_id: identity of the step; a repeated request is carried out once.
      epoch: term of the planner; requests of an earlier one are refused.
      engine: name of the engine.
      kind: value of an `interface.OrderKind`.
      target: name of the model.
      version: version of the model.
      bytes_needed: memory in bytes that the step takes or frees.
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
      move_id: identity of the step.
      engine: name of the engine.
      result: value of an `interface.OrderResult`, or the reason why no order
        was sent.
    """

    move_id: str
    engine: str
    result: str


class AdapterWanted(NamedTuple):
    """Asks an engine's owner to have an adapter loaded.

    Attributes:
      engine: name of the engine.
      adapter: name of the adapter.
    """

    engine: str
    adapter: str


class AdapterState(NamedTuple):
    """Answers an `AdapterWanted`.

    Attributes:
      engine: name of the engine.
      adapter: name of the adapter.
      incarnation: run of the engine that holds it.
      ready: whether it is loaded.
      reason: why it is not, or "".
    """

    engine: str
    adapter: str
    incarnation: str
    ready: bool
    reason: str


MESSAGES: dict[int, type] = {
    50: MoveRequest,
    51: MoveDone,
    52: AdapterWanted,
    53: AdapterState,
}


def order_kind(request: MoveRequest) -> interface.OrderKind | None:
    """Returns the kind of order that a step needs, or None if unknown."""
    try:
        return interface.OrderKind(request.kind)
    except ValueError:
        return None
