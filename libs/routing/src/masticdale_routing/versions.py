"""Software versions of replicas, and where streams began.

Replicas of several software versions may serve side by side. What two of them
write doesn't fit together, so a stream may only go on at the version that began
it, also where its caller resumes it through another host.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where the first event of a stream came from.

    Attributes:
        request_id: The caller's request that brought it.
        service_name: The service that runs it.
        software_version: Version of the replica's software.
        replica_id: The replica; empty if unknown.
    """

    request_id: str
    service_name: str
    software_version: str
    replica_id: str = ""
