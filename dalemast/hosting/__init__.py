"""The platform's services used by dalemast: a table and a host list."""

from dalemast.hosting.base import (
    BaseHostList,
    BasePlatform,
    BaseTable,
    Condition,
    Host,
    HostRole,
    HostState,
    Put,
    Row,
)
from dalemast.hosting.exceptions import (
    ConditionFailed,
    PlatformAnswerLost,
    PlatformBusy,
    PlatformDown,
    PlatformError,
)
from dalemast.hosting.faults import FaultControls
from dalemast.hosting.memory import MemoryPlatform

__all__ = [
    "BaseHostList",
    "BasePlatform",
    "BaseTable",
    "Condition",
    "ConditionFailed",
    "FaultControls",
    "Host",
    "HostRole",
    "HostState",
    "MemoryPlatform",
    "PlatformAnswerLost",
    "PlatformBusy",
    "PlatformDown",
    "PlatformError",
    "Put",
    "Row",
]
