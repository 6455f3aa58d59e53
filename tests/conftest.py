"""Settings that every test run shares."""

import hypothesis

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("fixed")
