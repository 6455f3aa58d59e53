"""Quotas of workspaces, which bind all nodes together."""
