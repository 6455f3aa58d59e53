"""Domain-free building blocks: clocks, tasks, errors and the wire codec."""
