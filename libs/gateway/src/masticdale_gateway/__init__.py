"""The HTTP data path between callers and replicas."""

from masticdale_gateway.calls import (
    Admission,
    AdmissionClaim,
    BudgetLedger,
    RelaySettings,
)
from masticdale_gateway.codec import (
    ForwardingMetadata,
    HeaderCodec,
    RequestMetadata,
    ResponseMetadata,
)
from masticdale_gateway.crashes import CrashDependencies, TrialClaims
from masticdale_gateway.histories import NoHistory, TurnHistory
from masticdale_gateway.listeners import close_listener, listen
from masticdale_gateway.messages import Header, Headers, Request, ResponseHead
from masticdale_gateway.relay import Relay, RelayDependencies, StopTimes

__all__ = [
    "Admission",
    "AdmissionClaim",
    "BudgetLedger",
    "CrashDependencies",
    "ForwardingMetadata",
    "Header",
    "HeaderCodec",
    "Headers",
    "NoHistory",
    "Relay",
    "RelayDependencies",
    "RelaySettings",
    "Request",
    "RequestMetadata",
    "ResponseHead",
    "ResponseMetadata",
    "StopTimes",
    "TrialClaims",
    "TurnHistory",
    "close_listener",
    "listen",
]
