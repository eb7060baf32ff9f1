"""What a call needs of the ledger before it may be sent to a replica."""

from masticdale_gateway.calls import AdmissionClaim, Call
from masticdale_routing.assignments import TurnPrompt
from masticdale_workspaces import UsageClaim


def admission_claim(call: Call) -> AdmissionClaim | None:
    """Returns what a call needs of the ledger; None for nothing."""
    metadata = call.metadata
    is_turn = (
        call.is_stream
        and bool(metadata.program_id)
        and metadata.budget_tokens is not None
    )
    usage = _usage_claim(call)
    if not is_turn and usage is None:
        return None
    return AdmissionClaim(
        program_id=_account_name(call),
        request_id=metadata.request_id,
        budget_tokens=metadata.budget_tokens or 0,
        turn_tokens=metadata.turn_tokens,
        prompt=TurnPrompt(call.service.name, metadata.prefix_key),
        workspace=call.workspace_name,
        usage=usage,
        is_turn=is_turn,
    )


def _account_name(call: Call) -> str:
    """Returns the id under which the ledger counts a program.

    Callers of several workspaces may choose the same id. The separator can't
    occur in an id, since header values hold no line breaks.
    """
    program_id = call.metadata.program_id
    if not program_id or not call.workspace_name:
        return program_id
    return f"{call.workspace_name}\n{program_id}"


def _usage_claim(call: Call) -> UsageClaim | None:
    workspace = call.workspace
    if workspace is None or workspace.cap is None:
        return None
    return UsageClaim(workspace.name, workspace.cap, call.version)
