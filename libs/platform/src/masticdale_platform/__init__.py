"""The platform's object API.

``PlatformClient`` stands in ``client``, apart: it brings an HTTP library that
hosts of the users' platform do without.
"""

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
    "StoredObject",
    "WatchBatch",
]
