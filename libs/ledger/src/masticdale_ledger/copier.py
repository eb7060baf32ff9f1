"""Keeps the standby's copy of a shard up to date with its owner."""

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

# One copy, in seconds: a hundred round trips between failure domains.
_COPY_TIMEOUT_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class CopyHeader:
    """What a copy carries besides its accounts.

    Attributes:
        shard: The shard.
        epoch: The owner's epoch.
        incomplete_for_s: Programs of before may be missing for so long.
        owner_has_store: Whether the owner reaches the store.
    """

    shard: int
    epoch: int
    incomplete_for_s: float
    owner_has_store: bool


class Copier:
    """Sends changed accounts to one standby, those of one round together.

    Attributes:
        is_standby_stopping: Whether the standby has announced that it stops.
        standby_may_hold_copy: Whether a copy may have arrived; without one the
            standby can't take over.
        standby_may_admit_unknown: Whether the last copy that arrived may say
            that the owner has lost the store. The standby may then admit
            programs that the owner does not know.
    """

    def __init__(self, peer: RpcClient) -> None:
        self._peer = peer
        self.is_standby_stopping = False
        self.standby_may_hold_copy = False
        self.standby_may_admit_unknown = False
        self._is_complete = False
        self._lock = asyncio.Lock()
        self._changed: dict[str, None] = {}
        self._next_round: asyncio.Task[Result[None, Failure]] | None = None

    def mark_changed(self, program_id: str) -> None:
        """Has an account sent with the next copy."""
        self._changed[program_id] = None

    def has_pending(self, *, owner_has_store: bool) -> bool:
        """Returns whether the standby lacks something."""
        return (
            bool(self._changed)
            or self.standby_may_admit_unknown == owner_has_store
        )

    async def send(
        self, state: CopyHeader, accounts: "AccountSource"
    ) -> Result[None, Failure]:
        """Returns once the standby holds everything noted so far.

        All that ask while a copy is under way share the next one. One copy
        each would queue up behind a standby that is silent, a whole timeout
        for every turn, and delay its replacement by as much.

        Failures: CONFLICT where another host takes the shard over;
        PEER_UNAVAILABLE where the standby does not answer, or was started
        again.
        """
        if self._next_round is None:
            self._next_round = asyncio.create_task(self._send(state, accounts))
        return await asyncio.shield(self._next_round)

    async def _send(
        self, state: CopyHeader, accounts: "AccountSource"
    ) -> Result[None, Failure]:
        async with self._lock:
            self._next_round = None
            is_due = self.has_pending(owner_has_store=state.owner_has_store)
            if self._is_complete and not is_due:
                return Success(None)
            changed = list(self._changed)
            self._changed.clear()
            is_snapshot = not self._is_complete
            states = accounts.states(None if is_snapshot else changed)
            outcome = await self._copy(state, is_snapshot, states)
            if isinstance(outcome, Failed):
                self._is_complete = False
                return outcome
            return self._handle_reply(state, outcome.unwrap())

    def _handle_reply(
        self, state: CopyHeader, reply: CopyReply
    ) -> Result[None, Failure]:
        self._is_complete = reply.held
        self.is_standby_stopping = reply.stops
        if reply.held:
            return Success(None)
        logs.write_bounded(
            "copy_refused",
            shard=state.shard,
            epoch=state.epoch,
            sealed=reply.sealed,
        )
        if reply.sealed:
            return Failed(Failure(ErrorKind.CONFLICT, "the copy is sealed"))
        detail = "the standby was started again"
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, detail))

    async def _copy(
        self,
        state: CopyHeader,
        is_snapshot: bool,
        accounts: tuple[AccountState, ...],
    ) -> Result[CopyReply, Failure]:
        request = CopyRequest(
            shard=state.shard,
            epoch=state.epoch,
            is_snapshot=is_snapshot,
            accounts=accounts,
            incomplete_for_s=state.incomplete_for_s,
            owner_has_store=state.owner_has_store,
            renews=self.standby_may_hold_copy,
        )
        outcome = await self._peer.call(COPY, request, _COPY_TIMEOUT_S)
        is_failed = isinstance(outcome, Failed)
        if is_failed and not may_have_been_sent(outcome.failure()):
            return outcome
        self.standby_may_hold_copy = True
        if not state.owner_has_store:
            self.standby_may_admit_unknown = True
        elif not is_failed and outcome.unwrap().held:
            self.standby_may_admit_unknown = False
        return outcome


class AccountSource:
    """Where a copier reads accounts; see ``OwnedShard``."""

    def states(self, program_ids: list[str] | None) -> tuple[AccountState, ...]:
        """Returns the named accounts, or all for None."""
        raise NotImplementedError
