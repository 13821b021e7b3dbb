"""Dispatching on a platform with leased workers: entries own jobs, agents control workers."""
