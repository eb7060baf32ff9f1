"""Placement, admission control, retries and crash suspects, without I/O.

Submodules are imported lazily, on first access to one of their names, which
shortens the start of processes that need only some of them.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from masticdale_routing.evictions import EvictionRate
    from masticdale_routing.inflight import (
        InFlightSettings,
    )
    from masticdale_routing.limits import (
        HostShare,
        HostShareLimiter,
        TokenBucket,
        WorkspaceLimits,
        split_share,
    )
    from masticdale_routing.pauses import (
        CachePressure,
        PauseAction,
        PauseDecision,
        PauseKey,
        PauseModel,
    )
    from masticdale_routing.placement import (
        Affinity,
        Candidate,
        LeastCost,
        LeastInFlight,
        Location,
        Placement,
        PlacementRequest,
        Policy,
        RoundRobin,
        choose_probes,
        cost_s,
        place,
    )
    from masticdale_routing.prefixes import (
        BranchKey,
        PrefixIndex,
        PrefixRequest,
    )
    from masticdale_routing.queues import (
        DroppedTickets,
        QueueSettings,
        ReplicaQueue,
        create_replica_queue,
    )
    from masticdale_routing.retries import (
        CircuitBreaker,
        CircuitBreakerSettings,
        CircuitState,
        FailedAttempt,
        GiveUp,
        RetryAfter,
        RetryBudget,
        RetrySettings,
        decide_retry,
    )
    from masticdale_routing.speeds import (
        EngineSpeed,
    )
    from masticdale_routing.suspects import (
        Admission,
        SuspectRecord,
        SuspectRegistry,
        SuspectState,
    )
    from masticdale_routing.tickets import (
        Granted,
        LoadObservation,
        OfferResult,
        Queued,
        Refused,
        Ticket,
        TicketResult,
    )
    from masticdale_routing.waiting import (
        QueueOrder,
    )

_NAMES_BY_MODULE = {
    "evictions": ("EvictionRate",),
    "inflight": ("InFlightSettings",),
    "limits": (
        "HostShare",
        "TokenBucket",
        "HostShareLimiter",
        "WorkspaceLimits",
        "split_share",
    ),
    "pauses": (
        "CachePressure",
        "PauseAction",
        "PauseDecision",
        "PauseKey",
        "PauseModel",
    ),
    "placement": (
        "Affinity",
        "Candidate",
        "LeastCost",
        "LeastInFlight",
        "Location",
        "Placement",
        "PlacementRequest",
        "Policy",
        "RoundRobin",
        "choose_probes",
        "cost_s",
        "place",
    ),
    "prefixes": (
        "BranchKey",
        "PrefixIndex",
        "PrefixRequest",
    ),
    "queues": (
        "DroppedTickets",
        "QueueSettings",
        "ReplicaQueue",
        "create_replica_queue",
    ),
    "retries": (
        "CircuitBreaker",
        "CircuitBreakerSettings",
        "CircuitState",
        "FailedAttempt",
        "GiveUp",
        "RetryAfter",
        "RetryBudget",
        "RetrySettings",
        "decide_retry",
    ),
    "speeds": ("EngineSpeed",),
    "suspects": (
        "Admission",
        "SuspectRecord",
        "SuspectRegistry",
        "SuspectState",
    ),
    "tickets": (
        "Granted",
        "LoadObservation",
        "OfferResult",
        "Queued",
        "Refused",
        "Ticket",
        "TicketResult",
    ),
    "waiting": ("QueueOrder",),
}
_MODULE_BY_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}


def __getattr__(name: str) -> Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


__all__ = [
    "Admission",
    "Affinity",
    "BranchKey",
    "CachePressure",
    "Candidate",
    "CircuitBreaker",
    "CircuitBreakerSettings",
    "CircuitState",
    "DroppedTickets",
    "EngineSpeed",
    "EvictionRate",
    "FailedAttempt",
    "GiveUp",
    "Granted",
    "HostShare",
    "HostShareLimiter",
    "InFlightSettings",
    "LeastCost",
    "LeastInFlight",
    "LoadObservation",
    "Location",
    "OfferResult",
    "PauseAction",
    "PauseDecision",
    "PauseKey",
    "PauseModel",
    "Placement",
    "PlacementRequest",
    "Policy",
    "PrefixIndex",
    "PrefixRequest",
    "QueueOrder",
    "QueueSettings",
    "Queued",
    "Refused",
    "ReplicaQueue",
    "RetryAfter",
    "RetryBudget",
    "RetrySettings",
    "RoundRobin",
    "SuspectRecord",
    "SuspectRegistry",
    "SuspectState",
    "Ticket",
    "TicketResult",
    "TokenBucket",
    "WorkspaceLimits",
    "choose_probes",
    "cost_s",
    "create_replica_queue",
    "decide_retry",
    "place",
    "split_share",
]
