"""Measures the processor time per call of routing decisions.

Run as `python -m tools.admission_bench`.  A node serves 210 models.  Each call
is offered, sent and completed, and then the queue is polled.
"""

import random
import time

from azureline import requests
from azureline.routing import admission
from azureline.routing import breaker
from azureline.routing import limits
from azureline.routing import outcome
from azureline.routing import picker

_MODELS = 210
_CALLS = 5000
_COMPLETED = outcome.Sample(outcome.Outcome.WHOLE, 1.0, 0.1, 0.04, 50)


def _replicas(count: int) -> list[picker.Candidate]:
    return [
        picker.Candidate(f"e{i}", f"d{i % 7}", frozenset(), 64)
        for i in range(count)
    ]


def per_call_s(replicas: int) -> float:
    """Returns the processor seconds per call of a model with `replicas`."""
    rng = random.Random(1)
    chooser = picker.Picker("n1", "d0", rng, breaker.Breakers(rng))
    node_admission = admission.Admission(chooser, limits.Limits(), rng)
    for i in range(_MODELS):
        node_admission.set_candidates(f"m{i}", _replicas(replicas))
    start = time.process_time()
    for i in range(_CALLS):
        name = f"r{i}"
        call = requests.ModelCall(
            name, "c", "m0", "", requests.Priority.NORMAL, 1e9, 200, 150,
            b"p%d" % (i % 50), name.encode(),
        )  # fmt: skip
        now = i * 0.01
        node_admission.submit(now, call)
        node_admission.next(now)
        node_admission.finish(now, name, _COMPLETED)
        node_admission.next(now)
    return (time.process_time() - start) / _CALLS


def main() -> None:
    """Prints the cost per call with 4, 8 and 50 replicas."""
    for replicas in (4, 8, 50):
        cost_s = per_call_s(replicas)
        print(f"{replicas} replicas: {cost_s * 1e6:.0f} us a call")


if __name__ == "__main__":
    main()
