"""Streams and datagrams between azureline nodes."""
