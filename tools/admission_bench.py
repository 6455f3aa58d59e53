"""Measures the processor time of routing decisions per call.

Run as `python -m tools.admission_bench`.  A node knows 210 models; each call
is offered, sent, ended and followed by a look at what waits.
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
_WHOLE = outcome.Sample(outcome.Outcome.WHOLE, 1.0, 0.1, 0.04, 50)


def _replicas(count: int) -> list[picker.Candidate]:
    return [
        picker.Candidate(f"e{i}", f"d{i % 7}", frozenset(), 64)
        for i in range(count)
    ]


def per_call_s(replicas: int) -> float:
    """Returns processor seconds per call of a model with some replicas."""
    rng = random.Random(1)
    chooser = picker.Picker("n1", "d0", rng, breaker.Breakers(rng))
    adm = admission.Admission(chooser, limits.Limits(), rng)
    for i in range(_MODELS):
        adm.set_candidates(f"m{i}", _replicas(replicas))
    start = time.process_time()
    for i in range(_CALLS):
        name = f"r{i}"
        call = requests.ModelCall(
            name, "c", "m0", "", requests.Priority.NORMAL, 1e9, 200, 150,
            b"p%d" % (i % 50), name.encode(),
        )  # fmt: skip
        now = i * 0.01
        adm.submit(now, call)
        adm.next(now)
        adm.finish(now, name, _WHOLE)
        adm.next(now)
    return (time.process_time() - start) / _CALLS


def main() -> None:
    """Prints the cost with few and with many replicas."""
    for replicas in (4, 8, 50):
        cost_s = per_call_s(replicas)
        print(f"{replicas} replicas: {cost_s * 1e6:.0f} us a call")


if __name__ == "__main__":
    main()
