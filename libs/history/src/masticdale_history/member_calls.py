"""Calls to the storage hosts, and what they show of the hosts' state."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_history.decisions import Endpoint, HostStates, endpoint_of
from masticdale_history.member_clients import ClientFactory, MemberClients
from masticdale_history.members import MemberDirectory
from masticdale_history.messages import (
    APPEND_TURNS,
    CHECK,
    READ_CHAIN,
    AppendTurnsRequest,
    CheckRequest,
    ReadChainReply,
    ReadChainRequest,
)
from masticdale_history.placement import Member
from masticdale_history.records import TurnKey, TurnRecord
from masticdale_rpc import Rpc
from masticdale_rpc.contracts import ReplyT, RequestT

# Timeout of a read or an append, in seconds.
CALL_TIMEOUT_S = 1.0
# A host that has failed or refused records is checked until it recovers, with
# this pause and timeout in seconds. Together they are shorter than the period
# for which it counts as suspect; otherwise ``check_room`` would count a silent
# host as reachable between two checks.
PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 0.5

# Failures of an append after which a host takes no other records either.
_REFUSALS = (
    ErrorKind.STORE_FULL,
    ErrorKind.HISTORY_UNAVAILABLE,
    ErrorKind.INTERNAL,
)


class MemberCalls:
    """Calls the storage hosts and keeps their states.

    Attributes:
        states: States of the hosts, learned from the calls.
    """

    def __init__(
        self, directory: MemberDirectory, create_client: ClientFactory
    ) -> None:
        """Initializes the calls.

        Args:
            directory: The storage hosts.
            create_client: Returns a new RPC client of a storage host.
        """
        self.states = HostStates()
        self._directory = directory
        self._clients = MemberClients(create_client)
        self._tasks: set[asyncio.Task[None]] = set()
        self._probed_endpoints: set[Endpoint] = set()
        directory.on_change.append(self._forget_gone_members)

    async def read_chain(
        self, member: Member, key: TurnKey
    ) -> Result[ReadChainReply, Failure]:
        """Reads a chain at a storage host.

        Returns:
            The reply, or PEER_UNAVAILABLE if it did not arrive, or the failure
            that the host answered.
        """
        request = ReadChainRequest(key.workspace, key.turn_id)
        outcome = await self._call(member, READ_CHAIN, request, CALL_TIMEOUT_S)
        if isinstance(outcome, Failed):
            return outcome
        reply = outcome.unwrap()
        return Failed(reply.failure) if reply.failure else Success(reply)

    async def append_turns(
        self, member: Member, records: tuple[TurnRecord, ...]
    ) -> Result[None, Failure]:
        """Saves turns at a storage host.

        Args:
            member: The storage host.
            records: Turns of one chain, oldest first.

        Returns:
            None once they are synced, or PEER_UNAVAILABLE if no reply arrived,
            or the failure that the host answered.
        """
        request = AppendTurnsRequest(records)
        outcome = await self._call(
            member, APPEND_TURNS, request, CALL_TIMEOUT_S
        )
        failure = (
            outcome.failure()
            if isinstance(outcome, Failed)
            else outcome.unwrap().failure
        )
        if failure is None:
            self.states.record_room(member)
            return Success(None)
        if failure.kind in _REFUSALS:
            self.states.record_refusal(member, _now())
            self._probe_until_recovered(member)
        return Failed(failure)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that ``close`` ends if it is still running."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        self._clients.close_idle()

    async def close(self) -> None:
        """Ends all tasks and closes all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._clients.close()

    async def _call(
        self,
        member: Member,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
    ) -> Result[ReplyT, Failure]:
        outcome = await self._clients.call(member, rpc, request, timeout_s)
        is_unanswered = isinstance(outcome, Failed) and (
            outcome.failure().kind is ErrorKind.PEER_UNAVAILABLE
        )
        if is_unanswered:
            self.states.record_failure(member, _now())
            self._probe_until_recovered(member)
        else:
            self.states.record_answer(member)
        return outcome

    def _probe_until_recovered(self, member: Member) -> None:
        endpoint = endpoint_of(member)
        if endpoint in self._probed_endpoints:
            return
        self._probed_endpoints.add(endpoint)
        self.start(self._probe(member))

    async def _probe(self, member: Member) -> None:
        """Checks a host that gets no other calls until it takes records.

        Otherwise new turns would run while too few hosts can save them: a host
        is called at the end of a turn, which is seconds after its room was
        checked.
        """
        endpoint = endpoint_of(member)
        try:
            while self.states.is_suspect(member) and self._is_listed(endpoint):
                await asyncio.sleep(PROBE_INTERVAL_S)
                await self._check(member)
        finally:
            self._probed_endpoints.discard(endpoint)

    async def _check(self, member: Member) -> None:
        outcome = await self._call(
            member, CHECK, CheckRequest(), PROBE_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return
        reply = outcome.unwrap()
        if reply.is_full or reply.is_emptying:
            self.states.record_refusal(member, _now())
        else:
            self.states.record_room(member)

    def _is_listed(self, endpoint: Endpoint) -> bool:
        members = self._directory.members()
        return any(endpoint_of(member) == endpoint for member in members)

    def _forget_gone_members(self) -> None:
        members = self._directory.members()
        self.states.retain(members)
        self._clients.retain(members)


def _now() -> float:
    return asyncio.get_running_loop().time()
