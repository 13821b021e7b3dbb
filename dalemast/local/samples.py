"""Sample services, served by an HTTP endpoint."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import msgspec

from dalemast.http.base import BaseHandler, decode_body
from dalemast.http.server import Listener
from dalemast.settings import ListenerSettings

__all__ = ["SAMPLE_SERVICES", "SampleEndpoint", "SampleState", "share_out"]

SAMPLE_SERVICES = ("seat-draw", "prize-ladder", "echo", "sleep", "fail", "count")

LADDER_RATIO = 0.6
"""Prize of a place as a share of the prize of the place above it."""


class SampleState:
    """State shared by all sample endpoints of a process: counts of started tasks, and faults.

    ``work_s`` is the time added to every seat draw and prize ladder. ``slowdown`` maps the names of
    endpoints to a factor for their sleeps. Endpoints in ``failing`` fail every task at once.
    """

    def __init__(self) -> None:
        self.work_s = 0.0
        self.starts: Counter[str] = Counter()
        self.tasks: Counter[str] = Counter()
        self.slowdown: dict[str, float] = {}
        self.failing: set[str] = set()


class _Call(msgspec.Struct, frozen=True, kw_only=True):
    task: str
    service: str
    payload: Any


class _ServiceFailed(Exception):
    """A sample service failed as requested, or does not exist."""


class _SampleHandler(BaseHandler):
    def initialize(self, state: SampleState, name: str) -> None:
        self._state = state
        self._name = name

    async def post(self) -> None:
        """Run one task."""
        call: _Call = decode_body(self.request.body, _Call)
        self._state.tasks[call.task] += 1
        try:
            if self._name in self._state.failing:
                raise _ServiceFailed("this endpoint is set to fail every task")
            self.send_json(await self._run(call))
        except (_ServiceFailed, KeyError, TypeError, ValueError) as error:
            self.send_json({"error": str(error)}, status=500)

    async def _run(self, call: _Call) -> Any:
        if call.service == "echo":
            return call.payload
        if call.service.startswith("sleep"):
            return await self._sleep(call.payload)
        await asyncio.sleep(self._state.work_s)
        if call.service == "seat-draw":
            return draw_seats(call.payload)
        if call.service == "prize-ladder":
            return share_out(int(call.payload["pool"]), int(call.payload["places"]))
        if call.service == "count":
            return self._count(call.payload)
        raise _ServiceFailed("this service always fails")

    async def _sleep(self, payload: Any) -> Any:
        if isinstance(payload, dict) and "name" in payload:
            self._state.starts[str(payload["name"])] += 1
        seconds = float(payload["ms"]) / 1000.0 * self._state.slowdown.get(self._name, 1.0)
        # The duration is counted from the arrival of the request, so that it includes parsing.
        await asyncio.sleep(max(0.0, seconds - self.request.request_time()))
        return payload

    def _count(self, payload: Any) -> int:
        name = str(payload["name"])
        self._state.starts[name] += 1
        return self._state.starts[name]


class _ControlHandler(BaseHandler):
    """``GET`` and ``PUT /control``: for experiments only."""

    def initialize(self, state: SampleState, name: str) -> None:
        self._state = state
        self._name = name

    def get(self) -> None:
        """Send the number of starts of each task at the endpoints of this process."""
        shows_all = self.get_query_argument("all", "") != ""
        tasks = self._state.tasks if shows_all else {}
        names = self._state.starts if shows_all else {}
        total = self._state.tasks.total()
        self.send_json({"started": total, "tasks": tasks, "names": names})

    def put(self) -> None:
        """Set or reset the slowdown and the failure of this endpoint."""
        body = decode_body(self.request.body, dict[str, Any])
        self._state.slowdown[self._name] = float(body.get("slowdown", 1.0))
        if body.get("failing"):
            self._state.failing.add(self._name)
        else:
            self._state.failing.discard(self._name)
        self.send_json({"status": "set"})


def draw_seats(payload: Any) -> Any:
    """Draw a random seat for each player of a table."""
    players = [str(player) for player in payload["players"]]
    seats = list(range(1, len(players) + 1))
    random.SystemRandom().shuffle(seats)
    return {"table": payload["table"], "seats": dict(zip(players, seats, strict=True))}


def share_out(pool: int, places: int) -> list[int]:
    """Divide a pool into descending prizes whose sum is exactly the pool."""
    if places < 1 or pool < 0:
        raise ValueError("places must be at least 1 and pool at least 0")
    weights = [LADDER_RATIO**place for place in range(places)]
    total = sum(weights)
    amounts = [int(pool * weight / total) for weight in weights]
    amounts[0] += pool - sum(amounts)
    return amounts


class SampleEndpoint:
    """A sample endpoint with its own address."""

    def __init__(self, *, address: str, name: str, state: SampleState) -> None:
        arguments = {"state": state, "name": name}
        self._listener = Listener(
            settings=ListenerSettings(address=address),
            routes=[("/", _SampleHandler, arguments), ("/control", _ControlHandler, arguments)],
        )

    @property
    def url(self) -> str:
        """The URL to which agents send tasks."""
        return f"http://{self._listener.address}/"

    def start(self) -> None:
        """Start listening."""
        self._listener.start()

    async def close(self) -> None:
        """Close all sockets."""
        await self._listener.close()
