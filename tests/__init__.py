"""Tests of azureline; the modules mirror those of the package."""
