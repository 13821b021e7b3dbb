"""Settings of the fleet's two roles: entries and agents on a platform with leased workers."""

from __future__ import annotations

from dalemast.settings.base import ListenerSettings, LogSettings, Settings

__all__ = [
    "AddressSettings",
    "BackendSettings",
    "FleetAgentSettings",
    "FleetEntrySettings",
    "FleetSettings",
    "LoadSettings",
]


class AddressSettings(Settings, frozen=True, kw_only=True):
    """Address of another process: an IP address and a port."""

    address: str


class BackendSettings(Settings, frozen=True, kw_only=True):
    """Dotted paths of the platform's backend classes; see dalemast/fleet/base.py."""

    store: str = "dalemast.platform.PlatformStore"
    ingress: str = "dalemast.platform.PlatformIngress"
    worker: str = "dalemast.platform.PlatformWorkerDriver"
    registration: str = "dalemast.platform.PlatformRegistration"


class LoadSettings(Settings, frozen=True, kw_only=True):
    """Optional scheduling features for high load; see docs/design/hard-load.md.

    ``shares_demand``: entries report their queued work to each other, and agents report when
    capacity is expected to become free. ``forecasts``: a job that cannot start in time is refused
    on arrival. ``preempts``: queues of higher priority in the configuration preempt runs of lower
    priority. ``learns_speeds``: agents record the speed of their worker, and slow workers get jobs
    that have time to spare. ``balances``: a whole job goes to the data centre where it can start
    soonest. ``plans_departures``: runs that a leaving worker cannot finish are moved in time.
    """

    shares_demand: bool = False
    forecasts: bool = False
    preempts: bool = False
    learns_speeds: bool = False
    balances: bool = False
    plans_departures: bool = False


class FleetSettings(Settings, frozen=True, kw_only=True):
    """Settings that both roles have.

    ``seeds`` are link addresses of some entries, not all of which need to be running. ``resend_ms``
    is the earliest time after which a caller that lost its connection resubmits its job,
    ``lease_max_ms`` the longest lease of a worker, and ``stop_ms`` the longest time that a stop
    takes; the platform defines all three. ``grace_s`` is the time between SIGTERM and SIGKILL.
    ``data_centres`` maps the deployment's data centres to their regions; data of any other data
    centre is ignored, unless the mapping is empty. ``load`` enables scheduling features for high
    load.
    """

    name: str
    data_centre: str
    metrics: ListenerSettings
    store: AddressSettings
    seeds: tuple[str, ...] = ()
    backends: BackendSettings = BackendSettings()
    log: LogSettings = LogSettings(level="all", destination="stdout")
    resend_ms: float = 1300.0
    lease_max_ms: float = 1000.0
    stop_ms: float = 50.0
    grace_s: float = 6.0
    data_centres: dict[str, str] = {}
    load: LoadSettings = LoadSettings()


class FleetEntrySettings(FleetSettings, frozen=True, kw_only=True):
    """Settings of ``dalemast fleet-entry``.

    ``callers``, ``readiness`` and ``links`` are the listeners for callers, for the platform's load
    balancer, and for agents and other entries. ``remote_factor`` is the factor by which a task
    takes longer on a rack that does not hold its data. ``far_penalty`` is the cost of traffic
    between data centres: the share of a task's run time that must be saved for another data centre
    to be chosen. ``order`` is the dotted path of the class that orders waiting jobs; see
    dalemast/core/scheduling/orders.py. ``advertised`` is the address at which others reach
    ``links`` if it differs from the listener's address, as behind a proxy.
    """

    callers: ListenerSettings
    readiness: ListenerSettings
    links: ListenerSettings
    advertised: str = ""
    remote_factor: float = 1.5
    far_penalty: float = 0.08
    order: str = "dalemast.core.scheduling.PriorityOrder"


class FleetAgentSettings(FleetSettings, frozen=True, kw_only=True):
    """Settings of ``dalemast fleet-agent``.

    ``registration`` is the listener for the worker's heartbeats, ``worker`` the address at which
    the worker accepts calls. ``max_near_links`` and ``max_far_links`` limit the number of entries
    to which the worker is offered, in the agent's own data centre and in others. They apply when
    there are more entries than both limits together.
    """

    registration: ListenerSettings
    worker: AddressSettings
    max_near_links: int = 12
    max_far_links: int = 4
