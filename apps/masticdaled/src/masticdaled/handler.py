"""Dispatches peers' calls to the services of this host."""

import dataclasses
import time
from collections.abc import Callable

from returns.result import Failure as Failed

from masticdale_config import ActiveConfig
from masticdale_peers import (
    CopyReply,
    CopyRequest,
    Empty,
    GrantNotice,
    Heartbeat,
    HeartbeatReply,
    Membership,
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
from masticdale_programs import (
    Caller,
    RequestKey,
    decode_operation,
    encode_outcome,
    encode_result,
)
from masticdaled.execution.tickets import TicketClient
from masticdaled.operators.programs import ProgramAdmin
from masticdaled.replicas.crash_suspects import DigestHome
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.shards.copies import CopyService
from masticdaled.shards.owners import OwnedShards


@dataclasses.dataclass(frozen=True, slots=True)
class PeerServices:
    """The services that handle peers' calls."""

    membership: Membership
    owned_shards: OwnedShards
    homes: ReplicaHomes
    ticket_client: TicketClient
    digest_home: DigestHome
    program_admin: ProgramAdmin
    copy_service: CopyService
    in_force: ActiveConfig


class DaemonPeerHandler:
    """The daemon's ``PeerHandler``; each method has the name of its RPC."""

    def __init__(self, services: Callable[[], PeerServices]) -> None:
        self._services = services

    async def heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """See ``PeerHandler.heartbeat``."""
        return self._services().membership.receive_heartbeat(beat)

    async def submit(self, submission: Submission) -> SubmitReply:
        """See ``PeerHandler.submit``."""
        operation = decode_operation(submission.operation)
        deadline = time.monotonic() + submission.deadline_ms / 1000
        caller = Caller(submission.workspace, deadline)
        outcome = await self._services().owned_shards.submit(operation, caller)
        if isinstance(outcome, Failed):
            return SubmitReply(failure=outcome.failure())
        return SubmitReply(encode_result(outcome.unwrap()))

    async def read(self, request: ReadRequest) -> ReadReply:
        """See ``PeerHandler.read``."""
        outcome = await self._services().owned_shards.read(
            RequestKey(request.program_id, request.request_id),
            request.workspace,
            request.attempt,
            request.offset,
            request.wait_ms / 1000,
        )
        if isinstance(outcome, Failed):
            return ReadReply(failure=outcome.failure(), refused=True)
        part = outcome.unwrap()
        reply = ReadReply(
            text=part.text, attempt=part.attempt, offset=part.offset
        )
        if part.outcome is None:
            return reply
        if isinstance(part.outcome, Failed):
            failure = part.outcome.failure()
            return dataclasses.replace(reply, done=True, failure=failure)
        result = encode_outcome(part.outcome.unwrap())
        return dataclasses.replace(reply, done=True, result=result)

    async def enqueue(self, request: TicketRequest) -> TicketReply:
        """See ``PeerHandler.enqueue``."""
        return self._services().homes.enqueue(request)

    async def release(self, release: TicketRelease) -> Empty:
        """See ``PeerHandler.release``."""
        await self._services().homes.release(release)
        return Empty()

    async def withdraw(self, release: TicketRelease) -> Empty:
        """See ``PeerHandler.withdraw``."""
        self._services().homes.withdraw(release)
        return Empty()

    async def grant(self, notice: GrantNotice) -> Empty:
        """See ``PeerHandler.grant``."""
        self._services().ticket_client.handle_grant(notice)
        return Empty()

    async def probe(self, request: ProbeRequest) -> ProbeReply:
        """See ``PeerHandler.probe``."""
        return self._services().homes.probe(request)

    async def revisions(self, request: RevisionsRequest) -> RevisionsReply:
        """See ``PeerHandler.revisions``."""
        export = await self._services().in_force.export_after_in_thread(
            request.after
        )
        return RevisionsReply(export.newest, export.revisions, export.snapshot)

    async def put_copy(self, request: CopyRequest) -> CopyReply:
        """See ``PeerHandler.put_copy``."""
        return self._services().copy_service.put(request)

    async def seal_copies(self, request: SealRequest) -> SealReply:
        """See ``PeerHandler.seal_copies``."""
        return self._services().copy_service.seal(request)

    async def suspect(self, request: SuspectRequest) -> SuspectReply:
        """See ``PeerHandler.suspect``."""
        return await self._services().digest_home.handle(request)

    async def states(self, request: StatesRequest) -> StatesReply:
        """See ``PeerHandler.states``."""
        gone = await self._services().owned_shards.gone_ids(request.program_ids)
        return StatesReply(gone)

    async def programs(self, request: ProgramsRequest) -> ProgramsReply:
        """See ``PeerHandler.programs``."""
        return await self._services().program_admin.handle(request)
