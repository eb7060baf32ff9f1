"""The state of a model call that the parts of the executor share."""

import dataclasses

from masticdale_peers import PrefixNote, ProbeReply
from masticdale_programs import ModelCall, count_tokens


@dataclasses.dataclass(slots=True)
class Run:
    """A model call in execution, over all of its attempts.

    Attributes:
        call: The call.
        run_id: Id of the current attempt; renewed for each attempt.
        prompt_tokens: Estimated tokens of the prompt.
        failed_replicas: Replicas to avoid: an attempt failed there, or
            placement found them unusable.
        attempts: Number of attempts sent, without those that reached no
            upstream.
        reply_by_replica: The last probe reply for each probed replica.
        exclusive: Whether nothing else may be in flight at its replica.
        asked_hosts: Digest homes asked for admission in this attempt.
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
    """Returns the ids and sizes by which a home looks up cached prefixes."""
    return PrefixNote(
        branch_id=call.branch_id,
        template_digest=call.template_digest,
        template_tokens=count_tokens(call.prompt[0]),
        parent_id=call.parent_id,
        parent_tokens=call.parent_tokens,
    )
