"""Helpers grouped by subject."""
