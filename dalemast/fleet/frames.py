"""Messages between entries and agents, and between entries.

A frame is a list of messages: whatever is ready for a link goes out together, since a frame costs
the same whatever it holds. Messages are JSON arrays that begin with a tag, which keeps the bytes
between data centres few. Times are seconds; resources are as in
:class:`dalemast.core.workloads.Resources`.
"""

from __future__ import annotations

from typing import Any

import msgspec

from dalemast.core.scheduling import EndReason
from dalemast.core.workloads import Queue

__all__ = [
    "AgentHello",
    "AgentMessage",
    "LinkHeartbeat",
    "Goodbye",
    "Claim",
    "ClaimResponse",
    "ClockResponse",
    "ClockRequest",
    "ConfigurationRequest",
    "ConfigurationDeferred",
    "ConfigurationMessage",
    "ConfigurationUpdate",
    "CapacityReleaseRow",
    "WorkerCrashed",
    "CrashedRow",
    "DemandReport",
    "DemandRow",
    "ReachableEntriesRequest",
    "ReachableEntries",
    "EntryHello",
    "EntryMessage",
    "EvacuationUpdate",
    "MemberUpdate",
    "MemberRow",
    "PeerHello",
    "PeerMessage",
    "Reconciled",
    "Relayed",
    "Release",
    "CapacityReleases",
    "CapacityReport",
    "RouteEnded",
    "RunDepartureRisk",
    "RunEnded",
    "RunRow",
    "RunSlow",
    "SentAt",
    "StartRow",
    "Starts",
    "Stop",
    "VersionAnnouncement",
    "CapacityRequestRow",
    "CapacityRequestUpdate",
    "WorkerLeaving",
    "WorkerReport",
    "WorkerSlowness",
    "Yield",
    "decode_frame",
]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


class MemberRow(Message, frozen=True):
    """An entry, as in :class:`dalemast.fleet.base.Member`."""

    name: str
    incarnation: str
    address: str
    data_centre: str


class RunRow(Message, frozen=True):
    """One run of a task."""

    job: str
    step: int
    position: int
    run: int


class LinkHeartbeat(Message, frozen=True, tag="b"):
    """Nothing new; the sender is alive.

    Between entries ``is_receiving`` tells whether the sender still hears the other one on the link
    that the other has dialled.
    """

    is_receiving: bool = True


class SentAt(Message, frozen=True, tag="t"):
    """When the rest of the frame was said, by the sender's steady clock, in milliseconds.

    It may have been said later, never earlier. A frame may wait on its way, or at a receiver that
    stands still, and what it says of a run counts from when it was said.
    """

    at_ms: int


class ClockRequest(Message, frozen=True, tag="k"):
    """Ask how the other end's clock goes; ``sent_at_ms`` is the sender's."""

    sent_at_ms: int


class ClockResponse(Message, frozen=True, tag="K"):
    """``received_at_ms`` is when the question arrived, by the clock of who answers."""

    sent_at_ms: int
    received_at_ms: int


class EntryHello(Message, frozen=True, tag="h"):
    """An entry's first message to an agent."""

    member: MemberRow


class EvacuationUpdate(Message, frozen=True, tag="e"):
    """The evacuated data centres as of a version of the store; see ``Evacuations``.

    Entries tell agents and one another, before anything that could make a task start.
    """

    version: int
    data_centres: tuple[str, ...]


class MemberUpdate(Message, frozen=True, tag="m"):
    """Entries that the sender has learned of."""

    members: tuple[MemberRow, ...]


class StartRow(Message, frozen=True):
    """One task to start; ``number`` counts the entry's starts.

    ``spare_s`` is as in :class:`dalemast.core.scheduling.StartTask`; negative if there is none.
    """

    step: int
    position: int
    run: int
    cpu: int
    memory_mb: int
    gpu: int
    expected_s: float
    number: int
    restart_slack_s: float = -1.0


class CapacityRequestRow(Message, frozen=True):
    """What an owner lacks room for, as in :class:`dalemast.core.scheduling.Want`.

    ``preempts_from`` is negative if no run may give way.
    """

    rank: tuple[float, ...]
    cpu: int
    preempts_from: int = -1


class CapacityRequestUpdate(Message, frozen=True, tag="w"):
    """What an owner lacks room for, or that it lacks none."""

    request: CapacityRequestRow | None


class Starts(Message, frozen=True, tag="s"):
    """Tasks of one job to start, with the caller's text once."""

    job: str
    payload: str
    tasks: tuple[StartRow, ...]
    request: CapacityRequestRow | None = None
    """What the owner still lacks room for."""
    priority: int = 0
    """The job's priority; 0 is the most urgent."""


class Stop(Message, frozen=True, tag="x"):
    """A run to stop."""

    run: RunRow


class Goodbye(Message, frozen=True, tag="q"):
    """The sender ends as planned and has nothing left open."""


class Reconciled(Message, frozen=True, tag="o"):
    """The entry has compared the runs that the ``WorkerReport`` of this number lists with its jobs.

    It has told by now which ones to stop, and its words keep the others alive from here on.
    """

    number: int


class AgentHello(Message, frozen=True, tag="H"):
    """An agent's first message."""

    name: str
    incarnation: str
    data_centre: str


class WorkerReport(Message, frozen=True, tag="W"):
    """The worker's life; an empty ``id`` says that there is none.

    ``runs`` are those of this owner that are there now; any other one is over. ``number`` counts
    this news on a link.
    """

    id: str
    service: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    runs: tuple[RunRow, ...] = ()
    number: int = 0


class CapacityReport(Message, frozen=True, tag="R"):
    """What is free, having seen this owner's start ``seen``; as in ``RoomReport``."""

    seen: int
    cpu: int
    memory_mb: int
    gpu: int
    is_accepting: bool
    pace: float = 0.0


class CapacityReleaseRow(Message, frozen=True):
    """Room that comes free, as in :class:`dalemast.core.scheduling.ComingRoom`."""

    in_s: float
    cpu: int


class CapacityReleases(Message, frozen=True, tag="C"):
    """When room comes free on the worker, soonest first; it replaces what was told before."""

    rows: tuple[CapacityReleaseRow, ...]


class WorkerSlowness(Message, frozen=True, tag="V"):
    """How fast the worker is, as in :class:`dalemast.core.scheduling.WorkerSpeed`."""

    slowness: float
    runs: int


class WorkerLeaving(Message, frozen=True, tag="L"):
    """The least time that the worker has left, in seconds; negative if it stays after all."""

    in_s: float


class RunDepartureRisk(Message, frozen=True, tag="X"):
    """A run that can't end in time, as in :class:`dalemast.core.scheduling.CutShort`."""

    run: RunRow
    left_s: float
    leaves_in_s: float


class CrashedRow(Message, frozen=True):
    """A task that ran on a worker as it crashed, as in ``CrashedTask``; -1 is an unknown age."""

    job: str
    step: int
    position: int
    age_s: float
    has_begun: bool = True


class WorkerCrashed(Message, frozen=True, tag="Z"):
    """A life of a worker that has crashed, and all that ran there, whoever owned it.

    An agent tells all entries, also those that it meets later: a task's next owner has to know. An
    owner tells its peers of its own tasks, since not every agent has links with all of them.
    """

    worker: str
    tasks: tuple[CrashedRow, ...]
    is_observed: bool = True
    """False if the worker is only silent, and its lease over."""


class RunEnded(Message, frozen=True, tag="E"):
    """How a run ended; ``run_s`` is how long it was seen to run."""

    run: RunRow
    reason: EndReason
    run_s: float


class RunSlow(Message, frozen=True, tag="S"):
    """A run crawls or stands still, as in :class:`dalemast.core.supervision.ReportSlow`."""

    run: RunRow
    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


class PeerHello(Message, frozen=True, tag="P"):
    """An entry's first message to another, with the claims whose home the other may be."""

    member: MemberRow
    jobs: tuple[str, ...]


class ConfigurationUpdate(Message, frozen=True, tag="c"):
    """A configuration, for an entry that asked for it."""

    version: int
    queues: tuple[Queue, ...]


class VersionAnnouncement(Message, frozen=True, tag="v"):
    """The version of the configuration in force at the sender, and its size as a message."""

    version: int
    size_bytes: int


class ConfigurationRequest(Message, frozen=True, tag="a"):
    """The sender lacks this version."""

    version: int


class ConfigurationDeferred(Message, frozen=True, tag="l"):
    """The sender has this version and is giving it to others first."""

    version: int


class DemandRow(Message, frozen=True):
    """What waits at the sender, as in :class:`dalemast.core.scheduling.LoadWord`."""

    service: str
    priority: int
    jobs: int
    core_s: float


class DemandReport(Message, frozen=True, tag="d"):
    """All that waits at the sender; it replaces what was told before, and no rows is nothing."""

    rows: tuple[DemandRow, ...]


class Claim(Message, frozen=True, tag="?"):
    """Ask for a job's id. ``number`` comes back in the answer."""

    number: int
    job: str


class ClaimResponse(Message, frozen=True, tag="!"):
    """``is_granted``, or who has it and in how long it lapses (negative: unknown)."""

    number: int
    is_granted: bool
    holder: str = ""
    lapses_in_s: float = -1.0


class Release(Message, frozen=True, tag="r"):
    """Nothing of the job runs any more; its id is free."""

    job: str


class Yield(Message, frozen=True, tag="y"):
    """Another entry was asked for the job: stop it and release its id."""

    job: str


class ReachableEntriesRequest(Message, frozen=True, tag="n"):
    """Ask an agent which entries it has links with, now and at each change from then on.

    ``suspects`` are incarnations that the asker has lost: the agent finds out whether it still
    hears them, and gives its links with them up if not.
    """

    number: int
    suspects: tuple[str, ...]


class ReachableEntries(Message, frozen=True, tag="N"):
    """The incarnations that an agent has links with. ``number`` is the last question's.

    ``left_jobs`` are the jobs of which something still runs there for an owner that it has lost, or
    does not know.
    """

    number: int
    entries: tuple[str, ...]
    left_jobs: tuple[str, ...] = ()


class Relayed(Message, frozen=True, tag="f"):
    """A frame between two entries, which an agent passes on; both are named by incarnation.

    ``route`` names the link whose frame it is; the entry that begins a link chooses its name.
    """

    route: str
    sender: str
    receiver: str
    frame: str
    is_first: bool = False
    """Whether the sender begins the link with this frame."""


class RouteEnded(Message, frozen=True, tag="F"):
    """Nothing more goes by this route: an end has given it up, or the agent does not reach it."""

    route: str
    sender: str
    receiver: str


EntryMessage = (
    SentAt
    | ClockResponse
    | EntryHello
    | EvacuationUpdate
    | MemberUpdate
    | Reconciled
    | Starts
    | Stop
    | CapacityRequestUpdate
    | ReachableEntriesRequest
    | Relayed
    | RouteEnded
    | LinkHeartbeat
    | Goodbye
)
"""What an agent hears."""
AgentMessage = (
    ClockRequest
    | AgentHello
    | WorkerReport
    | CapacityReport
    | CapacityReleases
    | WorkerSlowness
    | WorkerLeaving
    | RunDepartureRisk
    | WorkerCrashed
    | RunEnded
    | RunSlow
    | ReachableEntries
    | Relayed
    | RouteEnded
    | LinkHeartbeat
    | Goodbye
)
"""What an entry hears from an agent."""
ConfigurationMessage = (
    VersionAnnouncement | ConfigurationRequest | ConfigurationDeferred | ConfigurationUpdate
)
"""What entries tell one another of configurations."""
PeerMessage = (
    PeerHello
    | EvacuationUpdate
    | MemberUpdate
    | ConfigurationMessage
    | Claim
    | ClaimResponse
    | Release
    | Yield
    | DemandReport
    | WorkerCrashed
    | LinkHeartbeat
    | Goodbye
)
"""What an entry hears from another."""

_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode_frame(data: str | bytes, message_type: Any) -> list[Any]:
    """Decode a frame; raises :class:`msgspec.MsgspecError`."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(list[message_type])
        _decoders[message_type] = decoder
    return decoder.decode(data)
