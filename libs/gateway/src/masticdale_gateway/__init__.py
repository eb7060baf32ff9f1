"""The HTTP data path: callers on one side, replicas on the other."""

from masticdale_gateway.calls import BudgetLedger, RelaySettings, TurnClaim
from masticdale_gateway.dialect import (
    AnswerTerms,
    CallTerms,
    HeaderCodec,
    SendTerms,
)
from masticdale_gateway.messages import Header, Headers, Request, ResponseHead
from masticdale_gateway.relay import Relay, RelayParts, listen

__all__ = [
    "AnswerTerms",
    "BudgetLedger",
    "CallTerms",
    "Header",
    "HeaderCodec",
    "Headers",
    "Relay",
    "RelayParts",
    "RelaySettings",
    "Request",
    "ResponseHead",
    "SendTerms",
    "TurnClaim",
    "listen",
]
