"""Decisions on a single request: admission, choice of server, retries."""
