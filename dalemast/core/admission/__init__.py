"""Admission control: accept a job or refuse it at once."""

from dalemast.core.admission.base import AdmissionRequest, BaseAdmission, Forecast
from dalemast.core.admission.exceptions import (
    AccountBusy,
    DeadlineUnreachable,
    QueueFull,
    RateExceeded,
)
from dalemast.core.admission.limits import RetryBudget, TokenBucket
from dalemast.core.admission.policies import (
    DeadlineAdmission,
    OpenAdmission,
    get_admission,
)

__all__ = [
    "AccountBusy",
    "AdmissionRequest",
    "BaseAdmission",
    "DeadlineAdmission",
    "DeadlineUnreachable",
    "Forecast",
    "OpenAdmission",
    "QueueFull",
    "RateExceeded",
    "RetryBudget",
    "TokenBucket",
    "get_admission",
]
