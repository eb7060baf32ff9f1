"""Requests and acknowledged answers, recorded for the checks after a run."""

import dataclasses

from masticdale_programs import MAIN_BRANCH
from masticdaled.callers.models import HistoryItemBody


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """An acknowledged turn as the caller saw it."""

    request_id: str
    sent: str
    answer: str


@dataclasses.dataclass(slots=True)
class ProgramLedger:
    """Requests of one program and the outcomes reported to its caller.

    Attributes:
        program_id: Id of the program.
        key: Caller key of the workspace.
        system_prompt: First part of every prompt.
        max_tokens: Maximum tokens of an answer.
        acknowledged_by_branch: Acknowledged turns in order, by branch.
        sent_ids: Ids of all sent requests.
        outcome_by_request_id: Last reported outcome of each unrepeatable call.
        ended: Whether the end was acknowledged.
    """

    program_id: str
    key: str
    system_prompt: str
    max_tokens: int
    acknowledged_by_branch: dict[str, list[Acknowledged]] = dataclasses.field(
        default_factory=lambda: {MAIN_BRANCH: []}
    )
    sent_ids: set[str] = dataclasses.field(default_factory=set)
    outcome_by_request_id: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BranchHistory:
    """The history of a branch as the system returns it."""

    program_id: str
    branch: str
    items: tuple[HistoryItemBody, ...]
