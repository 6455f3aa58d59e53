"""Clocks, tasks, error kinds and the wire codec."""
