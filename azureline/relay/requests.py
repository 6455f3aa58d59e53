"""A caller's request as the relay sees it."""

from typing import NamedTuple

from azureline.util import http1


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share.

    Attributes:
      name: identity of the part.
      tokens: its length.
    """

    name: str
    tokens: int


class CallerRequest(NamedTuple):
    """A request that was read whole.

    Attributes:
      request_id: the caller's id of this attempt; "" if there is none.
      method: HTTP method.
      target: path with its query, unchanged.
      host: name of the host that the caller addressed.
      headers: end-to-end headers to pass on.
      body: the whole body.
      patience_s: seconds that the caller will wait; None if not said.
      model: model that must serve it; "" for plain services.
      adapter: adapter of that model, or "".
      prompt_tokens: length of the prompt.
      output_tokens: most tokens of the answer.
      parts: parts of the prompt in order; the last belongs to it alone.
      last_event: id of the last event that the caller has, or "".
      caller: address from which it came, or "".
      key: the caller's key, or "".
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    headers: http1.Headers
    body: bytes
    patience_s: float | None = None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ""
    caller: str = ""
    key: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests have too."""
        return self.parts[:-1]
