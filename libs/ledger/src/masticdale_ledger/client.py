"""Finds the owner of a program's shard and asks it."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, hashing, logs
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.messages import (
    ADMIT,
    SETTLE,
    AdmitReply,
    AdmitRequest,
    HostAddress,
    Settlement,
    SettleRequest,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.shards import ShardMap
from masticdale_rpc import RpcClient

# Shards of the ledger. Each takes one host's memory and no thread; four let
# the loss of one host touch a quarter of the programs.
SHARD_COUNT = 4
# One question to an owner, in seconds: some hundred times the round trip
# between failure domains; a host that is short of processor time answers in
# some tens of milliseconds.
CALL_TIMEOUT_S = 0.4
# All questions about one turn, in seconds: an owner that was lost is replaced
# within this time, and a caller that is refused comes back sooner.
_PATIENCE_S = 1.2
# An owner and its standby, asked one after the other, take no longer unless
# this host itself stood still meanwhile, in seconds.
_LONGEST_QUESTION_S = 2 * CALL_TIMEOUT_S + 0.2
# Between two questions while nobody owns the shard, in seconds.
_PAUSE_S = 0.08
# Settlements are collected for this long, in seconds. Until one arrives the
# turn counts at its most, which matters only near the end of a budget.
_SETTLE_EVERY_S = 0.15
# Settlements kept for an owner that can't be reached; the oldest are dropped,
# and their turns count at their most for good.
_MAX_SETTLEMENTS = 5_000

Peers = Callable[[str, int], RpcClient]
Admit = Callable[[AdmitRequest], Awaitable[AdmitReply]]
# After an owner has not answered, its standby is asked first for this long,
# in seconds: each question to a dead host costs a whole timeout.
_STANDBY_FIRST_S = 1.0


@dataclasses.dataclass(slots=True)
class UnreachableOwner:
    """An owner that does not answer.

    Attributes:
        version: Version of the shard's record then.
        first_failed_at: Loop seconds of the first failed question.
        last_failed_at: Loop seconds of the last failed question.
    """

    version: int
    first_failed_at: float
    last_failed_at: float


class LedgerClient:
    """A ``BudgetLedger`` over the owners of all shards.

    Attributes:
        unreachable_by_shard: Owners that did not answer lately.
        is_stopping: Whether this host is about to end; owners are told.
    """

    def __init__(
        self,
        shard_map: ShardMap,
        owner: ShardOwner,
        own: HostAddress,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        """Prepares to ask.

        Args:
            shard_map: Who owns the shards.
            owner: The shards of this host.
            own: This host.
            peers: Returns the client of an address.
            metrics: Counts.
        """
        self.admit_locally: Admit | None = None
        self.is_stopping = False
        self.unreachable_by_shard: dict[int, UnreachableOwner] = {}
        self._map = shard_map
        self._owner = owner
        self._own = own
        self._address = (own.address, own.port)
        self._peers = peers
        self._metrics = metrics
        self._settlements: collections.deque[Settlement] = collections.deque(
            maxlen=_MAX_SETTLEMENTS
        )
        self._pending = asyncio.Event()

    async def admit(
        self, claim: TurnClaim, deadline_at: float
    ) -> Result[None, Failure]:
        """See ``BudgetLedger.admit``."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        give_up_at = min(deadline_at, began + _PATIENCE_S)
        shard = hashing.shard_of(claim.program_id, SHARD_COUNT)
        failure = Failure(ErrorKind.LEDGER_UNAVAILABLE, "no owner")
        while loop.time() < give_up_at:
            asked_at = loop.time()
            outcome = await self._ask(shard, claim)
            if not isinstance(outcome, Failed):
                self._metrics.observe("ledger_seconds", loop.time() - began)
                return outcome
            failure = outcome.failure()
            if failure.kind is ErrorKind.BUDGET_EXCEEDED:
                return outcome
            if loop.time() - asked_at > _LONGEST_QUESTION_S:
                # This host was paused: its question timed out, and the owner
                # may long have answered. Its caller would be refused although
                # it has time left.
                give_up_at = min(deadline_at, loop.time() + CALL_TIMEOUT_S)
            await self._map.wait_for_change(_PAUSE_S)
        logs.write_bounded(
            "ledger_unavailable",
            request_id=claim.request_id,
            program_id=claim.program_id,
            shard=shard,
            reason=str(failure),
            waited_ms=round(1000 * (loop.time() - began)),
        )
        return Failed(
            Failure(ErrorKind.LEDGER_UNAVAILABLE, f"shard {shard}: {failure}")
        )

    def settle(self, claim: TurnClaim, used_tokens: int) -> None:
        """See ``BudgetLedger.settle``."""
        shard = hashing.shard_of(claim.program_id, SHARD_COUNT)
        settlement = Settlement(
            shard, claim.program_id, claim.request_id, used_tokens
        )
        if not self._owner.settle(settlement):
            self._settlements.append(settlement)
            self._pending.set()

    async def run(self) -> None:
        """Sends settlements to their owners, again and again."""
        while True:
            await self._pending.wait()
            await asyncio.sleep(_SETTLE_EVERY_S)
            await self.flush()

    async def flush(self) -> None:
        """Sends the settlements that wait now."""
        self._pending.clear()
        waiting = list(self._settlements)
        self._settlements.clear()
        by_shard: dict[int, list[Settlement]] = collections.defaultdict(list)
        for settlement in waiting:
            if not self._owner.settle(settlement):
                by_shard[settlement.shard].append(settlement)
        for shard, settlements in by_shard.items():
            if not await self._send(shard, tuple(settlements)):
                self._settlements.extend(settlements)
                self._pending.set()

    async def _ask(self, shard: int, claim: TurnClaim) -> Result[None, Failure]:
        view = self._map.get(shard)
        if view is None:
            return Failed(Failure(ErrorKind.NOT_OWNER, "nobody owns it yet"))
        request = AdmitRequest(
            shard=shard,
            program_id=claim.program_id,
            request_id=claim.request_id,
            budget_tokens=claim.budget_tokens,
            turn_tokens=claim.turn_tokens,
            asker=self._own,
            asker_stops=self.is_stopping,
        )
        record = view.record
        addresses = [(record.address, record.port)]
        if record.standby_address:
            addresses.append((record.standby_address, record.standby_port))
        if self._is_unreachable(shard, view.version):
            addresses.reverse()
        outcome: Result[None, Failure] = Failed(Failure(ErrorKind.NOT_OWNER))
        for address in addresses:
            is_owner = address == (record.address, record.port)
            outcome = await self._ask_host(address, request)
            if is_owner:
                self._note(shard, view.version, outcome)
            if not _is_no_answer(outcome):
                return outcome
        return outcome

    async def _ask_host(
        self, address: tuple[str, int], request: AdmitRequest
    ) -> Result[None, Failure]:
        if address == self._address and self.admit_locally is not None:
            reply = await self.admit_locally(request)
        else:
            peer = self._peers(*address)
            outcome = await peer.call(ADMIT, request, CALL_TIMEOUT_S)
            if isinstance(outcome, Failed):
                return outcome
            reply = outcome.unwrap()
        return Success(None) if reply.failure is None else Failed(reply.failure)

    async def _send(
        self, shard: int, settlements: tuple[Settlement, ...]
    ) -> bool:
        view = self._map.get(shard)
        if view is None:
            return False
        record = view.record
        for address in (
            (record.address, record.port),
            (record.standby_address, record.standby_port),
        ):
            if not address[0] or address == self._address:
                continue
            outcome = await self._peers(*address).call(
                SETTLE, SettleRequest(settlements), CALL_TIMEOUT_S
            )
            if not isinstance(outcome, Failed) and (
                shard not in outcome.unwrap().other_shards
            ):
                return True
        return False

    def _is_unreachable(self, shard: int, version: int) -> bool:
        known = self.unreachable_by_shard.get(shard)
        now = asyncio.get_running_loop().time()
        return (
            known is not None
            and known.version == version
            and now - known.last_failed_at < _STANDBY_FIRST_S
        )

    def _note(
        self, shard: int, version: int, outcome: Result[None, Failure]
    ) -> None:
        is_unreachable = isinstance(outcome, Failed) and (
            outcome.failure().kind is ErrorKind.PEER_UNAVAILABLE
        )
        if is_unreachable:
            self._note_unreachable(shard, version)
        else:
            self.unreachable_by_shard.pop(shard, None)

    def _note_unreachable(self, shard: int, version: int) -> None:
        now = asyncio.get_running_loop().time()
        known = self.unreachable_by_shard.get(shard)
        if known is None or known.version != version:
            known = UnreachableOwner(version, now, now)
            self.unreachable_by_shard[shard] = known
        known.last_failed_at = now


def _is_no_answer(outcome: Result[None, Failure]) -> bool:
    """Returns whether another host may know better."""
    return isinstance(outcome, Failed) and outcome.failure().kind in (
        ErrorKind.NOT_OWNER,
        ErrorKind.PEER_UNAVAILABLE,
    )
