"""Authentication of callers by API key."""

import hashlib
from typing import NamedTuple

from azureline import requests
from azureline.core import errors


class Identity(NamedTuple):
    """An authenticated caller.

    Attributes:
      name: name of the caller.
      highest_priority: the most urgent priority class that it may request.
    """

    name: str
    highest_priority: requests.Priority


class Credentials:
    """Finds callers by the SHA-256 digest of their API key."""

    def __init__(self, by_digest: dict[str, Identity]):
        """Creates the table.

        Args:
          by_digest: callers by the hexadecimal SHA-256 of their API key.
        """
        self._by_digest = by_digest

    def identify(self, authorization: str) -> Identity | errors.Refusal:
        """Authenticates a request by its Authorization header.

        Args:
          authorization: the header's value, "Bearer KEY".

        Returns:
          The caller, or the refusal of a missing or unknown key.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return _refused(
                'The Authorization header must have the form "Bearer KEY".'
            )
        known = self._by_digest.get(hashlib.sha256(key.encode()).hexdigest())
        if known is None:
            return _refused("No caller has this key.")
        return known


def _refused(detail: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.UNAUTHENTICATED, detail)
