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
# A host that has failed or refused records, or has not answered since it was
# listed, is checked until it takes records, with this pause and timeout in
# seconds. Together they are shorter than the period for which it counts as
# suspect; otherwise ``check_room`` would count a silent host as reachable
# between two checks.
PROBE_INTERVAL_S = 0.4
PROBE_TIMEOUT_S = 0.5
# Time from a save at a host to a check of its room, in seconds; other saves in
# this time cause no other check. A disk fills within minutes, and a check for
# each save would double the calls.
ROOM_CHECK_DELAY_S = 2.0

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
        self._endpoints_to_check: set[Endpoint] = set()
        directory.on_change.append(self._follow_members)
        self._follow_members()

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
            self._check_room_later(member)
            return Success(None)
        if failure.kind in _REFUSALS:
            self.states.record_refusal(member, _now())
            self._probe_until_recovered(member)
        return Failed(failure)

    @property
    def is_cut_off(self) -> bool:
        """Whether hosts are listed and the last call to each has failed."""
        members = self._directory.members()
        return bool(members) and not any(map(self.states.has_answered, members))

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
        self._start_probe(member, PROBE_INTERVAL_S)

    def _start_probe(self, member: Member, delay_s: float) -> None:
        endpoint = endpoint_of(member)
        if endpoint in self._probed_endpoints:
            return
        self._probed_endpoints.add(endpoint)
        self.start(self._probe(endpoint, delay_s))

    async def _probe(self, endpoint: Endpoint, delay_s: float) -> None:
        """Checks a host that gets no other calls until it takes records.

        Otherwise new turns would run while too few hosts can save them: a host
        is called at the end of a turn, which is seconds after its room was
        checked.
        """
        try:
            while self._find_suspect(endpoint) is not None:
                await asyncio.sleep(delay_s)
                delay_s = PROBE_INTERVAL_S
                # It may have been listed with another disk meanwhile.
                member = self._find_suspect(endpoint)
                if member is not None:
                    await self._check(member)
        finally:
            self._probed_endpoints.discard(endpoint)

    def _check_room_later(self, member: Member) -> None:
        """Checks the room of a host that is used for saves.

        A full disk would otherwise be found out by the turns that it refuses.
        Hosts that get no saves cause no checks.
        """
        endpoint = endpoint_of(member)
        if endpoint in self._endpoints_to_check:
            return
        self._endpoints_to_check.add(endpoint)
        self.start(self._check_room(endpoint))

    async def _check_room(self, endpoint: Endpoint) -> None:
        try:
            await asyncio.sleep(ROOM_CHECK_DELAY_S)
        finally:
            self._endpoints_to_check.discard(endpoint)
        member = self._listed_at(endpoint)
        # A suspect host is checked by its probe.
        if member is not None and not self.states.is_suspect(member):
            await self._check(member)

    async def _check(self, member: Member) -> None:
        outcome = await self._call(
            member, CHECK, CheckRequest(), PROBE_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return
        reply = outcome.unwrap()
        if not reply.is_full and not reply.is_emptying:
            self.states.record_room(member)
            return
        self.states.record_refusal(member, _now())
        self._probe_until_recovered(member)

    def _find_suspect(self, endpoint: Endpoint) -> Member | None:
        member = self._listed_at(endpoint)
        is_suspect = member is not None and self.states.is_suspect(member)
        return member if is_suspect else None

    def _listed_at(self, endpoint: Endpoint) -> Member | None:
        members = self._directory.members()
        return next((m for m in members if endpoint_of(m) == endpoint), None)

    def _follow_members(self) -> None:
        members = self._directory.members()
        self.states.retain(members)
        self._clients.retain(members)
        for member in members:
            if self.states.is_suspect(member):
                self._start_probe(member, 0.0)


def _now() -> float:
    return asyncio.get_running_loop().time()
