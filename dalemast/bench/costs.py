"""What a unit of the fleet's work costs in processor time: a call, a frame, a job's decisions.

``make bench BENCH=costs``. Both ends of calls and frames run in this process, so their rows count
both. A job's decisions are those of all owners and agents of a simulated fleet, with the
simulation's own work; its owners are linked with all workers, so the larger fleets cost more than
real ones, whose links are bounded.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from dalemast.bench.policies import AFTERMATH_S, Play, make_simulation
from dalemast.fleet.frames import LinkHeartbeat, PeerMessage
from dalemast.fleet.links import Dialer, Link, LinkListener, LinkRoute
from dalemast.http.direct import DirectClient
from dalemast.management.output import print_table

__all__ = ["Cost", "measure_call", "measure_decisions", "measure_frame", "run_costs"]

LOOPS = 3000
"""Calls and frames a row: enough for a spread of some percent on an idle machine."""
FLEETS = ((3, 11), (12, 67), (35, 160))
"""Owners and workers of the users' deployments, small, grown and large."""
LOAD = 1.4
"""Times the usual load of the simulated fleets: about 0.7 of their capacity."""
SIMULATED_S = 6.0
PATH = "/costs"
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{"clock_ms":482113}'
CALL = {"job": "5c0e7a21d94b36f8", "position": 17, "text": "(as long as a usual one is, about)"}


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """Processor time of one unit of work, in microseconds."""

    stage: str
    unit: str
    microseconds: float


class Answerer(asyncio.Protocol):
    """The accepting end of calls, which reads no more than it must."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a call, which arrives in one piece; called by the loop."""
        self._transport.write(ANSWER)


class Echo:
    """Sends each message that arrives on a link back."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def receive(self, messages: list[LinkHeartbeat]) -> None:
        """Send the messages back."""
        for message in messages:
            self._link.send(message)

    def close(self) -> None:
        """Nothing is left to do."""


class Asker:
    """Sends a message and waits for it to come back."""

    def __init__(self, link: Link) -> None:
        self._link = link
        self._back: asyncio.Future[None] | None = None

    def ask(self) -> asyncio.Future[None]:
        """Send a message; the future is done once it is back."""
        self._back = asyncio.get_running_loop().create_future()
        self._link.send(LinkHeartbeat())
        return self._back

    def receive(self, messages: list[LinkHeartbeat]) -> None:
        """Note that the message is back."""
        if self._back is not None:
            self._back.set_result(None)

    def close(self) -> None:
        """Nothing is left to do."""


async def measure_call(loops: int = LOOPS) -> Cost:
    """Measure a call to a worker."""
    server = await asyncio.get_running_loop().create_server(Answerer, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = DirectClient(address=address, max_connections=1)
    micros = await _time(
        lambda: client.request("POST", "/v1/call", body=CALL, timeout_s=5.0), loops
    )
    client.close()
    server.close()
    return Cost(stage="call to a worker", unit="call, both ends", microseconds=micros)


async def measure_frame(loops: int = LOOPS) -> Cost:
    """Measure a frame there and another back."""
    route = LinkRoute(path=PATH, message_type=PeerMessage, accept=Echo)
    listener = LinkListener(address="127.0.0.1:0", routes=(route,))
    await listener.start()
    opened: asyncio.Future[Asker] = asyncio.get_running_loop().create_future()

    def take(link: Link) -> Asker:
        asker = Asker(link)
        opened.set_result(asker)
        return asker

    url = f"ws://{listener.address}{PATH}"
    dialer = Dialer(url=url, message_type=PeerMessage, make_receiver=take)
    asker = await opened
    micros = await _time(asker.ask, loops)
    dialer.stop()
    await listener.close()
    return Cost(stage="frame", unit="there and back, both ends", microseconds=micros)


def measure_decisions(owners: int, workers: int, *, seconds: float = SIMULATED_S) -> Cost:
    """Measure what the decisions of a job cost in a simulated fleet."""
    asked = Play(
        owners=owners,
        workers=workers,
        load=LOAD,
        seconds=seconds,
        seed=1,
        order="dalemast.core.scheduling.PriorityOrder",
        user="tyres",
    )
    simulation = make_simulation(asked)
    began = time.process_time()
    simulation.run(until_s=seconds + AFTERMATH_S)
    spent_s = time.process_time() - began
    return Cost(
        stage=f"decisions, {owners} owners, {workers} workers",
        unit="job",
        microseconds=1e6 * spent_s / max(simulation.jobs, 1),
    )


def run_costs(output: str) -> int:
    """Measure all, print a table and append the rows to the file."""
    costs = [asyncio.run(measure_call()), asyncio.run(measure_frame())]
    costs += [measure_decisions(owners, workers) for owners, workers in FLEETS]
    with Path(output).open("ab") as file:
        for cost in costs:
            file.write(msgspec.json.encode(cost) + b"\n")
    print_table(
        ("stage", "unit", "us"),
        [(cost.stage, cost.unit, f"{cost.microseconds:.0f}") for cost in costs],
    )
    return 0


async def _time(act: Callable[[], Awaitable[object]], loops: int) -> float:
    """Return the processor time of one round, in microseconds."""
    await act()
    began = time.process_time()
    for _ in range(loops):
        await act()
    return 1e6 * (time.process_time() - began) / loops
