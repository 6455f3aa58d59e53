"""Decisions about the fleet: ownership, memory, placement, membership."""
