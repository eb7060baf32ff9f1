"""Clients of model engines and plain services."""

from masticdale_upstreams.types import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    Chunk,
    Completion,
    GenerateRequest,
    Health,
    HeldProgram,
    LoadReport,
    ModelEngine,
    Order,
    OrderKind,
    PlainService,
    ServiceReply,
    ServiceRequest,
)

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "Chunk",
    "Completion",
    "GenerateRequest",
    "Health",
    "HeldProgram",
    "LoadReport",
    "ModelEngine",
    "Order",
    "OrderKind",
    "PlainService",
    "ServiceReply",
    "ServiceRequest",
]
