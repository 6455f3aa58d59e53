"""The command line; each command is a small object without logic."""
