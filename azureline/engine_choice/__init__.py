"""Selects the engine for a request by expected wait and prefill saved."""
