"""Placement, admission, retries and suspects; decisions without I/O."""

from masticdale_routing.evictions import EvictionRate
from masticdale_routing.inflight import (
    InFlightSettings,
)
from masticdale_routing.limits import (
    HostShare,
    TokenBucket,
    WorkspaceGate,
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
    CostInSeconds,
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
    Circuit,
    CircuitSettings,
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
    Offer,
    Queued,
    Refused,
    Ticket,
    TicketResult,
)
from masticdale_routing.waiting import (
    QueueOrder,
)

__all__ = [
    "Admission",
    "Affinity",
    "BranchKey",
    "CachePressure",
    "Candidate",
    "Circuit",
    "CircuitSettings",
    "CircuitState",
    "CostInSeconds",
    "DroppedTickets",
    "EngineSpeed",
    "EvictionRate",
    "FailedAttempt",
    "GiveUp",
    "Granted",
    "HostShare",
    "InFlightSettings",
    "LeastInFlight",
    "LoadObservation",
    "Location",
    "Offer",
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
    "WorkspaceGate",
    "WorkspaceLimits",
    "choose_probes",
    "cost_s",
    "create_replica_queue",
    "decide_retry",
    "place",
    "split_share",
]
