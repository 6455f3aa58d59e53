"""The operators' read-only interface of a node."""
