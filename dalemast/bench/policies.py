"""``python -m dalemast.bench.policies``: what ``make policies`` runs.

Plays the users' kinds of jobs against real schedulers and supervisors in simulated time, so that a
policy's worth under load is known in seconds, where a played day takes a minute.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.core.scheduling import DEFAULT_LOAD_POLICY, LoadPolicy
from dalemast.emulator.simulation import FleetShape, Outcome, Simulation
from dalemast.emulator.traffic import (
    CARD_CIRCUIT,
    CARD_CIRCUIT_SHIFTED,
    COMPETING,
    TYRE_SERVICE,
    UNEVEN_WORKERS,
    JobKind,
    declare_truly,
    generate,
    make_crashing,
)
from dalemast.fleet.backends import load_backend

__all__ = ["AFTERMATH_S", "Play", "PoliciesCommand", "make_simulation", "play"]

USUAL_WORKERS = 11
"""Workers that the rates of most users' kinds of jobs are meant for; more get more jobs."""
AFTERMATH_S = 12.0
"""How long the simulation goes on after the last arrival: the longest jobs take several seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class User:
    """A user's kinds of jobs, and the data centres and workers that serve them."""

    kinds: tuple[JobKind, ...]
    data_centres: int
    speeds: tuple[float, ...]
    sizes: tuple[int, ...]
    usual_workers: int = USUAL_WORKERS
    """Workers that the kinds' rates are meant for."""


USERS = {
    "cards": User(
        kinds=CARD_CIRCUIT,
        data_centres=3,
        speeds=(0.8, 1.0, 1.25),
        sizes=(16000, 16000, 24000),
    ),
    "shifted": User(
        kinds=CARD_CIRCUIT_SHIFTED,
        data_centres=3,
        speeds=(0.8, 1.0, 1.25),
        sizes=(16000, 16000, 24000),
    ),
    "tyres": User(
        kinds=TYRE_SERVICE,
        data_centres=4,
        speeds=(1.0, 1.0, 1.3),
        sizes=(32000, 32000, 48000),
    ),
    "competing": User(
        kinds=COMPETING,
        data_centres=3,
        speeds=(1.0, 1.0, 1.3),
        sizes=(16000, 16000, 24000),
        usual_workers=1,
    ),
    "uneven": User(
        kinds=UNEVEN_WORKERS,
        data_centres=4,
        speeds=(0.6, 1.0, 1.6),
        sizes=(64000, 64000, 96000),
        usual_workers=1,
    ),
}
"""Figures of the users' requirements sheets."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Play:
    """What to simulate. ``sees_at_once`` and ``declares_truly`` bound what better news and better
    declarations could earn."""

    owners: int
    workers: int
    load: float
    seconds: float
    seed: int
    order: str
    user: str = "cards"
    sees_at_once: bool = False
    declares_truly: bool = False
    crashing: float = 0.0
    """Share of the jobs with a task that ends every worker that starts it."""
    crash_s: float = 0.01
    crash_per_s: float = 0.0
    """How often each worker crashes by itself."""
    policy: LoadPolicy = DEFAULT_LOAD_POLICY
    """The decisions under load that are asked for."""


def make_simulation(asked: Play) -> Simulation:
    """Return what is to be simulated, ready to run."""
    user = USERS[asked.user]
    arrivals = list(
        generate(
            user.kinds,
            until_s=asked.seconds,
            load=asked.load * asked.workers / user.usual_workers,
            rng=random.Random(asked.seed),
        )
    )
    if asked.declares_truly:
        arrivals = [declare_truly(arrival) for arrival in arrivals]
    if asked.crashing:
        rng = random.Random(f"crashing {asked.seed}")
        arrivals = make_crashing(arrivals, share=asked.crashing, crash_s=asked.crash_s, rng=rng)
    shape = FleetShape(
        crash_per_s=asked.crash_per_s,
        owners=asked.owners,
        workers=asked.workers,
        data_centres=user.data_centres,
        speeds=user.speeds,
        sizes=user.sizes,
        policy=asked.policy,
    )
    return Simulation(
        shape=shape.see_at_once() if asked.sees_at_once else shape,
        make_order=lambda: load_backend(asked.order),
        arrivals=arrivals,
        seed=asked.seed,
    )


def play(asked: Play) -> tuple[Outcome, int]:
    """Return the outcome and how many room reports agents sent; the same for the same question."""
    simulation = make_simulation(asked)
    outcome = simulation.run(until_s=asked.seconds + AFTERMATH_S)
    return outcome, simulation.reports


@cappa.command(name="policies", help="Play jobs against the scheduler in simulated time.")
@dataclass(frozen=True, kw_only=True)
class PoliciesCommand:
    """One line for each load and seed. Only jobs after the first 10 seconds count."""

    owners: Annotated[int, cappa.Arg(long=True, help="Entries that own jobs.")] = 3
    workers: Annotated[int, cappa.Arg(long=True, help="Workers of all data centres.")] = 11
    loads: Annotated[str, cappa.Arg(long=True, help="Times the usual load.")] = "1.0,1.35,1.7"
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the traffic.")] = 25.0
    seeds: Annotated[str, cappa.Arg(long=True, help="Seeds of arrivals.")] = "1,2"
    order: Annotated[str, cappa.Arg(long=True, help="Dotted path of the order.")] = (
        "dalemast.core.scheduling.PriorityOrder"
    )
    user: Annotated[str, cappa.Arg(long=True, help="cards, shifted, tyres, competing, uneven.")] = (
        "cards"
    )
    at_once: Annotated[bool, cappa.Arg(long=True, help="Messages take no time.")] = False
    crashing: Annotated[float, cappa.Arg(long=True, help="Share of jobs that end workers.")] = 0.0
    crash_s: Annotated[float, cappa.Arg(long=True, help="Seconds after their start.")] = 0.01
    crash_per_s: Annotated[float, cappa.Arg(long=True, help="Crashes of each worker.")] = 0.0
    truly: Annotated[bool, cappa.Arg(long=True, help="Callers declare true run times.")] = False
    asks: Annotated[str, cappa.Arg(long=True, help="Decisions asked for, as in LoadPolicy.")] = ""

    def __call__(self) -> int:
        """Play and print."""
        for load in (float(text) for text in self.loads.split(",")):
            for seed in (int(text) for text in self.seeds.split(",")):
                began = time.process_time()
                outcome, reports = play(self._ask(load, seed))
                took_s = time.process_time() - began
                print(f"load {load} seed {seed}: {outcome}; {reports} reports; {took_s:.1f} s")
        return 0

    def _ask(self, load: float, seed: int) -> Play:
        return Play(
            owners=self.owners,
            workers=self.workers,
            load=load,
            seconds=self.seconds,
            seed=seed,
            order=self.order,
            user=self.user,
            sees_at_once=self.at_once,
            declares_truly=self.truly,
            policy=LoadPolicy(**{name: True for name in self.asks.split(",") if name}),
            crashing=self.crashing,
            crash_s=self.crash_s,
            crash_per_s=self.crash_per_s,
        )


if __name__ == "__main__":
    sys.exit(cappa.invoke(PoliciesCommand))
