"""The decisions, free of input and output.

Nothing below this package opens a socket, reads a clock or a file, or draws an unseeded random
number: time and chance are arguments. ``tests/core/test_imports.py`` enforces it.
"""
