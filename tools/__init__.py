"""Developer tools: the demo, the benches, the soak test and the packager."""
