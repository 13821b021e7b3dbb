"""Work out docs/CAPACITY.md from measured slopes.

``python -m dalemast.bench.capacity --write`` fills the tables of the page from the recorded slopes
in docs/reference/slopes.json, ``--check`` fails when the page says something else.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from dalemast.bench.fit import Slope
from dalemast.entry.claims import TABLE_WRITES_PER_S

__all__ = ["PAGE", "RECORDED", "CapacityCommand", "render_page"]

PAGE = Path("docs/CAPACITY.md")
RECORDED = Path("docs/reference/slopes.json")
BEGIN = "<!-- begin {} -->"
END = "<!-- end {} -->"

WORKERS = 7700
STARTS_S = 310_000
TASKS_PER_JOB = 110
ACCOUNTS = 100
CHANGES_PER_DAY = 2800
DAY_S = 86_400
IN_FORCE_LIMIT_S = 15.0
CONTROL_CPU = 0.011
CONTROL_MEMORY = 256e6
CONTROL_BYTES_S = 2000.0
TABLE_READS_S = 2000.0
TABLE_WRITES_S = 500.0
WORKER_CONNECTIONS = 64
LINK_LIMIT = 48
ENTRY_UTILISATION = 0.6
TICKET_LIFE_S = 600.0
POLL_S = 1.0
PAYLOAD_BYTES = 24.0
RESTARTS_PER_DAY = 2000
SLOTS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One line of a role's table. ``limit`` is None where nothing bounds the figure."""

    what: str
    value: float
    unit: str
    arithmetic: str
    limit: float | None
    mechanism: str
    remedy: str = ""

    @property
    def verdict(self) -> str:
        """Say whether the figure fits, and by how much it does not."""
        if self.limit is None:
            return "no limit"
        if self.value <= self.limit:
            return "fits"
        return f"does not fit yet, {self.value / self.limit:.1f} times over: {self.remedy}"


class Model:
    """The arithmetic from slopes to the target."""

    def __init__(self, slopes: Sequence[Slope]) -> None:
        self._slopes = {slope.name: slope for slope in slopes}

    def get(self, name: str) -> Slope:
        """Return a slope by name."""
        return self._slopes[name]

    @property
    def jobs_s(self) -> float:
        """Jobs a second at the peak."""
        return STARTS_S / TASKS_PER_JOB

    @property
    def entry_job_s(self) -> float:
        """Processor seconds of an entry for one job of the largest size."""
        return self.get("entry.job").at(TASKS_PER_JOB) / 1000.0

    @property
    def entries(self) -> float:
        """Entry processes, one core each, at the utilisation that leaves room for bursts."""
        return self.jobs_s * self.entry_job_s / ENTRY_UTILISATION

    @property
    def links(self) -> float:
        """Links that a worker holds."""
        return min(self.entries, float(LINK_LIMIT))

    @property
    def view(self) -> float:
        """Workers that one entry is linked to."""
        return WORKERS * self.links / self.entries

    @property
    def starts_per_agent(self) -> float:
        """Starts a second at one agent."""
        return STARTS_S / WORKERS

    @property
    def config_bytes(self) -> float:
        """The bytes of the whole configuration."""
        return self.get("configuration.bytes").at(WORKERS)

    def get_entry_rows(self) -> list[Row]:
        """Return the table of the entry."""
        jobs = self.jobs_s / self.entries
        kept = self.get("memory.kept_job").slope
        memory = (
            jobs * TICKET_LIFE_S * kept
            + WORKERS * self.get("memory.worker").slope
            + jobs * DAY_S * self.get("memory.ticket").slope
            + ACCOUNTS * self.get("memory.account").slope
        )
        return [
            Row(
                what="processor time a job",
                value=self.entry_job_s * 1000,
                unit="ms",
                arithmetic=f"entry.job at {TASKS_PER_JOB} tasks",
                limit=None,
                mechanism="one frame an agent, payloads never parsed",
            ),
            Row(
                what="entry processes",
                value=self.entries,
                unit="processes",
                arithmetic=f"{self.jobs_s:.0f} jobs/s x that / {ENTRY_UTILISATION:g} of a core",
                limit=None,
                mechanism="no state is shared between entries, so they add up",
            ),
            Row(
                what="links a worker",
                value=self.links,
                unit="connections",
                arithmetic=f"entries, at most {LINK_LIMIT}",
                limit=float(WORKER_CONNECTIONS - SLOTS),
                mechanism="rendezvous view (core/placement/views.py)",
            ),
            Row(
                what="workers an entry is linked to",
                value=self.view,
                unit="workers",
                arithmetic=f"{WORKERS} x links / entries",
                limit=None,
                mechanism="the same view; sampling among them (core/placement/choices.py)",
            ),
            Row(
                what="choice for a job",
                value=self.get("selection.hot").at(WORKERS),
                unit="us",
                arithmetic="selection.hot at all workers",
                limit=1000.0,
                mechanism="label index, kept results, 24 sampled candidates",
            ),
            Row(
                what="the owner's part of a one-task job",
                value=self.get("owner.job").at(WORKERS),
                unit="us",
                arithmetic="owner.job at all workers",
                limit=1000.0,
                mechanism="only links with something to send are walked (dispatch/linkbook.py)",
            ),
            Row(
                what="watching the time",
                value=self.get("owner.tick").at(WORKERS) * 50 / 1e4,
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

    def get_agent_rows(self) -> list[Row]:
        """Return the table of the agent."""
        a_task = self.get("agent.job").slope / 1000.0
        rest = self.get("agent.rest").at(self.links) / 1000.0
        control = (
            self.get("bytes.starts").slope + self.get("bytes.answers").slope - 2 * PAYLOAD_BYTES
        )
        return [
            Row(
                what="starts a second",
                value=self.starts_per_agent,
                unit="tasks/s",
                arithmetic=f"{STARTS_S} / {WORKERS}",
                limit=None,
                mechanism="slots bound it",
            ),
            Row(
                what="processor time at rest",
                value=rest * 100,
                unit="% of a core",
                arithmetic=f"agent.rest at {self.links:.0f} links",
                limit=CONTROL_CPU * 100,
                mechanism="no heartbeats; a ping a link in 30 s",
                remedy="ping less often than every 30 s",
            ),
            Row(
                what="processor time under load",
                value=self.starts_per_agent * a_task * 100,
                unit="% of a core",
                arithmetic=f"{self.starts_per_agent:.1f} tasks/s x {a_task * 1000:.2f} ms",
                limit=CONTROL_CPU * 100,
                mechanism="the endpoint's HTTP call is nearly all of it",
                remedy=(
                    "the call itself would have to go: an endpoint that takes a job's tasks in"
                    " one request, or a compiled agent"
                ),
            ),
            Row(
                what="control bytes a second",
                value=self.starts_per_agent * control,
                unit="B/s",
                arithmetic=f"{self.starts_per_agent:.1f} tasks/s x {control:.0f} B beyond payloads",
                limit=CONTROL_BYTES_S,
                mechanism="load rides on answers; one letter a field that stands once a task",
                remedy="the MessagePack codec",
            ),
        ]

    def get_table_rows(self) -> list[Row]:
        """Return the table of the platform's table and host list."""
        reads = self.entries * (1.0 / POLL_S) * 2 + self.entries * CHANGES_PER_DAY / DAY_S
        restart = 0.1 * self.entries
        return [
            Row(
                what="reads a second in calm",
                value=reads,
                unit="reads/s",
                arithmetic=f"{self.entries:.0f} entries x (version + hosts) / {POLL_S:g} s",
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
                value=self.jobs_s / 200,
                unit="writes/s",
                arithmetic=f"{self.jobs_s:.0f} keys/s / 200 a write at best",
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
                value=self.entries / TABLE_WRITES_PER_S * 1000,
                unit="ms",
                arithmetic=f"{self.entries:.0f} entries / {TABLE_WRITES_PER_S:.0f} writes/s",
                limit=None,
                mechanism="the price of keys against tickets, which wait for nothing",
            ),
        ]

    def get_configuration_rows(self) -> list[Row]:
        """Return the table of configuration."""
        apply_s = self.get("configuration.apply").at(WORKERS) / 1000.0
        megabytes = self.config_bytes / 1e6
        traffic = self.entries * self.config_bytes * CHANGES_PER_DAY / DAY_S
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

    def get_fault_rows(self) -> list[Row]:
        """Return the table of what faults cost at this size."""
        share = 1.0 / self.entries
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
                value=RESTARTS_PER_DAY * self.links / DAY_S,
                unit="links/s",
                arithmetic=f"{RESTARTS_PER_DAY} x {self.links:.0f} / day, over all entries",
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


_TABLES: dict[str, Callable[[Model], list[Row]]] = {
    "entry": Model.get_entry_rows,
    "agent": Model.get_agent_rows,
    "table": Model.get_table_rows,
    "configuration": Model.get_configuration_rows,
    "faults": Model.get_fault_rows,
}


def render_rows(rows: Sequence[Row]) -> str:
    """Return a table as Markdown."""
    lines = [
        "| figure | value | arithmetic | limit | mechanism | verdict |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        limit = "" if row.limit is None else f"{row.limit:g} {row.unit}"
        lines.append(
            f"| {row.what} | {row.value:.4g} {row.unit} | {row.arithmetic} | {limit} "
            f"| {row.mechanism} | {row.verdict} |"
        )
    return "\n".join(lines)


def render_slopes(slopes: Sequence[Slope]) -> str:
    """Return the table of the slopes as Markdown."""
    lines = [
        "| slope | x | y | points | y at 0 | y per x | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
        lines.append(
            f"| {slope.name} | {slope.x} | {slope.y} | {points} | {slope.intercept:.4g} "
            f"| {slope.slope:.4g} | {slope.residual:.1%} |"
        )
    return "\n".join(lines)


def render_page(page: str, slopes: Sequence[Slope]) -> str:
    """Return the page with its tables worked out from the slopes."""
    model = Model(slopes)
    page = _replace(page, "slopes", render_slopes(slopes))
    for name, get_rows in _TABLES.items():
        page = _replace(page, name, render_rows(get_rows(model)))
    return page


def _replace(page: str, name: str, table: str) -> str:
    before, _, rest = page.partition(BEGIN.format(name))
    _, _, after = rest.partition(END.format(name))
    return f"{before}{BEGIN.format(name)}\n{table}\n{END.format(name)}{after}"


@cappa.command(name="capacity", help="Check or rebuild the tables of docs/CAPACITY.md.")
@dataclass(frozen=True, kw_only=True)
class CapacityCommand:
    """Rebuild the page."""

    write: Annotated[bool, cappa.Arg(long=True, help="Write the page.")] = False
    check: Annotated[bool, cappa.Arg(long=True, help="Fail on a difference.")] = False
    slopes: Annotated[str, cappa.Arg(long=True, help="The slopes to use.")] = str(RECORDED)

    def __call__(self) -> int:
        """Render, then write or compare."""
        slopes = msgspec.json.decode(Path(self.slopes).read_bytes(), type=list[Slope])
        old = PAGE.read_text()
        new = render_page(old, slopes)
        if self.write:
            PAGE.write_text(new)
        if self.check and new != old:
            print(f"{PAGE} differs from what {self.slopes} gives: run make docs", file=sys.stderr)
            return 1
        print(f"{PAGE}: {'written' if self.write else 'as the slopes give it'}")
        return 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(CapacityCommand))
