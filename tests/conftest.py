"""Settings that every test run shares."""

import hypothesis
from hypothesis.internal.conjecture import providers

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("fixed")

# Hypothesis also draws constants that it finds in the modules imported so far,
# so that what a test tries would depend on the tests that ran before it.
providers._get_local_constants = lambda: providers._local_constants
