"""Configuration files: parsing, overlays, checks, versions and deltas."""
