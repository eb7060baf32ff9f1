"""Replicates the accounts of a shard from its owner to its standby."""

import asyncio
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.messages import (
    COPY,
    AccountState,
    CopyReply,
    CopyRequest,
)
from masticdale_rpc import RpcClient, may_have_been_sent
from masticdale_workspaces import UsageCopy

# Timeout of a copy, in seconds: about a hundred round trips between failure
# domains. Turns wait for it if the standby is lost.
_COPY_TIMEOUT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class CopyHeader:
    """The fields of a copy besides its accounts.

    Attributes:
        shard: The shard.
        epoch: Epoch of the shard's record. A standby rejects copies of an
            earlier epoch, which fences replaced owners.
        incomplete_for_s: For how many more seconds a program without an
            account may have had turns before.
        owner_has_store: Whether the owner reaches the store.
        usage_incomplete_for_s: For how many more seconds levels of usage caps
            may be missing.
    """

    shard: int
    epoch: int
    incomplete_for_s: float
    owner_has_store: bool
    usage_incomplete_for_s: float = 0.0


class Copier:
    """Sends changed accounts to one standby, in batches.

    Attributes:
        is_standby_stopping: Whether the standby has announced that it stops.
        standby_may_hold_copy: Whether a copy may have arrived; without one the
            standby can't take over.
        standby_may_admit_unknown: Whether the last copy that arrived may say
            that the owner can't reach the store. The standby may then admit
            programs that the owner does not know.
    """

    def __init__(self, peer: RpcClient) -> None:
        self._peer = peer
        self.is_standby_stopping = False
        self.standby_may_hold_copy = False
        self.standby_may_admit_unknown = False
        self._standby_has_snapshot = False
        self._lock = asyncio.Lock()
        self._changed_ids: dict[str, None] = {}
        self._changed_workspaces: dict[str, None] = {}
        self._next_copy: asyncio.Task[Result[None, Failure]] | None = None

    def mark_changed(self, program_id: str) -> None:
        """Includes an account in the next copy."""
        self._changed_ids[program_id] = None

    def mark_usage_changed(self, workspace: str) -> None:
        """Includes the level of a workspace in the next copy."""
        self._changed_workspaces[workspace] = None

    def has_pending(self, *, owner_has_store: bool) -> bool:
        """Returns whether the standby has not received all changes.

        Args:
            owner_has_store: Whether the owner reaches the store; a change of
                this is copied too.
        """
        return (
            not self._standby_has_snapshot
            or bool(self._changed_ids)
            or bool(self._changed_workspaces)
            or self.standby_may_admit_unknown == owner_has_store
        )

    async def send(
        self, header: CopyHeader, accounts: "AccountSource"
    ) -> Result[None, Failure]:
        """Returns once the standby holds every change marked so far.

        Callers that arrive while a copy is in progress share the next one.
        Otherwise concurrent turns would wait for one timeout after another of
        a standby that does not answer.

        Failures: CONFLICT if the epoch is sealed or superseded at the standby;
        PEER_UNAVAILABLE if the standby does not answer or holds no copy.
        """
        if self._next_copy is None:
            self._next_copy = asyncio.create_task(self._send(header, accounts))
        return await asyncio.shield(self._next_copy)

    async def _send(
        self, header: CopyHeader, accounts: "AccountSource"
    ) -> Result[None, Failure]:
        async with self._lock:
            self._next_copy = None
            has_pending = self.has_pending(
                owner_has_store=header.owner_has_store
            )
            if not has_pending:
                return Success(None)
            changed = list(self._changed_ids)
            workspaces = list(self._changed_workspaces)
            self._changed_ids.clear()
            self._changed_workspaces.clear()
            is_snapshot = not self._standby_has_snapshot
            states = accounts.states(None if is_snapshot else changed)
            usages = accounts.usage_copies(None if is_snapshot else workspaces)
            outcome = await self._copy(header, is_snapshot, states, usages)
            if isinstance(outcome, Failed):
                self._standby_has_snapshot = False
                return outcome
            if outcome.unwrap().held:
                for usage in usages:
                    usage.confirm()
            return self._handle_reply(header, outcome.unwrap())

    def _handle_reply(
        self, header: CopyHeader, reply: CopyReply
    ) -> Result[None, Failure]:
        self._standby_has_snapshot = reply.held
        self.is_standby_stopping = reply.stops
        if reply.held:
            return Success(None)
        logs.write_bounded(
            "copy_refused",
            shard=header.shard,
            epoch=header.epoch,
            sealed=reply.sealed,
        )
        if reply.sealed:
            return Failed(
                Failure(
                    ErrorKind.CONFLICT,
                    "the copy's epoch is sealed or superseded",
                )
            )
        detail = "the standby holds no copy of this epoch"
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, detail))

    async def _copy(
        self,
        header: CopyHeader,
        is_snapshot: bool,
        accounts: tuple[AccountState, ...],
        usages: tuple[UsageCopy, ...],
    ) -> Result[CopyReply, Failure]:
        request = CopyRequest(
            shard=header.shard,
            epoch=header.epoch,
            is_snapshot=is_snapshot,
            accounts=accounts,
            incomplete_for_s=header.incomplete_for_s,
            owner_has_store=header.owner_has_store,
            renews=self.standby_may_hold_copy,
            usages=tuple(usage.level for usage in usages),
            usage_incomplete_for_s=header.usage_incomplete_for_s,
        )
        outcome = await self._peer.call(COPY, request, _COPY_TIMEOUT_S)
        is_failed = isinstance(outcome, Failed)
        if is_failed and not may_have_been_sent(outcome.failure()):
            return outcome
        self.standby_may_hold_copy = True
        if not header.owner_has_store:
            self.standby_may_admit_unknown = True
        elif not is_failed and outcome.unwrap().held:
            self.standby_may_admit_unknown = False
        return outcome


class AccountSource:
    """Interface from which ``Copier`` reads a shard; see ``OwnedShard``."""

    def states(self, program_ids: list[str] | None) -> tuple[AccountState, ...]:
        """Returns the accounts of the given programs; for None, of all."""
        raise NotImplementedError

    def usage_copies(
        self, workspaces: list[str] | None
    ) -> tuple[UsageCopy, ...]:
        """Returns the levels of the given workspaces; for None, of all."""
        raise NotImplementedError
