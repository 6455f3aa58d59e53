"""Addresses as text."""

from azureline.util import http1


def parse(text: str) -> http1.Address:
    """Parses an address of the form IP:PORT."""
    host, _, port = text.rpartition(":")
    return http1.Address(host.strip("[]"), int(port))
