"""HTTP plumbing, shared by all processes.

Servers and a general client on tornado, and a leaner client for many short calls to one address.
"""
