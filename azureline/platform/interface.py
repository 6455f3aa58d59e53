"""Interfaces of the platform that azureline needs, without their transport.

Each method of `KeyValue` makes one call, which counts against the service's
rate limit.  A call without an answer in time returns `Unavailable`; a write may
have taken effect nevertheless.
"""

from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer


class Unavailable(NamedTuple):
    """Falsy sentinel: the service gave no usable answer.

    Unless `sent` is False, the call may have taken effect.

    Attributes:
      reason: what went wrong, for logs.
      sent: whether the call may have reached the service.
    """

    reason: str
    sent: bool = True

    def __bool__(self) -> bool:
        return False


class Conflict(NamedTuple):
    """Falsy sentinel: the compare-and-swap found another version.

    Attributes:
      current: the key's current entry; None if the key is absent.
    """

    current: "Entry | None"

    def __bool__(self) -> bool:
        return False


class Entry(NamedTuple):
    """A key's value and version.

    Attributes:
      value: the value, at most 1 MB.
      version: increases with each write of the key; 0 means that the key is
        absent.
    """

    value: bytes
    version: int


class KeyValue(Protocol):
    """The platform's key-value service with compare-and-swap and leases."""

    def get(self, key: str) -> defer.Deferred[Entry | None | Unavailable]:
        """Reads a key."""

    def put(
        self, key: str, value: bytes, version: int, lease_id: str = ""
    ) -> defer.Deferred[Entry | Conflict | Unavailable]:
        """Writes a key if its version is `version`; 0 means absent.

        Args:
          key: the key to write.
          value: the new value.
          version: the version that the key must have.
          lease_id: the lease that the key is attached to, or "".  The service
            deletes the key when the lease expires.
        """

    def grant(self, ttl_s: float) -> defer.Deferred[str | Unavailable]:
        """Creates a lease and returns its id."""

    def renew(self, lease_id: str) -> defer.Deferred[bool | Unavailable]:
        """Renews a lease; False if it has expired."""

    def watch(
        self, key: str, version: int, wait_s: float
    ) -> defer.Deferred[Entry | None | Unavailable]:
        """Waits for a version other than `version`; None after `wait_s`."""


class Vm(NamedTuple):
    """A VM in the platform's list.

    Attributes:
      name: name of the VM.
      host: its IP address.
      port: its port.
      role: "node", "engine", "ledger" or "service".
      domain: its failure domain.
      leaving: whether the platform has asked the VM to shut down.
    """

    name: str
    host: str
    port: int
    role: str
    domain: str
    leaving: bool


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it may be out of date."""

    def list(self) -> defer.Deferred[tuple[Vm, ...] | Unavailable]:
        """Reads the whole list."""
