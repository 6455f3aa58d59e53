"""Builders of test data for routing."""

import itertools
import random

from azureline import requests
from azureline.routing import picker

_ids = itertools.count()


def call(**fields):
    """Returns a generation; `fields` replace the default fields."""
    number = next(_ids)
    defaults = {
        "request_id": f"r{number}",
        "caller": "tuul-line-1",
        "model": "seam",
        "adapter": "",
        "priority": requests.Priority.NORMAL,
        "deadline": 1e9,
        "prompt_tokens": 200,
        "max_tokens": 100,
        "prefix": b"",
        "content": b"c%d" % number,
    }
    return requests.ModelCall(**(defaults | fields))


def candidate(engine="e1", domain="d1", adapters=(), max_running=32, **fields):
    """Returns a replica that accepts work."""
    return picker.Candidate(
        engine, domain, frozenset(adapters), max_running, **fields
    )


def candidates(count, **fields):
    """Returns replicas e0, e1, ... in three failure domains."""
    return [
        candidate(f"e{i}", domain=f"d{i % 3}", **fields) for i in range(count)
    ]


def new_picker(seed=1, node="n1", gate=None, cls=picker.Picker, **settings):
    """Returns a picker with its own seeded random generator."""
    return cls(
        node, "d0", random.Random(seed), gate, picker.Settings(**settings)
    )
