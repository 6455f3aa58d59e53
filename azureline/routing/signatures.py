"""Signatures: what requests that crash servers may have in common.

A request and its retries share the digest of their content; other requests
share only a part of their prompts with it.  Digests of the two kinds differ in
length, so that one table and one message can carry both.
"""

import hashlib
from typing import Protocol

_PART_BYTES = 12


class Call(Protocol):
    """The attributes of a call that the decision uses."""

    @property
    def content(self) -> bytes:
        """Digest that identifies the call and its copies."""

    @property
    def model(self) -> str:
        """Name of the model or service whose servers the call runs on."""


def part_signature(name: str) -> bytes:
    """Returns the signature of all prompts with a part of this name."""
    return hashlib.blake2b(name.encode(), digest_size=_PART_BYTES).digest()


def is_part(signature: bytes) -> bool:
    """Returns whether a signature is that of a part of prompts."""
    return len(signature) == _PART_BYTES
