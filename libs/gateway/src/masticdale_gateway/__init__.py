"""The HTTP data path between callers and replicas."""

from masticdale_gateway.calls import (
    Admission,
    BudgetLedger,
    RelaySettings,
    TurnClaim,
)
from masticdale_gateway.codec import (
    ForwardingMetadata,
    HeaderCodec,
    RequestMetadata,
    ResponseMetadata,
)
from masticdale_gateway.messages import Header, Headers, Request, ResponseHead
from masticdale_gateway.relay import Relay, RelayDependencies, listen

__all__ = [
    "Admission",
    "BudgetLedger",
    "ForwardingMetadata",
    "Header",
    "HeaderCodec",
    "Headers",
    "Relay",
    "RelayDependencies",
    "RelaySettings",
    "Request",
    "RequestMetadata",
    "ResponseHead",
    "ResponseMetadata",
    "TurnClaim",
    "listen",
]
