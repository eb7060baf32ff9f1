"""Handles operators' requests for the programs that this host owns."""

import time

import pydantic
from returns.result import Failure as Failed

from masticdale_config.messages import ProgramDetail, ProgramSummary
from masticdale_peers import ProgramsReply, ProgramsRequest
from masticdale_programs import EndReason
from masticdaled.shards.owners import OwnedProgram, OwnedShards

_DETAIL: pydantic.TypeAdapter[ProgramDetail] = pydantic.TypeAdapter(
    ProgramDetail
)
_RUNNING = "running"


class ProgramAdmin:
    """Lists, shows and ends the programs owned by this host."""

    def __init__(self, host: str, owned_shards: OwnedShards) -> None:
        self._host = host
        self._owned_shards = owned_shards

    async def handle(self, request: ProgramsRequest) -> ProgramsReply:
        """Handles a request; see ``ProgramsRequest``."""
        if request.program_id:
            return await self._handle_one(request)
        selected = [
            owned
            for owned in self._owned_shards.programs()
            if _is_selected(owned, request)
        ]
        selected.sort(key=lambda owned: owned.program.program_id)
        page = selected[: request.limit]
        return ProgramsReply(tuple(self._encode(owned) for owned in page))

    async def _handle_one(self, request: ProgramsRequest) -> ProgramsReply:
        found = await self._owned_shards.find_program(request.program_id)
        if isinstance(found, Failed):
            return ProgramsReply(failure=found.failure())
        owned = found.unwrap()
        if request.stop:
            ended = await owned.shard.end_program(
                owned.program, EndReason.STOPPED
            )
            if isinstance(ended, Failed):
                return ProgramsReply(failure=ended.failure())
        return ProgramsReply((self._encode(owned),))

    def _encode(self, owned: OwnedProgram) -> str:
        return encode_detail(_detail(owned, self._host))


def encode_detail(detail: ProgramDetail) -> str:
    """Encodes a program's details for transfer between hosts."""
    return _DETAIL.dump_json(detail).decode()


def decode_detail(text: str) -> ProgramDetail:
    """Decodes a program's details received from another host."""
    return _DETAIL.validate_json(text)


def _state(owned: OwnedProgram) -> str:
    reason = owned.program.end_reason
    return reason.value if reason is not None else _RUNNING


def _is_selected(owned: OwnedProgram, request: ProgramsRequest) -> bool:
    program = owned.program
    if request.workspace and program.workspace != request.workspace:
        return False
    if request.state and _state(owned) != request.state:
        return False
    return program.program_id > request.after


def _detail(owned: OwnedProgram, host: str) -> ProgramDetail:
    program = owned.program
    kind = owned.shard.kind_of(program)
    age_ms = time.time_ns() // 1_000_000 - program.created_ms
    summary = ProgramSummary(
        program_id=program.program_id,
        workspace=program.workspace,
        kind=kind.name,
        state=_state(owned),
        shard=owned.number,
        owner=host,
        age_s=age_ms / 1000,
        tokens_spent=program.spending.tokens,
        waiting_for=owned.shard.waiting_for(program),
    )
    return ProgramDetail(
        summary=summary,
        branches=tuple(program.branch_by_id),
        calls_spent=program.spending.calls,
        turns_spent=program.spending.turns,
        tokens_limit=kind.budget.tokens,
        calls_limit=kind.budget.calls,
        turns_limit=kind.budget.turns,
        priority=kind.priority,
    )
