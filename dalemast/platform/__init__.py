"""The adapter to the users' platform: translates its words and calls, and decides nothing.

Nothing outside this package knows the platform's names; settings name its classes by dotted path.
"""

from dalemast.platform.ingress import PlatformIngress
from dalemast.platform.registration import PlatformRegistration
from dalemast.platform.store import PlatformStore
from dalemast.platform.worker import PlatformWorkerDriver

__all__ = ["PlatformIngress", "PlatformRegistration", "PlatformStore", "PlatformWorkerDriver"]
