"""In-memory network with fault injection, for tests."""

import asyncio
import dataclasses
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_peers.interfaces import PeerCalls, PeerHandler
from masticdale_peers.messages import (
    from_wire,
    to_wire,
)
from masticdale_rpc import unavailable
from masticdale_rpc.contracts import ReplyT, RequestT, Rpc

DEFAULT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The direction from one host to another."""

    origin: str
    target: str


class MemoryNetwork:
    """Delivers calls between handlers in memory and injects faults.

    Attributes:
        calls_by_link: Number of calls made on each link.
    """

    def __init__(self) -> None:
        self.calls_by_link: dict[Link, int] = {}
        self._handler_by_host: dict[str, PeerHandler] = {}
        self._cut_links: set[Link] = set()
        self._paused_hosts: set[str] = set()
        self._delay_by_link: dict[Link, float] = {}
        self._lost_replies_by_link: dict[Link, int] = {}

    def attach(self, host: str, handler: PeerHandler) -> None:
        """Registers a host's handler; replaces an earlier one."""
        self._handler_by_host[host] = handler

    def detach(self, host: str) -> None:
        """Removes a host: connections to it are refused."""
        self._handler_by_host.pop(host, None)

    def cut(self, origin: str, target: str) -> None:
        """Drops calls in one direction: they time out and never arrive."""
        self._cut_links.add(Link(origin, target))

    def heal(self, origin: str, target: str) -> None:
        """Restores a link that was cut."""
        self._cut_links.discard(Link(origin, target))

    def pause(self, host: str) -> None:
        """Pauses a host: calls to it time out and its handler is not run."""
        self._paused_hosts.add(host)

    def resume(self, host: str) -> None:
        """Resumes a paused host."""
        self._paused_hosts.discard(host)

    def delay(self, origin: str, target: str, seconds: float) -> None:
        """Delays every call on a link; 0 removes the delay."""
        self._delay_by_link[Link(origin, target)] = seconds

    def lose_replies(self, origin: str, target: str, count: int = 1) -> None:
        """Runs the next ``count`` calls on a link but drops their replies."""
        self._lost_replies_by_link[Link(origin, target)] = count

    def peers(self, origin: str) -> "MemoryPeers":
        """Returns the clients that a host uses."""
        return MemoryPeers(self, origin)

    async def deliver(
        self,
        link: Link,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
    ) -> Result[ReplyT, Failure]:
        """Makes one call; see ``PeerCalls.call``.

        A call that is dropped by a cut or a pause fails immediately instead
        of after its timeout, so that tests do not have to wait.
        """
        self.calls_by_link[link] = self.calls_by_link.get(link, 0) + 1
        delay_s = self._delay_by_link.get(link, 0.0)
        await asyncio.sleep(min(delay_s, timeout_s))
        handler = self._handler_by_host.get(link.target)
        if handler is None:
            return _unavailable(link, "refused", sent=False)
        if link in self._cut_links or link.target in self._paused_hosts:
            return _unavailable(link, "timed out", sent=True)
        if delay_s >= timeout_s:
            return _unavailable(link, "timed out", sent=True)
        return await self._run(link, handler, rpc, request, timeout_s)

    async def _run(
        self,
        link: Link,
        handler: PeerHandler,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
    ) -> Result[ReplyT, Failure]:
        try:
            async with asyncio.timeout(timeout_s):
                reply = await getattr(handler, rpc.name)(_round_trip(request))
        except TimeoutError:
            return _unavailable(link, "timed out", sent=True)
        except Exception as error:
            detail = f"{link.target}: {rpc.name} failed: {error!r}"
            return Failed(Failure(ErrorKind.INTERNAL, detail))
        lost = self._lost_replies_by_link.get(link, 0)
        if lost:
            self._lost_replies_by_link[link] = lost - 1
            return _unavailable(link, "timed out", sent=True)
        return Success(_round_trip(reply))


class _MemoryPeer(PeerCalls):
    """Client of one host on one link."""

    def __init__(self, network: MemoryNetwork, link: Link) -> None:
        self._network = network
        self._link = link

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """See ``PeerCalls.call``."""
        if timeout_s is None:
            timeout_s = DEFAULT_TIMEOUT_S
        return await self._network.deliver(self._link, rpc, request, timeout_s)


class MemoryPeers:
    """The clients that one host uses in a ``MemoryNetwork``."""

    def __init__(self, network: MemoryNetwork, origin: str) -> None:
        self._network = network
        self._origin = origin

    def client(self, host: str) -> PeerCalls:
        """See ``Peers.client``."""
        return _MemoryPeer(self._network, Link(self._origin, host))


def _round_trip(message: Any) -> Any:
    # Converts to a thrift struct and back, so that values that cannot be
    # transmitted fail in tests too.
    return from_wire(type(message), to_wire(message))


def _unavailable(link: Link, reason: str, *, sent: bool) -> Failed[Failure]:
    return Failed(unavailable(link.target, reason, sent=sent))
