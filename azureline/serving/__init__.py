"""The path of a request through a node, from its caller to its answer."""
