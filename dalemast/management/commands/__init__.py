"""The commands, with one module per command."""
