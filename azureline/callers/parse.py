"""Parses callers' requests into typed calls."""

import hashlib
import json
import math
from typing import Any
from typing import NamedTuple

from azureline import requests
from azureline.core import errors

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 32_768
MAX_DEADLINE_S = 3_600.0
PREFIX_CHARS = 1_024
CHARS_PER_TOKEN = 4
_DIGEST_BYTES = 16


class ChatRequest(NamedTuple):
    """A validated body of a chat completions request.

    Attributes:
      model: name of a model or of an adapter.
      messages: the messages as sent, each with "role" and "content".
      max_tokens: maximum number of generated tokens.
      stream: whether the caller wants a stream of events.
    """

    model: str
    messages: list[dict[str, str]]
    max_tokens: int
    stream: bool


class Target(NamedTuple):
    """The model and adapter to which a request's model name resolves.

    Attributes:
      model: name of the model.
      adapter: name of the adapter, or "".
    """

    model: str
    adapter: str


def bad_request(detail: str) -> errors.Refusal:
    """Returns the refusal of a malformed request."""
    return errors.Refusal(errors.ErrorKind.BAD_REQUEST, detail)


def parse_chat(body: bytes) -> ChatRequest | errors.Refusal:
    """Validates the body of a chat completions request.

    Unknown members are ignored, since clients send many parameters that this
    interface does not support.
    """
    try:
        fields = json.loads(body)
    except ValueError as e:
        return bad_request(f"The body is not JSON: {e}.")
    if not isinstance(fields, dict):
        return bad_request("The body must be a JSON object.")
    if not isinstance(fields.get("model"), str) or not fields["model"]:
        return bad_request("`model` must be a non-empty string.")
    messages = _messages(fields.get("messages"))
    if messages is None:
        return bad_request(
            "`messages` must be a list of objects with text contents."
        )
    max_tokens = fields.get("max_tokens", DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        return bad_request(f"`max_tokens` must be from 1 to {MAX_TOKENS}.")
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return bad_request("`stream` must be true or false.")
    return ChatRequest(fields["model"], messages, max_tokens, stream)


def parse_priority(
    header: str, highest: requests.Priority
) -> requests.Priority | errors.Refusal:
    """Parses the X-Priority header, limited to the caller's highest class."""
    if not header:
        return max(requests.Priority.NORMAL, highest)
    try:
        requested = requests.Priority[header.upper()]
    except KeyError:
        names = ", ".join(p.name.lower() for p in requests.Priority)
        return bad_request(f"X-Priority must be one of: {names}.")
    return max(requested, highest)


def parse_deadline_s(header: str, default_s: float) -> float | errors.Refusal:
    """Parses the X-Deadline-S header: seconds from now."""
    if not header:
        return default_s
    try:
        seconds = float(header)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_DEADLINE_S:
        return bad_request(
            f"X-Deadline-S must be over 0, up to {MAX_DEADLINE_S:g}."
        )
    return seconds


def model_call(
    parsed: ChatRequest,
    target: Target,
    request_id: str,
    caller: str,
    priority_class: requests.Priority,
    deadline: float,
) -> requests.ModelCall:
    """Returns the typed call of a validated request."""
    text = json.dumps(parsed.messages, sort_keys=True, ensure_ascii=False)
    name = f"{target.model}\0{target.adapter}\0"
    return requests.ModelCall(
        request_id=request_id,
        caller=caller,
        model=target.model,
        adapter=target.adapter,
        priority=priority_class,
        deadline=deadline,
        prompt_tokens=len(text) // CHARS_PER_TOKEN + 1,
        max_tokens=parsed.max_tokens,
        prefix=content_digest((name + text[:PREFIX_CHARS]).encode()),
        content=content_digest(f"{name}{parsed.max_tokens}\0{text}".encode()),
    )


def content_digest(data: bytes) -> bytes:
    """Returns a digest that identifies content."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def _messages(value: Any) -> list[dict[str, str]] | None:
    if not isinstance(value, list) or not value:
        return None
    messages = []
    for item in value:
        if not isinstance(item, dict):
            return None
        role = item.get("role")
        content = item.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        messages.append({"role": role, "content": content})
    return messages
