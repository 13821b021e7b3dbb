"""Search for failing histories: ``python -m tests.histories --seeds 1000 [--first N] [--cuts]``.

Prints, for each history that violates a guarantee, its seed, the shrunk history and its trace.
"""

from __future__ import annotations

import argparse
import multiprocessing
import pprint
import sys
import time
from collections import Counter
from collections.abc import Callable

from tests.histories.base import CallFault, Freeze, History, Kill, Outcome
from tests.histories.draw import (
    draw_crash_history,
    draw_cut_history,
    draw_departure_history,
    draw_history,
    draw_load_history,
    draw_preemption_history,
    draw_restart_history,
    draw_split_history,
    draw_suspended_history,
    play,
    shrink,
)
from tests.histories.draw_cancellations import draw_cancel_history

Draw = Callable[[int], History]
"""A function that returns the history of a seed."""


def play_seed(drawn: tuple[Draw, int]) -> tuple[int, Outcome]:
    """Play one seed's history."""
    draw, seed = drawn
    return seed, play(draw(seed))


def describe(history: History) -> str:
    """Return the history and its trace as text."""
    outcome = play(history)
    return "\n".join([pprint.pformat(history), *outcome.trace, ""])


def name_faults(history: History) -> str:
    """Return a one-line summary of the faults and other conditions of a history."""
    kinds = []
    for fault in history.faults:
        if isinstance(fault, CallFault):
            kinds.append(f"{fault.kind} {fault.effect.value}")
        elif isinstance(fault, (Freeze, Kill)):
            kinds.append(f"{type(fault).__name__} {fault.process[:-2]}")
        else:
            kinds.append(type(fault).__name__)
    needed = [f"idle {history.idle_s:g} s"] if history.idle_s > 1.0 else []
    needed += ["slow clock"] if min(history.clock_rates) < 1.0 else []
    needed += ["two entries"] if history.entries > 1 else []
    needed += ["two jobs"] if len(history.jobs) > 1 else []
    return ", ".join([*sorted(kinds), *needed])


def shrink_seed(drawn: tuple[Draw, int]) -> tuple[int, History]:
    """Shrink one seed's history."""
    draw, seed = drawn
    return seed, shrink(draw(seed))


def main() -> int:
    """Run the search and print its results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    parser.add_argument("--cuts", action="store_true", help="network cuts between entries")
    parser.add_argument("--splits", action="store_true", help="a network divided in two")
    parser.add_argument("--suspended", action="store_true", help="suspended hosts")
    parser.add_argument("--news", action="store_true", help="workers that restart or are resized")
    parser.add_argument("--preemption", action="store_true", help="urgent jobs that preempt others")
    parser.add_argument("--departures", action="store_true", help="workers that leave with notice")
    parser.add_argument("--load", action="store_true", help="all decisions under load together")
    parser.add_argument("--crashes", action="store_true", help="tasks that crash workers unnoticed")
    parser.add_argument("--cancels", action="store_true", help="callers that cancel their jobs")
    parser.add_argument("--as-drawn", action="store_true", help="do not shrink failing histories")
    parser.add_argument("--most", type=int, default=20, help="number of histories shown in full")
    arguments = parser.parse_args()
    draw: Draw = draw_cut_history if arguments.cuts else draw_history
    if arguments.splits:
        draw = draw_split_history
    if arguments.suspended:
        draw = draw_suspended_history
    if arguments.news:
        draw = draw_restart_history
    if arguments.preemption:
        draw = draw_preemption_history
    if arguments.departures:
        draw = draw_departure_history
    if arguments.load:
        draw = draw_load_history
    if arguments.crashes:
        draw = draw_crash_history
    if arguments.cancels:
        draw = draw_cancel_history
    began = time.perf_counter()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with multiprocessing.Pool(arguments.processes) as pool:
        played = pool.map(play_seed, [(draw, seed) for seed in seeds], chunksize=16)
        took_s = time.perf_counter() - began
        broken = [seed for seed, outcome in played if outcome.broken]
        found = [(seed, draw(seed)) for seed in broken]
        if not arguments.as_drawn:
            found = pool.map(shrink_seed, [(draw, seed) for seed in broken], chunksize=1)
    for seed, history in found[: arguments.most]:
        print(f"== seed {seed}: {name_faults(history)}")
        print(describe(history))
    for seed, history in found:
        print(f"seed {seed}: {name_faults(history)}")
    answers = Counter(answer for _, outcome in played for answer in outcome.answers)
    starts = sum(outcome.starts for _, outcome in played)
    print(f"{len(played)} histories in {took_s:.1f} s, {starts} starts, answers {dict(answers)}")
    preempted = sum(outcome.preemptions for _, outcome in played)
    moved = sum(outcome.moves for _, outcome in played)
    print(f"{preempted} runs were preempted, {moved} were moved")
    unacknowledged = sum(outcome.unacknowledged for _, outcome in played)
    print(f"{unacknowledged} cancellations were not acknowledged")
    print(f"{len(broken)} violated a guarantee: seeds {broken[:200]}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
