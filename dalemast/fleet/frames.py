"""Messages between entries and agents, and between entries.

A frame is a JSON list of messages: all messages that are ready for a link are sent together to
save the cost of a frame each. Messages are encoded as arrays that start with a tag, to save
bandwidth between data centres. Times are in seconds, resources in the units of
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
    "CapacityReleaseRow",
    "CapacityReleases",
    "CapacityReport",
    "CapacityRequestRow",
    "CapacityRequestUpdate",
    "Claim",
    "ClaimResponse",
    "ClockRequest",
    "ClockResponse",
    "ConfigurationDeferred",
    "ConfigurationMessage",
    "ConfigurationRequest",
    "ConfigurationUpdate",
    "CrashedRow",
    "DemandReport",
    "DemandRow",
    "EntryHello",
    "EntryMessage",
    "EvacuationUpdate",
    "Goodbye",
    "LinkHeartbeat",
    "MemberRow",
    "MemberUpdate",
    "PeerHello",
    "PeerMessage",
    "ReachableEntries",
    "ReachableEntriesRequest",
    "Reconciled",
    "Relayed",
    "Release",
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
    "WorkerCrashed",
    "WorkerDeparture",
    "WorkerReport",
    "WorkerSlowness",
    "Yield",
    "decode_frame",
]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


class MemberRow(Message, frozen=True):
    """The fields of :class:`dalemast.fleet.base.Member`."""

    name: str
    incarnation: str
    address: str
    data_centre: str


class RunRow(Message, frozen=True):
    """Identifies one run of a task."""

    job: str
    step: int
    position: int
    run: int


class LinkHeartbeat(Message, frozen=True, tag="b"):
    """Sent when there is nothing else to send, to show that the sender is alive.

    Between entries, ``is_receiving`` says whether the sender still receives messages from the
    other entry on the link that the other entry dialled.
    """

    is_receiving: bool = True


class SentAt(Message, frozen=True, tag="t"):
    """A lower bound on when the rest of the frame was sent.

    ``at_ms`` is in milliseconds of the sender's monotonic clock. The receiver measures owner
    timeouts from this time and not from arrival: a frame that was delayed on the network or by a
    paused receiver must not keep runs alive that the sender has given up since.
    """

    at_ms: int


class ClockRequest(Message, frozen=True, tag="k"):
    """Requests a reading of the other end's monotonic clock.

    ``sent_at_ms`` is the requester's clock at the time of sending.
    """

    sent_at_ms: int


class ClockResponse(Message, frozen=True, tag="K"):
    """Answers :class:`ClockRequest` and repeats its ``sent_at_ms``.

    ``received_at_ms`` is the responder's clock at the time the request arrived.
    """

    sent_at_ms: int
    received_at_ms: int


class EntryHello(Message, frozen=True, tag="h"):
    """An entry's first message to an agent."""

    member: MemberRow


class EvacuationUpdate(Message, frozen=True, tag="e"):
    """The evacuated data centres as of a version of the store; see ``Evacuations``.

    Entries send it to agents and to each other before any message that could start a task.
    """

    version: int
    data_centres: tuple[str, ...]


class MemberUpdate(Message, frozen=True, tag="m"):
    """Entries that the sender knows of."""

    members: tuple[MemberRow, ...]


class StartRow(Message, frozen=True):
    """One task to start; ``number`` counts the entry's starts.

    ``restart_slack_s`` is that of :class:`dalemast.core.scheduling.StartTask`, or negative if it
    is None there.
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
    """Capacity that an owner requests, as in :class:`dalemast.core.scheduling.CapacityRequest`.

    ``preempts_from`` is negative if no run may be preempted for it.
    """

    rank: tuple[float, ...]
    cpu: int
    preempts_from: int = -1


class CapacityRequestUpdate(Message, frozen=True, tag="w"):
    """The owner's current capacity request; None if it has no request."""

    request: CapacityRequestRow | None


class Starts(Message, frozen=True, tag="s"):
    """Tasks of one job to start; the payload is shared by all of them."""

    job: str
    payload: str
    tasks: tuple[StartRow, ...]
    request: CapacityRequestRow | None = None
    """The owner's remaining capacity request."""
    priority: int = 0
    """The job's priority; 0 is the most urgent."""


class Stop(Message, frozen=True, tag="x"):
    """A run to stop."""

    run: RunRow


class Goodbye(Message, frozen=True, tag="q"):
    """The sender is shutting down as planned and has no open work left."""


class Reconciled(Message, frozen=True, tag="o"):
    """The entry has reconciled its jobs with the runs in the ``WorkerReport`` of this number.

    The entry has already ordered the stops of runs that it does not know. From here on its messages
    keep its other runs alive.
    """

    number: int


class AgentHello(Message, frozen=True, tag="H"):
    """An agent's first message."""

    name: str
    incarnation: str
    data_centre: str


class WorkerReport(Message, frozen=True, tag="W"):
    """The current worker incarnation; an empty ``id`` means that there is none.

    ``runs`` lists the runs of this owner on the worker; runs that are not listed have ended.
    ``number`` counts these reports on a link. ``answered_ago_s`` is how long ago the agent sent the
    last call that the worker has answered, in seconds.
    """

    id: str
    service: str
    cpu: int
    memory_mb: int
    gpu: int
    labels: tuple[str, ...]
    runs: tuple[RunRow, ...] = ()
    number: int = 0
    answered_ago_s: float = 0.0


class CapacityReport(Message, frozen=True, tag="R"):
    """The free capacity of the worker, as in the scheduler's ``CapacityReport``.

    ``seen`` is the number of the last start from this owner that is included. ``answered_ago_s``
    is how long ago the agent sent the last call that the worker has answered, in seconds.
    """

    seen: int
    cpu: int
    memory_mb: int
    gpu: int
    is_accepting: bool
    pace: float = 0.0
    answered_ago_s: float = 0.0


class CapacityReleaseRow(Message, frozen=True):
    """An expected capacity release, as in :class:`dalemast.core.scheduling.CapacityRelease`."""

    in_s: float
    cpu: int


class CapacityReleases(Message, frozen=True, tag="C"):
    """Expected capacity releases of the worker, soonest first; replaces earlier ones."""

    rows: tuple[CapacityReleaseRow, ...]


class WorkerSlowness(Message, frozen=True, tag="V"):
    """The run time factor of the worker, as in :class:`dalemast.core.scheduling.WorkerSpeed`."""

    slowness: float
    runs: int


class WorkerDeparture(Message, frozen=True, tag="L"):
    """Announces that the worker will stop in no less than ``in_s``; negative if it stays."""

    in_s: float


class RunDepartureRisk(Message, frozen=True, tag="X"):
    """A run that can't end before its worker stops, as in the scheduler's ``DepartureRisk``."""

    run: RunRow
    left_s: float
    leaves_in_s: float


class CrashedRow(Message, frozen=True):
    """A task that was running when its worker crashed, as in ``CrashedTask``.

    ``age_s`` is -1 if it is unknown, and ``run`` 0.
    """

    job: str
    step: int
    position: int
    age_s: float
    has_begun: bool = True
    run: int = 0


class WorkerCrashed(Message, frozen=True, tag="Z"):
    """A worker incarnation that has crashed, and the tasks of all owners that ran on it.

    An agent sends it to all entries, including those that connect later: the next owner of a task
    has to know whether the task crashes workers. An owner forwards the rows of its own tasks to
    its peers, since not every agent has links with all entries.
    """

    worker: str
    tasks: tuple[CrashedRow, ...]
    is_observed: bool = True
    """False if no crash was observed: the worker is unresponsive and its lease has expired."""
    is_lasting: bool = False
    """Whether it counts though the worker responds later: a run of a suspect that may crash it."""
    is_withdrawn: bool = False
    """Whether an earlier message that was not observed is withdrawn: the tasks were not started."""


class RunEnded(Message, frozen=True, tag="E"):
    """How a run ended; ``run_s`` is its observed run time."""

    run: RunRow
    reason: EndReason
    run_s: float


class RunSlow(Message, frozen=True, tag="S"):
    """A run is slow or stalled, as in :class:`dalemast.core.supervision.ReportSlow`."""

    run: RunRow
    age_s: float
    total_s: float
    worker_pace: float
    is_stalled: bool


class PeerHello(Message, frozen=True, tag="P"):
    """An entry's first message to another entry.

    ``jobs`` lists the sender's claims whose home the other entry may be. ``age_s`` is the time in
    seconds since the sender started. ``agents`` names the agents that it reaches or misses; it is
    empty if agents are linked with some of the entries only.
    """

    member: MemberRow
    jobs: tuple[str, ...]
    age_s: float = 0.0
    agents: tuple[str, ...] = ()


class ConfigurationUpdate(Message, frozen=True, tag="c"):
    """The configuration that the receiver has requested."""

    version: int
    queues: tuple[Queue, ...]


class VersionAnnouncement(Message, frozen=True, tag="v"):
    """The version of the sender's configuration, and its encoded size."""

    version: int
    size_bytes: int


class ConfigurationRequest(Message, frozen=True, tag="a"):
    """Requests the configuration of this version."""

    version: int


class ConfigurationDeferred(Message, frozen=True, tag="l"):
    """The sender has this version but is busy sending it to other entries."""

    version: int


class DemandRow(Message, frozen=True):
    """Work queued at the sender, as in :class:`dalemast.core.scheduling.QueuedDemand`."""

    service: str
    priority: int
    jobs: int
    core_s: float


class DemandReport(Message, frozen=True, tag="d"):
    """All work queued at the sender; replaces its earlier reports."""

    rows: tuple[DemandRow, ...]


class Claim(Message, frozen=True, tag="?"):
    """Requests the claim on a job's id; the response repeats ``number``.

    ``queue`` names the job's queue. A positive ``cancelled_for_s`` cancels the job instead: the
    receiver keeps its id as cancelled for this time in seconds, and grants the claim if no other
    entry holds the id for a job of this queue. Number 0 announces a claim or a cancelled id.
    """

    number: int
    job: str
    queue: str = ""
    cancelled_for_s: float = 0.0


class ClaimResponse(Message, frozen=True, tag="!"):
    """Answers :class:`Claim`.

    If the claim is not granted, ``holder`` is the entry that holds it and ``lapses_in_s`` the time
    until it expires, negative if unknown. ``home`` is the name of the id's home if that is neither
    the sender nor the receiver: the sender can reach it, and does not know all claims on the id.
    ``is_cancelled`` tells that the claim is not granted since the job was cancelled.
    """

    number: int
    is_granted: bool
    holder: str = ""
    lapses_in_s: float = -1.0
    home: str = ""
    is_cancelled: bool = False


class Release(Message, frozen=True, tag="r"):
    """Releases the claim on a job's id: no run of the job is left."""

    job: str


class Yield(Message, frozen=True, tag="y"):
    """Asks the holder of a claim to stop the job and release its id.

    Its caller has submitted it to another entry, or cancelled it if ``cancelled_queue`` names its
    queue. A job of another queue is then kept.
    """

    job: str
    cancelled_queue: str = ""


class ReachableEntriesRequest(Message, frozen=True, tag="n"):
    """Requests the entries that an agent is linked with, now and after each change.

    ``suspects`` are incarnations that the requester can't reach. The agent probes them, and resets
    its links with those that do not respond.
    """

    number: int
    suspects: tuple[str, ...]


class ReachableEntries(Message, frozen=True, tag="N"):
    """The entry incarnations that an agent is linked with.

    ``number`` is that of the last request. ``left_jobs`` are jobs with runs on the agent's worker
    whose owner is unknown to the agent or no longer linked with it.
    """

    number: int
    entries: tuple[str, ...]
    left_jobs: tuple[str, ...] = ()


class Relayed(Message, frozen=True, tag="f"):
    """A frame between two entries that an agent forwards; both are named by incarnation.

    ``route`` identifies the relayed link; the entry that opens the link chooses it.
    """

    route: str
    sender: str
    receiver: str
    frame: str
    is_first: bool = False
    """Whether this frame opens the relayed link."""


class RouteEnded(Message, frozen=True, tag="F"):
    """A relayed link has ended: one end closed it, or the agent can't reach the other end."""

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
"""Messages from an entry to an agent."""
AgentMessage = (
    ClockRequest
    | AgentHello
    | WorkerReport
    | CapacityReport
    | CapacityReleases
    | WorkerSlowness
    | WorkerDeparture
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
"""Messages from an agent to an entry."""
ConfigurationMessage = (
    VersionAnnouncement | ConfigurationRequest | ConfigurationDeferred | ConfigurationUpdate
)
"""Messages between entries that distribute configurations."""
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
"""Messages between entries."""

_decoders: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode_frame(data: str | bytes, message_type: Any) -> list[Any]:
    """Decode a frame; raise :class:`msgspec.MsgspecError` if it is invalid."""
    decoder = _decoders.get(message_type)
    if decoder is None:
        decoder = msgspec.json.Decoder(list[message_type])
        _decoders[message_type] = decoder
    return decoder.decode(data)
