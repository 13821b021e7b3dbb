"""Adapter to the hosting platform: translates its messages and calls, without any policy.

Only this package and the emulator use the platform's names. Settings refer to its classes by dotted
path.
"""

from dalemast.platform.ingress import PlatformIngress
from dalemast.platform.registration import PlatformRegistration
from dalemast.platform.store import PlatformStore
from dalemast.platform.worker import PlatformWorkerDriver

__all__ = ["PlatformIngress", "PlatformRegistration", "PlatformStore", "PlatformWorkerDriver"]
