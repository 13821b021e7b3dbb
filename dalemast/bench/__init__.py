"""The load and experiment tool: real processes over loopback, seeded load, measured policies."""
