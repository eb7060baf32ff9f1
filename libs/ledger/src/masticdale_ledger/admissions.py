"""Answers hosts that ask for a turn in time, however long that takes.

A decision may have to wait for the store, for the standby, or for an owner
that is lost. A host that asks waits less than that. Without an answer it would
take the owner for dead, ask elsewhere and have its shards taken over, although
the owner lives and most of its programs need neither store nor standby.
"""

import asyncio

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.acting import ActingStandby
from masticdale_ledger.owner import ShardOwner

# A host that asks is told after this long that the turn is not decided yet,
# in seconds: 0.15 less than it waits, for the way and for a busy processor.
REPLY_TIMEOUT_S = 0.25


class Admissions:
    """Decisions under way; a host that asks again joins its own."""

    def __init__(self, owner: ShardOwner, acting: ActingStandby) -> None:
        self._owner = owner
        self._acting = acting
        self._pending_by_request: dict[
            tuple[str, str], asyncio.Task[Result[None, Failure]]
        ] = {}

    async def admit(
        self, shard: int, claim: TurnClaim
    ) -> Result[None, Failure]:
        """Decides on a turn, as far as that is possible in time.

        Failures: those of ``ShardOwner.admit``; LEDGER_UNAVAILABLE also while
        the decision goes on. To ask again then continues it.
        """
        key = (claim.program_id, claim.request_id)
        decision = self._pending_by_request.get(key)
        if decision is None:
            decision = asyncio.create_task(self._decide(shard, claim))
            self._pending_by_request[key] = decision
            decision.add_done_callback(
                lambda _: self._pending_by_request.pop(key, None)
            )
        await asyncio.wait((decision,), timeout=REPLY_TIMEOUT_S)
        if decision.done():
            return decision.result()
        detail = f"shard {shard} waits for the store or its standby"
        return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))

    async def _decide(
        self, shard: int, claim: TurnClaim
    ) -> Result[None, Failure]:
        outcome = await self._owner.admit(shard, claim)
        if not _is_not_owner(outcome):
            return outcome
        await self._acting.act(shard)
        return await self._owner.admit(shard, claim)


def _is_not_owner(outcome: Result[None, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.NOT_OWNER
    )
