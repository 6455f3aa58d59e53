"""Callers known by the digest of their API key."""

import hashlib
from typing import NamedTuple

from azureline import requests
from azureline.core import errors


class Identity(NamedTuple):
    """A caller that has shown its key.

    Attributes:
      name: name of the caller.
      highest: the most urgent class it may ask for.
    """

    name: str
    highest: requests.Priority


class Credentials:
    """Looks callers up by the digest of the key they present."""

    def __init__(self, by_digest: dict[str, Identity]):
        """Creates the table.

        Args:
          by_digest: callers by the hexadecimal SHA-256 of their key.
        """
        self._by_digest = by_digest

    def identify(self, authorization: str) -> Identity | errors.Refusal:
        """Returns the caller of an Authorization header.

        Args:
          authorization: the header's value, "Bearer KEY".
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return _refused("The Authorization header must be a bearer key.")
        known = self._by_digest.get(hashlib.sha256(key.encode()).hexdigest())
        if known is None:
            return _refused("No caller has this key.")
        return known


def _refused(detail: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.UNAUTHENTICATED, detail)
