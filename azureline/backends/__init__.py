"""The backend servers' interface and its HTTP transport."""
