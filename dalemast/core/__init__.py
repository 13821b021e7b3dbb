"""The decision logic, without input and output.

No module of this package opens a socket, reads a clock or a file, or uses an unseeded random
generator; the time and the generator are arguments. ``tests/core/test_imports.py`` checks imports.
"""
