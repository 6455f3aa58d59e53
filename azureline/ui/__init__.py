"""The command line; the commands contain no logic of their own."""
