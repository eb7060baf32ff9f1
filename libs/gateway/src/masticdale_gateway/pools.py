"""A pool of connections to replicas."""

import asyncio
import collections

from masticdale_common import Metrics
from masticdale_gateway.upstreams import UpstreamConnection
from masticdale_routing.fleet import Replica

# Shorter than the kernel's first SYN retransmission (1 s): a replica whose
# accept queue is full drops the SYN, and waiting for the retry takes too long.
_CONNECT_TIMEOUT_S = 0.4
# Timeout of a connection that only shows whether a replica still listens. A
# request waits for it, and a replica that has ended refuses at once.
_PROBE_TIMEOUT_S = 0.1
# A connection is not reused this close to its keep-alive timeout: the request
# could cross with the replica's close.
_KEEP_ALIVE_MARGIN_S = 1.0
# Used if the replica sends no keep-alive timeout.
_DEFAULT_KEEP_ALIVE_S = 5.0

_Key = tuple[str, str, int, int]


class ConnectFailedError(Exception):
    """The connection could not be opened, so nothing was sent.

    Attributes:
        is_refused: Whether nothing listens at the address.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(repr(cause))
        self.is_refused = isinstance(cause, ConnectionRefusedError)


class ConnectionPool:
    """Idle connections by replica."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._idle_by_key: dict[_Key, collections.deque[UpstreamConnection]] = (
            collections.defaultdict(collections.deque)
        )

    async def acquire(
        self, replica: Replica, max_idle_s: float
    ) -> UpstreamConnection:
        """Returns an idle connection or a new one.

        Args:
            replica: The replica to connect to.
            max_idle_s: Maximum idle time of a reused connection. One that was
                dropped on the network looks open until it is written to, and
                then it is unknown whether the request arrived.

        Raises:
            ConnectFailedError: The replica can't be reached.
        """
        idle = self._idle_by_key[_key(replica)]
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle[-1]
            if not _is_fresh(connection, now):
                idle.pop().close()
                continue
            if now - connection.idle_since > max_idle_s:
                break
            return idle.pop()
        return await self._connect(replica)

    async def refuses(self, replica: Replica) -> bool:
        """Returns whether nothing listens at a replica's address.

        A connection that it takes is kept for the next request.
        """
        try:
            connection = await self._connect(replica, _PROBE_TIMEOUT_S)
        except ConnectFailedError as error:
            return error.is_refused
        connection.idle_since = asyncio.get_running_loop().time()
        self.release(replica, connection)
        return False

    def release(self, replica: Replica, connection: UpstreamConnection) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if not connection.is_reusable:
            connection.abort()
            return
        self._idle_by_key[_key(replica)].append(connection)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        now = asyncio.get_running_loop().time()
        for key, idle in list(self._idle_by_key.items()):
            while idle and not _is_fresh(idle[0], now):
                idle.popleft().close()
            if not idle:
                del self._idle_by_key[key]

    def close(self) -> None:
        """Closes every idle connection."""
        for idle in self._idle_by_key.values():
            for connection in idle:
                connection.close()
        self._idle_by_key.clear()

    async def _connect(
        self, replica: Replica, timeout_s: float = _CONNECT_TIMEOUT_S
    ) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        self._metrics.count("upstream_connections_total")
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    UpstreamConnection, replica.address, replica.port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailedError(error) from error
        return connection


def _key(replica: Replica) -> _Key:
    return (replica.id, replica.address, replica.port, replica.started_at_ms)


def _is_fresh(connection: UpstreamConnection, now: float) -> bool:
    if not connection.is_reusable:
        return False
    keep_alive_s = connection.keep_alive_s or _DEFAULT_KEEP_ALIVE_S
    return now - connection.idle_since < keep_alive_s - _KEEP_ALIVE_MARGIN_S
