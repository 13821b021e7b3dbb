"""What operators do from their shell: one module a subcommand of ``dalemast ctl``."""
