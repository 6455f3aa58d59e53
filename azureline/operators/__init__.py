"""The read-only interface of a node for operators."""
