"""Pictures for people: worth by day and round, and a day's load and response times."""

from dalemast.bench.plots.days import DaySecond, draw_day, read_day
from dalemast.bench.plots.rounds import Round, draw_rounds, read_rounds

__all__ = ["DaySecond", "Round", "draw_day", "draw_rounds", "read_day", "read_rounds"]
