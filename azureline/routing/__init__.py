"""Decisions about a single request: admission, choice of server, retries."""
