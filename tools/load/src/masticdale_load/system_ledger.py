"""What callers were told, to be compared with what the system kept."""

import dataclasses

from masticdale_programs import MAIN_BRANCH
from masticdaled.callers.models import HistoryItemBody


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """One finished call as its caller was told."""

    request_id: str
    sent: str
    answer: str


@dataclasses.dataclass(slots=True)
class ProgramLedger:
    """One program.

    Attributes:
        program_id: Its id.
        key: Caller key of its workspace.
        system_prompt: First part of every prompt.
        max_tokens: Most tokens of each answer.
        acknowledged_by_branch: Answered turns in their order.
        sent_ids: Every request id that was sent.
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
    """What the system says that a branch's history is."""

    program_id: str
    branch: str
    items: tuple[HistoryItemBody, ...]
