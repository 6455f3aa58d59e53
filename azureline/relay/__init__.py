"""Relays callers' requests unchanged, byte for byte, to backend servers."""
