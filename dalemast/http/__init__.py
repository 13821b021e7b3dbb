"""HTTP plumbing on tornado, shared by all processes."""
