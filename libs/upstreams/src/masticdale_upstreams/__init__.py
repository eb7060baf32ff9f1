"""Clients of model engines and plain services."""

from masticdale_upstreams.engine import (
    EngineClient,
    EngineOptions,
    create_engine_client,
)
from masticdale_upstreams.service import (
    ServiceClient,
    ServiceOptions,
    create_service_client,
)
from masticdale_upstreams.types import (
    CachedProgram,
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    Chunk,
    Completion,
    GenerateRequest,
    Health,
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
    "CachedProgram",
    "Chunk",
    "Completion",
    "EngineClient",
    "EngineOptions",
    "GenerateRequest",
    "Health",
    "LoadReport",
    "ModelEngine",
    "Order",
    "OrderKind",
    "PlainService",
    "ServiceClient",
    "ServiceOptions",
    "ServiceReply",
    "ServiceRequest",
    "create_engine_client",
    "create_service_client",
]
