"""Answers admission requests before the asking host's timeout.

A decision may wait for the store, the standby, a lost owner or reservations of
other turns, for longer than the asking host does. That host would take the
owner for dead and have its shards taken over, although the owner is alive.
"""

import asyncio

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.owner import ShardOwner

# A request that is undecided after this long is answered with
# LEDGER_UNAVAILABLE, in seconds. Must be shorter than the asking host's
# ``client.CALL_TIMEOUT_S``, which also covers the network; the difference
# is for the way and for a busy processor.
REPLY_TIMEOUT_S = 0.25


class Admissions:
    """Pending admission decisions; a repeated request joins its decision."""

    def __init__(self, owner: ShardOwner, failover: StandbyFailover) -> None:
        self._owner = owner
        self._failover = failover
        self._pending_by_request: dict[
            tuple[str, str], asyncio.Task[Result[None, Failure]]
        ] = {}

    async def admit(
        self, shard_number: int, claim: AdmissionClaim
    ) -> Result[None, Failure]:
        """Decides on a turn, or reports that the decision is pending.

        Failures: those of ``ShardOwner.admit``; LEDGER_UNAVAILABLE also while
        the decision is pending. A repeated request joins it.
        """
        key = (claim.program_id, claim.request_id)
        decision = self._pending_by_request.get(key)
        if decision is None:
            decision = asyncio.create_task(self._decide(shard_number, claim))
            self._pending_by_request[key] = decision
            decision.add_done_callback(
                lambda _: self._pending_by_request.pop(key, None)
            )
        await asyncio.wait((decision,), timeout=REPLY_TIMEOUT_S)
        if decision.done():
            return decision.result()
        detail = f"shard {shard_number}: the decision is pending"
        return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))

    async def _decide(
        self, shard_number: int, claim: AdmissionClaim
    ) -> Result[None, Failure]:
        outcome = await self._owner.admit(shard_number, claim)
        if not _is_not_owner(outcome):
            return outcome
        await self._failover.fail_over(shard_number)
        return await self._owner.admit(shard_number, claim)


def _is_not_owner(outcome: Result[None, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.NOT_OWNER
    )
