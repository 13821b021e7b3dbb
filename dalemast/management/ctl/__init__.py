"""Subcommands of ``dalemast ctl``, with one module per subcommand."""
