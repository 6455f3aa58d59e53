"""The interface of backend servers and its HTTP transport."""
