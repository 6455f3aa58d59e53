"""Counters and timers sent by statsd."""
