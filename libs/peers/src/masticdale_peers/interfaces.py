"""Server and client interfaces of the ``Peer`` service."""

import abc
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure
from masticdale_peers import messages
from masticdale_peers.messages import (
    CopyReply,
    CopyRequest,
    Empty,
    GrantNotice,
    Heartbeat,
    HeartbeatReply,
    ProbeReply,
    ProbeRequest,
    ProgramsReply,
    ProgramsRequest,
    ReadReply,
    ReadRequest,
    RevisionsReply,
    RevisionsRequest,
    SealReply,
    SealRequest,
    StatesReply,
    StatesRequest,
    Submission,
    SubmitReply,
    SuspectReply,
    SuspectRequest,
    TicketRelease,
    TicketReply,
    TicketRequest,
)
from masticdale_rpc.contracts import ReplyT, RequestT, Rpc


class PeerHandler(Protocol):
    """Server side of the service, one method for each RPC.

    Expected errors are returned in the reply's ``failure``. An exception
    reaches the caller as INTERNAL.
    """

    async def heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Processes a peer's heartbeat and replies with this host's."""
        ...

    async def submit(self, submission: Submission) -> SubmitReply:
        """Runs an operation on a program that this host owns."""
        ...

    async def read(self, request: ReadRequest) -> ReadReply:
        """Returns a turn's text from an offset, waiting for new text."""
        ...

    async def enqueue(self, request: TicketRequest) -> TicketReply:
        """Queues a call for a replica whose home is this host."""
        ...

    async def release(self, release: TicketRelease) -> Empty:
        """Releases a granted ticket after its call has ended."""
        ...

    async def withdraw(self, release: TicketRelease) -> Empty:
        """Cancels a ticket whose call has not been sent."""
        ...

    async def grant(self, notice: GrantNotice) -> Empty:
        """Resumes the calls whose tickets were granted."""
        ...

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """Estimates how long a call would wait for a replica."""
        ...

    async def revisions(self, request: RevisionsRequest) -> RevisionsReply:
        """Returns the configuration revisions after a given number."""
        ...

    async def put_copy(self, request: CopyRequest) -> CopyReply:
        """Stores copies of a shard's records."""
        ...

    async def seal_copies(self, request: SealRequest) -> SealReply:
        """Fences older epochs of a shard and returns the stored copies."""
        ...

    async def suspect(self, request: SuspectRequest) -> SuspectReply:
        """Admits a run of a content digest or records its end."""
        ...

    async def states(self, request: StatesRequest) -> StatesReply:
        """Returns which of the programs no longer exist."""
        ...

    async def programs(self, request: ProgramsRequest) -> ProgramsReply:
        """Lists, describes or ends programs for an operator."""
        ...


class PeerCalls(abc.ABC):
    """Client side of the service for one peer.

    Each method returns the peer's reply, whose ``failure`` the caller must
    check, or a failure of the call itself: PEER_UNAVAILABLE if no complete
    reply arrived within the timeout (``may_have_been_sent`` tells whether the
    peer may have received the request), INTERNAL if the peer's handler raised.
    """

    @abc.abstractmethod
    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """Makes one call; see ``RpcClient.call``."""

    async def heartbeat(
        self, beat: Heartbeat, timeout_s: float | None = None
    ) -> Result[HeartbeatReply, Failure]:
        """See ``PeerHandler.heartbeat``."""
        return await self.call(messages.HEARTBEAT, beat, timeout_s)

    async def submit(
        self, submission: Submission, timeout_s: float | None = None
    ) -> Result[SubmitReply, Failure]:
        """See ``PeerHandler.submit``."""
        return await self.call(messages.SUBMIT, submission, timeout_s)

    async def read(
        self, request: ReadRequest, timeout_s: float | None = None
    ) -> Result[ReadReply, Failure]:
        """See ``PeerHandler.read``; the timeout is added to the wait."""
        return await self.call(messages.READ, request, timeout_s)

    async def enqueue(
        self, request: TicketRequest, timeout_s: float | None = None
    ) -> Result[TicketReply, Failure]:
        """See ``PeerHandler.enqueue``."""
        return await self.call(messages.ENQUEUE, request, timeout_s)

    async def release(
        self, release: TicketRelease, timeout_s: float | None = None
    ) -> Result[Empty, Failure]:
        """See ``PeerHandler.release``."""
        return await self.call(messages.RELEASE, release, timeout_s)

    async def withdraw(
        self, release: TicketRelease, timeout_s: float | None = None
    ) -> Result[Empty, Failure]:
        """See ``PeerHandler.withdraw``."""
        return await self.call(messages.WITHDRAW, release, timeout_s)

    async def grant(
        self, notice: GrantNotice, timeout_s: float | None = None
    ) -> Result[Empty, Failure]:
        """See ``PeerHandler.grant``."""
        return await self.call(messages.GRANT, notice, timeout_s)

    async def probe(
        self, request: ProbeRequest, timeout_s: float | None = None
    ) -> Result[ProbeReply, Failure]:
        """See ``PeerHandler.probe``."""
        return await self.call(messages.PROBE, request, timeout_s)

    async def revisions(
        self, request: RevisionsRequest, timeout_s: float | None = None
    ) -> Result[RevisionsReply, Failure]:
        """See ``PeerHandler.revisions``."""
        return await self.call(messages.REVISIONS, request, timeout_s)

    async def put_copy(
        self, request: CopyRequest, timeout_s: float | None = None
    ) -> Result[CopyReply, Failure]:
        """See ``PeerHandler.put_copy``."""
        return await self.call(messages.PUT_COPY, request, timeout_s)

    async def seal_copies(
        self, request: SealRequest, timeout_s: float | None = None
    ) -> Result[SealReply, Failure]:
        """See ``PeerHandler.seal_copies``."""
        return await self.call(messages.SEAL_COPIES, request, timeout_s)

    async def suspect(
        self, request: SuspectRequest, timeout_s: float | None = None
    ) -> Result[SuspectReply, Failure]:
        """See ``PeerHandler.suspect``."""
        return await self.call(messages.SUSPECT, request, timeout_s)

    async def states(
        self, request: StatesRequest, timeout_s: float | None = None
    ) -> Result[StatesReply, Failure]:
        """See ``PeerHandler.states``."""
        return await self.call(messages.STATES, request, timeout_s)

    async def programs(
        self, request: ProgramsRequest, timeout_s: float | None = None
    ) -> Result[ProgramsReply, Failure]:
        """See ``PeerHandler.programs``."""
        return await self.call(messages.PROGRAMS, request, timeout_s)


class Peers(Protocol):
    """Clients of all peers, by host name."""

    def client(self, host: str) -> PeerCalls:
        """Returns the client of a host.

        Args:
            host: Name of a peer in the settings. Calls to any other name
                fail with PEER_UNAVAILABLE and are not sent.
        """
        ...
