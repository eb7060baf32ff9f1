"""Error kinds, timers, logs, metrics, settings and state dumps."""

from masticdale_common import hashing, logs, settings
from masticdale_common.dumps import JsonValue, StateDump
from masticdale_common.exceptions import (
    ANSWER_BY_KIND,
    Answer,
    ErrorKind,
    Failure,
    MasticdaleError,
    Ran,
)
from masticdale_common.metrics import Metrics
from masticdale_common.settings import StrictModel
from masticdale_common.timers import Subscription, TimerService

__all__ = [
    "ANSWER_BY_KIND",
    "Answer",
    "ErrorKind",
    "Failure",
    "JsonValue",
    "MasticdaleError",
    "Metrics",
    "Ran",
    "StateDump",
    "StrictModel",
    "Subscription",
    "TimerService",
    "hashing",
    "logs",
    "settings",
]
