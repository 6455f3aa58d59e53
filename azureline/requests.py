"""Typed requests for admission, routing and retry decisions."""

import enum
from typing import NamedTuple


class Priority(enum.IntEnum):
    """Priority classes of requests; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class ModelCall(NamedTuple):
    """A request for a generation by a model.

    Attributes:
      request_id: unique id of the request, returned in its answer.
      caller: name of the caller, from its credentials.
      model: name of the model.
      adapter: name of the adapter, or "" for the base model.
      priority: priority class of the request.
      deadline: monotonic time in seconds by which the answer must be
        complete.
      prompt_tokens: estimated length of the prompt.
      max_tokens: upper bound on the generated tokens.
      prefix: digest of the prompt's prefix, for cache affinity.
      content: digest of model, adapter and body; identifies a request that
        crashes backend servers, independent of its caller.
    """

    request_id: str
    caller: str
    model: str
    adapter: str
    priority: Priority
    deadline: float
    prompt_tokens: int
    max_tokens: int
    prefix: bytes
    content: bytes


class ServiceCall(NamedTuple):
    """A call to a ledger engine or a plain service.

    Attributes:
      request_id: unique id of the request.
      caller: name of the caller.
      service: name of the service in the configuration.
      path: path below the service's root, with its query.
      idempotent: whether the call may be repeated.
      key: the Idempotency-Key, or "" for an idempotent call.
      priority: priority class of the request.
      deadline: monotonic time in seconds by which the answer must be
        complete.
      content: digest of service, path and body.
    """

    request_id: str
    caller: str
    service: str
    path: str
    idempotent: bool
    key: str
    priority: Priority
    deadline: float
    content: bytes
