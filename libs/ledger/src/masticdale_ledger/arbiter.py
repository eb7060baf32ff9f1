"""Arbitration between a shard's owner and its standby by a third host.

During a store outage, a standby can't tell a lost owner from a partitioned one.
Only one of the two may admit programs that the other does not know; otherwise
each would count only its own turns of such a program. The shard's record in the
store names an arbiter for its epoch. The arbiter decides for the side that asks
first. There is no vote, and a lost arbiter is not replaced within the epoch.
"""

import asyncio
import dataclasses
import enum

from returns.result import Failure as Failed

from masticdale_common import logs
from masticdale_ledger.hosts import Hosts
from masticdale_ledger.messages import (
    APPOINT,
    DECIDE,
    AppointReply,
    AppointRequest,
    DecideReply,
    DecideRequest,
)
from masticdale_ledger.shards import ShardRecord

# Timeout of a call, in seconds: about a hundred round trips between failure
# domains. A failover waits for it if the arbiter is lost.
_CALL_TIMEOUT_S = 0.25


class Side(enum.StrEnum):
    """A host that may ask the arbiter of an epoch; values are sent in messages.

    The successor is a host that takes the shard over. It asks too, so that
    afterwards the arbiter decides for neither owner nor standby. The wire
    format names it "taker".
    """

    OWNER = "owner"
    STANDBY = "standby"
    SUCCESSOR = "taker"


_SIDE_BY_VALUE = {side.value: side for side in Side}


@dataclasses.dataclass(slots=True)
class _Appointment:
    """A shard whose arbiter this host is.

    Attributes:
        epoch: Epoch of the shard's record that names this host.
        side: The side that asked first; empty until then.
    """

    epoch: int
    side: str = ""


class Arbiter:
    """Decides on shards whose arbiter this host is; keeps state in memory.

    After a restart it has no appointments and leaves requests undecided, since
    owners appoint their arbiter only once per epoch.
    """

    def __init__(self) -> None:
        self._appointment_by_shard: dict[int, _Appointment] = {}

    def appoint(self, request: AppointRequest) -> AppointReply:
        """Makes this host the arbiter of an epoch of a shard."""
        known = self._appointment_by_shard.get(request.shard)
        if known is not None and known.epoch >= request.epoch:
            return AppointReply(accepted=False)
        self._appointment_by_shard[request.shard] = _Appointment(request.epoch)
        return AppointReply(accepted=True)

    def decide(self, request: DecideRequest) -> DecideReply:
        """Decides for the first side that asks."""
        known = self._appointment_by_shard.get(request.shard)
        if known is None or known.epoch != request.epoch:
            return DecideReply()
        known.side = known.side or request.side
        logs.write(
            "shard_decided",
            shard=request.shard,
            epoch=request.epoch,
            asked_by=request.side,
            side=known.side,
        )
        return DecideReply(known.side)


class ArbiterClient:
    """Calls the arbiters of shards for their owner, standby or successor."""

    def __init__(self, hosts: Hosts) -> None:
        self._hosts = hosts
        self._appointment_tasks: set[asyncio.Task[None]] = set()

    def appoint(self, shard_number: int, record: ShardRecord) -> None:
        """Appoints the arbiter of an epoch, in the background.

        Must be called only once per epoch. A second call could reach an arbiter
        that has restarted and lost its decision; it would then decide again.
        """
        if not record.arbiter_address:
            return
        task = asyncio.create_task(self._send_appointment(shard_number, record))
        self._appointment_tasks.add(task)
        task.add_done_callback(self._appointment_tasks.discard)

    async def decide(
        self, side: Side, shard_number: int, record: ShardRecord
    ) -> Side | None:
        """Asks the arbiter of an epoch to decide for a side.

        Returns:
            The side that it has decided for; None if there is no arbiter, it
            does not answer or does not know the epoch.
        """
        if not record.arbiter_address:
            return None
        peer = self._hosts.client(record.arbiter_address, record.arbiter_port)
        request = DecideRequest(shard_number, record.epoch, side)
        outcome = await peer.call(DECIDE, request, _CALL_TIMEOUT_S)
        is_failed = isinstance(outcome, Failed)
        logs.write_bounded(
            "arbiter_asked",
            shard=shard_number,
            epoch=record.epoch,
            arbiter=record.arbiter_address,
            asked_by=side,
            side="" if is_failed else outcome.unwrap().side,
            failure=str(outcome.failure()) if is_failed else "",
        )
        return None if is_failed else _SIDE_BY_VALUE.get(outcome.unwrap().side)

    async def _send_appointment(
        self, shard_number: int, record: ShardRecord
    ) -> None:
        peer = self._hosts.client(record.arbiter_address, record.arbiter_port)
        request = AppointRequest(shard_number, record.epoch)
        outcome = await peer.call(APPOINT, request, _CALL_TIMEOUT_S)
        if isinstance(outcome, Failed) or not outcome.unwrap().accepted:
            logs.write_bounded(
                "arbiter_not_appointed",
                shard=shard_number,
                epoch=record.epoch,
                arbiter=record.arbiter_address,
                reason=str(outcome.failure())
                if isinstance(outcome, Failed)
                else "the host is the arbiter of this or a later epoch",
            )
