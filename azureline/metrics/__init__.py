"""Counters, timers and histograms, sent to statsd or scraped."""
