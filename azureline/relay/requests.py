"""A caller's request in the relay."""

from typing import NamedTuple

from azureline.util import http1


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share.

    Attributes:
      name: id of the part; equal parts have equal ids.
      tokens: its length in tokens.
    """

    name: str
    tokens: int


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Attributes:
      request_id: the caller's id of this attempt; "" if there is none.
      method: HTTP method.
      target: path and query, unchanged.
      host: host name that the caller addressed.
      headers: end-to-end headers to pass on.
      body: the whole body.
      patience_s: seconds that the caller waits at most; None if unknown.
      model: model that must serve it; "" for plain services.
      adapter: adapter of that model, or "".
      prompt_tokens: length of the prompt in tokens.
      output_tokens: upper limit of the answer in tokens.
      parts: parts of the prompt in order; only the last is never shared.
      last_event: id of the last event that the caller received, or "".
      resumes: id of the caller's attempt that brought the first event of the
        stream that this request takes up, or "".
      software_version: version of the servers that may serve it; None for any.
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
    resumes: str = ""
    software_version: str | None = None
    key: str = ""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may share."""
        return self.parts[:-1]
