"""Where resumed streams began, by what the hosts tell each other."""

import asyncio
from typing import Protocol

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_gateway.calls import Call
from masticdale_routing.versions import KnownVersions, StreamOrigin


class StreamOrigins(Protocol):
    """Remembers where streams began, for whichever host resumes them."""

    async def open(self, origin: StreamOrigin) -> None:
        """Makes known where a stream begins, before its first event is sent.

        Returns after a short time in any case; a stream that could not be made
        known may not be resumed.
        """
        ...

    async def extend(self, hold_s: float) -> None:
        """Makes known for how long a caller can hold a resumed stream.

        Args:
            hold_s: The time from now on, in seconds.
        """
        ...

    def close(self, request_id: str) -> None:
        """Ends what ``open`` began; unknown ids are ignored."""
        ...

    async def find(
        self, stream_key: str, service: str
    ) -> tuple[StreamOrigin | None, KnownVersions]:
        """Looks up where a stream began.

        Args:
            stream_key: The caller's request that brought its first event, or
                the ``session_key`` of the latest stream of a session.
            service: The service that runs it.

        Returns:
            The origin, or None if no host knows of it, and the versions of the
            service that the asked hosts know.
        """
        ...

    async def required_watch_s(self, known: KnownVersions) -> float | None:
        """Returns for how long a sole version must have been watched.

        A version that was the only one for a shorter time need not be that of
        a stream without a known origin.

        Args:
            known: What is known of the versions of its service.

        Returns:
            The time in seconds; None if it can't be told now.
        """
        ...


class NoOrigins:
    """``StreamOrigins`` of a host that remembers nothing."""

    async def open(self, origin: StreamOrigin) -> None:
        """See ``StreamOrigins.open``."""

    async def extend(self, hold_s: float) -> None:
        """See ``StreamOrigins.extend``."""

    def close(self, request_id: str) -> None:
        """See ``StreamOrigins.close``."""

    async def find(
        self, stream_key: str, service: str
    ) -> tuple[StreamOrigin | None, KnownVersions]:
        """See ``StreamOrigins.find``."""
        del stream_key, service
        return None, KnownVersions()

    async def required_watch_s(self, known: KnownVersions) -> float | None:
        """See ``StreamOrigins.required_watch_s``."""
        del known
        return None


class OriginGuard:
    """Keeps each stream at the software version that began it."""

    def __init__(self, origins: StreamOrigins, metrics: Metrics) -> None:
        self._origins = origins
        self._metrics = metrics

    async def admit(self, call: Call) -> Failure | None:
        """Finds the origin of a stream that its caller resumes.

        Returns:
            The failure if it can't be told; None if the call may be run.
        """
        if not call.is_stream or not call.metadata.is_resumption:
            return None
        found = await self._find(call)
        if isinstance(found, Failed):
            failure: Failure = found.failure()
            return failure
        call.origin = found.unwrap()
        # A resumption may name a later deadline than the request before.
        await self._origins.extend(call.hold_s)
        return None

    async def record_first_event(
        self, call: Call, origin: StreamOrigin
    ) -> None:
        """Records where a stream begins; resumed ones stay as they are."""
        if call.origin is not None:
            return
        call.origin = origin
        # Routes that keep histories refuse streams that callers resume.
        if not call.route.is_resumable or call.keeps_history:
            return
        began_at = asyncio.get_running_loop().time()
        await self._origins.open(origin)
        self._metrics.observe(
            "stream_origin_seconds",
            asyncio.get_running_loop().time() - began_at,
        )

    def finish(self, call: Call) -> None:
        """Ends a call."""
        if call.origin is not None:
            self._origins.close(call.origin.request_id)

    async def _find(self, call: Call) -> Result[StreamOrigin, Failure]:
        resumed_id = call.metadata.resumed_request_id
        service = call.service.name
        stream_key = resumed_id or call.session_key
        origin, known = await self._origins.find(stream_key, service)
        required_s = None
        if origin is None:
            required_s = await self._origins.required_watch_s(known)
        sole = None if required_s is None else known.sole_version(required_s)
        if sole is not None:
            origin = StreamOrigin(call.metadata.stream_id, service, sole)
        if origin is not None and origin.service_name != service:
            origin = None
        outcome = "unknown" if origin is None else "found"
        self._metrics.count("streams_resumed_total", origin=outcome)
        logs.write_bounded(
            "stream_resumed",
            request_id=call.metadata.request_id,
            resumes=resumed_id,
            stream_key=stream_key,
            service=service,
            software_version=origin.software_version if origin else None,
            replica=origin.replica_id if origin else "",
            version_ages_s={
                version: round(age_s, 1)
                for version, age_s in sorted(known.age_by_version.items())
            },
            watched_s=round(known.watched_s, 1),
            required_watch_s=required_s,
            outcome=outcome,
        )
        if origin is None:
            return Failed(Failure(ErrorKind.STREAM_ORIGIN_UNKNOWN))
        return Success(origin)
