"""Client of the platform's object API."""

from masticdale_platform.client import PlatformClient
from masticdale_platform.types import (
    MAX_VALUE_BYTES,
    MUST_NOT_EXIST,
    ListedHost,
    ObjectStore,
    StoredObject,
    WatchBatch,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "MUST_NOT_EXIST",
    "ListedHost",
    "ObjectStore",
    "PlatformClient",
    "StoredObject",
    "WatchBatch",
]
