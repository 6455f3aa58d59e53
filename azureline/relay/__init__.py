"""Relays callers' requests byte for byte to backend servers of a site."""
