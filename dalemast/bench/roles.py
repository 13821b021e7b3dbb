"""The tables of docs/CAPACITY.md: what each role holds and spends at the target size."""

from __future__ import annotations

from dalemast.bench.target import (
    ACCOUNTS,
    CHANGES_PER_DAY,
    CONTROL_BYTES_S,
    CONTROL_CPU,
    CONTROL_MEMORY,
    DAY_S,
    ENTRY_UTILISATION,
    IN_FORCE_LIMIT_S,
    LINK_LIMIT,
    PAYLOAD_BYTES,
    POLL_S,
    RESTARTS_PER_DAY,
    SLOTS,
    STARTS_S,
    TABLE_READS_S,
    TABLE_WRITES_S,
    TASKS_PER_JOB,
    TICKET_LIFE_S,
    WORKER_CONNECTIONS,
    WORKERS,
    Model,
    Row,
)
from dalemast.entry.claims import TABLE_WRITES_PER_S

__all__ = [
    "get_agent_rows",
    "get_configuration_rows",
    "get_entry_rows",
    "get_fault_rows",
    "get_table_rows",
]


def get_entry_rows(model: Model) -> list[Row]:
    """Return the table of the entry."""
    jobs = model.jobs_s / model.entries
    kept = model.get("memory.kept_job").slope
    memory = (
        jobs * TICKET_LIFE_S * kept
        + WORKERS * model.get("memory.worker").slope
        + jobs * DAY_S * model.get("memory.ticket").slope
        + ACCOUNTS * model.get("memory.account").slope
    )
    return [
        Row(
            what="processor time a job",
            value=model.entry_job_s * 1000,
            unit="ms",
            arithmetic=f"entry.job at {TASKS_PER_JOB} tasks",
            limit=None,
            mechanism="one frame an agent, payloads never parsed",
        ),
        Row(
            what="entry processes",
            value=model.entries,
            unit="processes",
            arithmetic=f"{model.jobs_s:.0f} jobs/s x that / {ENTRY_UTILISATION:g} of a core",
            limit=None,
            mechanism="no state is shared between entries, so they add up",
        ),
        Row(
            what="links a worker",
            value=model.links,
            unit="connections",
            arithmetic=f"entries, at most {LINK_LIMIT}",
            limit=float(WORKER_CONNECTIONS - SLOTS),
            mechanism="rendezvous view (core/placement/subsetting.py)",
        ),
        Row(
            what="workers an entry is linked to",
            value=model.view,
            unit="workers",
            arithmetic=f"{WORKERS} x links / entries",
            limit=None,
            mechanism="the same view; sampling among them (core/placement/choices.py)",
        ),
        Row(
            what="choice for a job",
            value=model.get("selection.hot").at(WORKERS),
            unit="us",
            arithmetic="selection.hot at all workers",
            limit=1000.0,
            mechanism="label index, kept results, 24 sampled candidates",
        ),
        Row(
            what="the owner's part of a one-task job",
            value=model.get("owner.job").at(WORKERS),
            unit="us",
            arithmetic="owner.job at all workers",
            limit=1000.0,
            mechanism="only links with something to send are walked (dispatch/link_registry.py)",
        ),
        Row(
            what="watching the time",
            value=model.get("owner.tick").at(WORKERS) * 50 / 1e4,
            unit="% of a core",
            arithmetic="owner.tick at all workers, 50 a second while jobs are open",
            limit=CONTROL_CPU * 100,
            mechanism="only links with tasks out are looked at",
            remedy="tick less often",
        ),
        Row(
            what="memory",
            value=memory / 1e6,
            unit="MB",
            arithmetic=(
                f"{jobs:.0f} jobs/s x {TICKET_LIFE_S:.0f} s x {kept:.0f} B kept"
                " + workers + one byte a ticket a day + accounts"
            ),
            limit=CONTROL_MEMORY / 1e6,
            mechanism="limits.kept_bytes an account, ledger of one byte a ticket",
            remedy="a shorter ticket_life_s or a lower limits.kept_bytes",
        ),
    ]


def get_agent_rows(model: Model) -> list[Row]:
    """Return the table of the agent."""
    a_task = model.get("agent.job").slope / 1000.0
    rest = model.get("agent.rest").at(model.links) / 1000.0
    control = model.get("bytes.starts").slope + model.get("bytes.answers").slope - 2 * PAYLOAD_BYTES
    return [
        Row(
            what="starts a second",
            value=model.starts_per_agent,
            unit="tasks/s",
            arithmetic=f"{STARTS_S} / {WORKERS}",
            limit=None,
            mechanism="slots bound it",
        ),
        Row(
            what="processor time at rest",
            value=rest * 100,
            unit="% of a core",
            arithmetic=f"agent.rest at {model.links:.0f} links",
            limit=CONTROL_CPU * 100,
            mechanism="no heartbeats; a ping a link in 30 s",
            remedy="ping less often than every 30 s",
        ),
        Row(
            what="processor time under load",
            value=model.starts_per_agent * a_task * 100,
            unit="% of a core",
            arithmetic=f"{model.starts_per_agent:.1f} tasks/s x {a_task * 1000:.2f} ms",
            limit=CONTROL_CPU * 100,
            mechanism="the endpoint's HTTP call is nearly all of it",
            remedy=(
                "the call itself would have to go: an endpoint that takes a job's tasks in"
                " one request, or a compiled agent"
            ),
        ),
        Row(
            what="control bytes a second",
            value=model.starts_per_agent * control,
            unit="B/s",
            arithmetic=f"{model.starts_per_agent:.1f} tasks/s x {control:.0f} B beyond payloads",
            limit=CONTROL_BYTES_S,
            mechanism="load rides on answers; one letter a field that stands once a task",
            remedy="the MessagePack codec",
        ),
    ]


def get_table_rows(model: Model) -> list[Row]:
    """Return the table of the platform's table and host list."""
    reads = model.entries * (1.0 / POLL_S) * 2 + model.entries * CHANGES_PER_DAY / DAY_S
    restart = 0.1 * model.entries
    return [
        Row(
            what="reads a second in calm",
            value=reads,
            unit="reads/s",
            arithmetic=f"{model.entries:.0f} entries x (version + hosts) / {POLL_S:g} s",
            limit=TABLE_READS_S,
            mechanism="one version row; agents read nothing",
        ),
        Row(
            what="reads when a tenth of the hosts restart together",
            value=reads + restart * 2,
            unit="reads/s",
            arithmetic=f"calm + {restart:.1f} entries x 2 in one second; agents read nothing",
            limit=TABLE_READS_S,
            mechanism="agents learn everything from their links",
        ),
        Row(
            what="writes a second for ticketed jobs",
            value=0.0,
            unit="writes/s",
            arithmetic="no write per job or task",
            limit=TABLE_WRITES_S,
            mechanism="tickets (core/submissions)",
        ),
        Row(
            what="writes a second if every job came with a key",
            value=model.jobs_s / 200,
            unit="writes/s",
            arithmetic=f"{model.jobs_s:.0f} keys/s / 200 a write at best",
            limit=TABLE_WRITES_S,
            mechanism="claims batched while a write is under way (entry/claims.py)",
        ),
        Row(
            what="writes a second for claims at the most",
            value=TABLE_WRITES_PER_S,
            unit="writes/s",
            arithmetic="each entry keeps to its part of the pace",
            limit=TABLE_WRITES_S,
            mechanism="pace by the number of entries (entry/claims.py)",
        ),
        Row(
            what="longest wait of a claim for its turn to write",
            value=model.entries / TABLE_WRITES_PER_S * 1000,
            unit="ms",
            arithmetic=f"{model.entries:.0f} entries / {TABLE_WRITES_PER_S:.0f} writes/s",
            limit=None,
            mechanism="the price of keys against tickets, which wait for nothing",
        ),
    ]


def get_configuration_rows(model: Model) -> list[Row]:
    """Return the table of configuration."""
    apply_s = model.get("configuration.apply").at(WORKERS) / 1000.0
    megabytes = model.config_bytes / 1e6
    traffic = model.entries * model.config_bytes * CHANGES_PER_DAY / DAY_S
    return [
        Row(
            what="size",
            value=megabytes,
            unit="MB",
            arithmetic=f"configuration.bytes at {WORKERS} endpoints and {ACCOUNTS} accounts",
            limit=None,
            mechanism="one document a kind",
        ),
        Row(
            what="from accepted to in force everywhere",
            value=POLL_S + apply_s + 0.5,
            unit="s",
            arithmetic=f"a poll of {POLL_S:g} s + {apply_s:.2f} s to apply + 0.5 s to read",
            limit=IN_FORCE_LIMIT_S,
            mechanism="version polled, highest version wins",
        ),
        Row(
            what="read traffic of all entries",
            value=traffic / 1e6,
            unit="MB/s",
            arithmetic=f"entries x size x {CHANGES_PER_DAY} changes a day",
            limit=None,
            mechanism="whole documents; a difference a version would cut it",
        ),
        Row(
            what="an entry's processor time for changes",
            value=apply_s * CHANGES_PER_DAY / DAY_S * 100,
            unit="% of a core",
            arithmetic=f"{apply_s:.2f} s x {CHANGES_PER_DAY} a day",
            limit=CONTROL_CPU * 100,
            mechanism="decoded once a change, index built anew",
            remedy="apply only the kinds that changed",
        ),
    ]


def get_fault_rows(model: Model) -> list[Row]:
    """Return the table of what faults cost at this size."""
    share = 1.0 / model.entries
    return [
        Row(
            what="an entry's death: share of the jobs in flight that end as may_have_run",
            value=share * 100,
            unit="%",
            arithmetic="1 / entries",
            limit=None,
            mechanism="bound to one incarnation; callers resubmit and are told",
        ),
        Row(
            what="an agent's death: tasks lost",
            value=float(SLOTS + 1),
            unit="tasks",
            arithmetic="its slots and the one task that waits",
            limit=None,
            mechanism="new session, or 3 s of refused connections",
        ),
        Row(
            what="links opened anew by 2,000 restarts a day",
            value=RESTARTS_PER_DAY * model.links / DAY_S,
            unit="links/s",
            arithmetic=f"{RESTARTS_PER_DAY} x {model.links:.0f} / day, over all entries",
            limit=None,
            mechanism="retry with back-off and jitter (entry/links.py)",
        ),
        Row(
            what="a data centre's loss: share of the slots",
            value=100 / 9,
            unit="%",
            arithmetic="1 of 9",
            limit=None,
            mechanism="spill-over to the others; admission refuses what no longer fits",
        ),
    ]
