"""One model call while it is tried, as the executor's parts share it."""

import dataclasses

from masticdale_peers import PrefixNote, ProbeReply
from masticdale_programs import ModelCall, count_tokens


@dataclasses.dataclass(slots=True)
class Run:
    """One model call while it is tried.

    Attributes:
        call: The call.
        run_id: Names the present try to the digest's home.
        prompt_tokens: Tokens of the prompt, estimated.
        failed_replicas: Where it failed; not tried again.
        attempts: Times it was sent.
        reply_by_replica: What the homes last told of the probed replicas.
        exclusive: Whether it must run with nothing else in flight.
        asked_hosts: Digest homes that this try asked for admission.
    """

    call: ModelCall
    run_id: str
    prompt_tokens: int
    failed_replicas: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    reply_by_replica: dict[str, ProbeReply] = dataclasses.field(
        default_factory=dict
    )
    exclusive: bool = False
    asked_hosts: set[str] = dataclasses.field(default_factory=set)


def prefix_note(call: ModelCall) -> PrefixNote:
    """Returns the names by which a home knows a call's prefix."""
    return PrefixNote(
        branch_id=call.branch_id,
        template_digest=call.template_digest,
        template_tokens=count_tokens(call.prompt[0]),
        parent_id=call.parent_id,
        parent_tokens=call.parent_tokens,
    )
