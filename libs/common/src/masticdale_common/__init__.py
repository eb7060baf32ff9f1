"""Error kinds, timers, logs, metrics, settings and state dumps."""

from masticdale_common import hashing, logs, settings
from masticdale_common.connection_budget import (
    ACCEPTED_AT_ONCE,
    Account,
    BudgetLimits,
    ConnectionBudget,
    limits_of_host,
    set_backlog,
)
from masticdale_common.dumps import JsonValue, StateDump
from masticdale_common.exceptions import (
    ERROR_RESPONSE_BY_KIND,
    ErrorKind,
    ErrorResponse,
    Executed,
    Failure,
    MasticdaleError,
)
from masticdale_common.metrics import Metrics
from masticdale_common.settings import StrictModel
from masticdale_common.timers import Subscription, TimerService

__all__ = [
    "ACCEPTED_AT_ONCE",
    "ERROR_RESPONSE_BY_KIND",
    "Account",
    "BudgetLimits",
    "ConnectionBudget",
    "ErrorKind",
    "ErrorResponse",
    "Executed",
    "Failure",
    "JsonValue",
    "MasticdaleError",
    "Metrics",
    "StateDump",
    "StrictModel",
    "Subscription",
    "TimerService",
    "hashing",
    "limits_of_host",
    "logs",
    "set_backlog",
    "settings",
]
