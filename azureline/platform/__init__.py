"""Clients and formats of the platform's services: store, VM list and orders."""
