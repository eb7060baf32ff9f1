"""The platform's object API.

``PlatformClient`` is not exported here: its module ``client`` imports an HTTP
library that not every host installs.
"""

from masticdale_platform.checked_watches import CheckedWatches, CheckIntervals
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
    "CheckIntervals",
    "CheckedWatches",
    "ListedHost",
    "ObjectStore",
    "StoredObject",
    "WatchBatch",
]
