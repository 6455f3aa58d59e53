"""Stand-ins for the systems around azureline, for tests and the demo."""
