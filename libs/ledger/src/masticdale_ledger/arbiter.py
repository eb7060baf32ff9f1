"""A third host that lets one of an owner and its standby go on, not both.

While the store is away nobody can tell a standby whose owner is lost from one
that is cut off alone. Some things only one of the two may do: what both did
would be counted by neither. The shard's object names a third host beforehand,
so that the store has settled who decides. The two ask it, and the first one has
it for that epoch. There is no vote, and nobody takes the third host's place.
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

# One question, in seconds: a hundred round trips between failure domains.
_CALL_TIMEOUT_S = 0.25


class Side(enum.StrEnum):
    """Who may go on in an epoch; as text in messages.

    A host that takes the shard over asks too, so that from then on neither of
    the others may.
    """

    OWNER = "owner"
    STANDBY = "standby"
    SUCCESSOR = "taker"


_SIDE_BY_TEXT = {side.value: side for side in Side}


@dataclasses.dataclass(slots=True)
class _Appointment:
    """One shard that this host decides on.

    Attributes:
        epoch: The owner's epoch.
        side: Who asked first; empty until then.
    """

    epoch: int
    side: str = ""


class Arbiter:
    """The decisions of this host, in memory.

    A host that is started again has none: it was appointed by a call that its
    owner makes once an epoch, and answers that it does not know.
    """

    def __init__(self) -> None:
        self._appointment_by_shard: dict[int, _Appointment] = {}

    def appoint(self, request: AppointRequest) -> AppointReply:
        """Begins to decide on an epoch of a shard."""
        known = self._appointment_by_shard.get(request.shard)
        if known is not None and known.epoch >= request.epoch:
            return AppointReply(accepted=False)
        self._appointment_by_shard[request.shard] = _Appointment(request.epoch)
        return AppointReply(accepted=True)

    def decide(self, request: DecideRequest) -> DecideReply:
        """Returns who may go on: the first side that has asked."""
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
    """The way from an owner or a standby to the arbiter of its shard."""

    def __init__(self, hosts: Hosts) -> None:
        self._hosts = hosts
        self._appointing: set[asyncio.Task[None]] = set()

    def appoint(self, number: int, record: ShardRecord) -> None:
        """Appoints the arbiter of an epoch, in the background.

        Called once an epoch. A second call might reach an arbiter that was
        started again since, and has forgotten whom it let go on.
        """
        if not record.arbiter_address:
            return
        task = asyncio.create_task(self._send_appointment(number, record))
        self._appointing.add(task)
        task.add_done_callback(self._appointing.discard)

    async def decide(
        self, side: Side, number: int, record: ShardRecord
    ) -> Side | None:
        """Asks for an epoch; returns who may go on, None if nobody can tell."""
        if not record.arbiter_address:
            return None
        peer = self._hosts.client(record.arbiter_address, record.arbiter_port)
        request = DecideRequest(number, record.epoch, side)
        outcome = await peer.call(DECIDE, request, _CALL_TIMEOUT_S)
        is_failed = isinstance(outcome, Failed)
        logs.write_bounded(
            "arbiter_asked",
            shard=number,
            epoch=record.epoch,
            arbiter=record.arbiter_address,
            asked_by=side,
            side="" if is_failed else outcome.unwrap().side,
            failure=str(outcome.failure()) if is_failed else "",
        )
        return None if is_failed else _SIDE_BY_TEXT.get(outcome.unwrap().side)

    async def _send_appointment(self, number: int, record: ShardRecord) -> None:
        peer = self._hosts.client(record.arbiter_address, record.arbiter_port)
        request = AppointRequest(number, record.epoch)
        outcome = await peer.call(APPOINT, request, _CALL_TIMEOUT_S)
        if isinstance(outcome, Failed) or not outcome.unwrap().accepted:
            logs.write_bounded(
                "arbiter_not_appointed",
                shard=number,
                epoch=record.epoch,
                arbiter=record.arbiter_address,
                reason=str(outcome.failure())
                if isinstance(outcome, Failed)
                else "a later epoch",
            )
