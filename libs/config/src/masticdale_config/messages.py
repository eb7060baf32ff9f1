"""What operators and the daemon say to each other, coded as JSON.

The daemon and the command-line tool share these, so that neither can drift.
"""

import dataclasses
from typing import Annotated, Self

import pydantic
from pydantic import Field

from masticdale_common import StrictModel
from masticdale_config.kinds import AnyDeclaration, DeclarationKey, Kind
from masticdale_config.revisions import Change, Edit

MAX_CHANGE_EDITS = 10_000

_ChangeId = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[A-Za-z0-9_.-]{1,128}$")
]
_Reason = Annotated[str, pydantic.StringConstraints(max_length=500)]
_Seen = Annotated[str, pydantic.StringConstraints(max_length=64)]


class _RequestModel(StrictModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class EditRequest(_RequestModel):
    """One declaration to put or delete; see ``revisions.Edit``."""

    kind: Kind
    name: str
    seen: _Seen
    after: AnyDeclaration | None = None

    @classmethod
    def from_edit(cls, edit: Edit) -> Self:
        """Returns an edit as it is sent."""
        return cls(
            kind=edit.key.kind,
            name=edit.key.name,
            seen=edit.seen,
            after=edit.after,
        )


class ChangeRequest(_RequestModel):
    """A change to plan or apply.

    Attributes:
        change_id: Chosen by the operator; sent again, it is recognised.
        reason: Why, for the audit log.
        edits: The declarations it touches, each once.
    """

    change_id: _ChangeId
    reason: _Reason = ""
    edits: tuple[EditRequest, ...] = Field(max_length=MAX_CHANGE_EDITS)

    def to_change(self, author: str) -> Change:
        """Returns the change on behalf of an operator."""
        edits = tuple(
            Edit(DeclarationKey(e.kind, e.name), e.seen, e.after)
            for e in self.edits
        )
        return Change(self.change_id, author, self.reason, edits)


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """One entry host as the answering host knows it.

    Attributes:
        name: Its name.
        failure_domain: Where it stands.
        leaving: True once it hands its work over.
        revision: Revision in force there when it was last heard.
        age_s: Seconds since it was last heard; 0 for the answering host.
    """

    name: str
    failure_domain: str
    leaving: bool
    revision: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the balancer may send callers to a host.

    Attributes:
        ready: True where it may.
        reason: Why not; empty where it may.
    """

    ready: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """What the answering host knows of the whole.

    Attributes:
        host: The answering host.
        readiness: Its readiness.
        revision: Revision in force there.
        digest: Digest of that configuration.
        hosts: All hosts it knows, itself among them.
        is_newest: Whether the platform was asked and said that no later
            revision is accepted.
    """

    host: str
    readiness: Readiness
    revision: int
    digest: str
    hosts: tuple[HostStatus, ...]
    is_newest: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDeclaration:
    """One declaration in force.

    Attributes:
        digest: Names this state of it in an edit's ``seen``.
        declaration: The declaration.
    """

    digest: str
    declaration: AnyDeclaration


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationPage:
    """Declarations in force, sorted by kind and name.

    Attributes:
        revision: Revision they belong to.
        items: The declarations of this page.
        next_after: Where the next page begins; empty on the last.
    """

    revision: int
    items: tuple[StoredDeclaration, ...]
    next_after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One field a change sets.

    Attributes:
        path: Path within the declaration.
        before: JSON text, shortened; empty where there was nothing.
        after: JSON text, shortened; empty where nothing is left.
    """

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEdit:
    """What a change does to one declaration.

    Attributes:
        kind: Its kind.
        name: Its name.
        action: ``create``, ``update`` or ``delete``.
        fields: What differs, the first fields of an update.
    """

    kind: Kind
    name: str
    action: str
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceEffect:
    """What a change means for one workspace.

    Attributes:
        name: The workspace.
        effect: ``created``, ``deleted``, ``changed`` or ``upstream changed``.
    """

    name: str
    effect: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReport:
    """What a change would do if it were applied now.

    Attributes:
        base: Revision it was computed against.
        edits: Declarations that would differ.
        workspace_count: Number of workspaces it has an effect on.
        workspaces: Those workspaces, the first by name.
    """

    base: int
    edits: tuple[PlannedEdit, ...]
    workspace_count: int
    workspaces: tuple[WorkspaceEffect, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyReport:
    """An accepted change; see ``revisions.AcceptedChange``."""

    revision: int
    digest: str
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TouchedReport:
    """What a revision did to one declaration."""

    kind: Kind
    name: str
    fields: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionSummary:
    """One accepted revision in a list."""

    revision: int
    change_id: str
    author: str
    touched: tuple[TouchedReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionReport:
    """One accepted revision with what it changed."""

    revision: int
    change_id: str
    author: str
    reason: str
    accepted_at_ms: int
    digest: str
    edits: tuple[PlannedEdit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackEdits:
    """The edits that restore the declarations of an earlier revision.

    They are planned and applied like any other change, as a new revision.
    """

    to_revision: int
    edits: tuple[EditRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramFilter:
    """Which programs to list.

    Attributes:
        workspace: Only this workspace's; empty for all.
        state: Only those in this state; empty for all.
        after: Only ids that sort after this one.
        limit: Most programs returned.
    """

    workspace: str = ""
    state: str = ""
    after: str = ""
    limit: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramSummary:
    """One program in a list.

    Attributes:
        program_id: Its id.
        workspace: Whose it is.
        kind: Name of its program kind.
        state: ``running`` or the reason of its end.
        shard: The shard that holds it.
        owner: The host that owns the shard.
        age_s: Seconds since it began.
        tokens_spent: Tokens charged.
        waiting_for: What its calls in flight wait for.
    """

    program_id: str
    workspace: str
    kind: str
    state: str
    shard: int
    owner: str
    age_s: float
    tokens_spent: int
    waiting_for: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPage:
    """Programs sorted by id.

    Attributes:
        programs: The programs of this page.
        next_after: Where the next page begins; empty on the last.
        unanswered_hosts: Owners that did not answer, whose programs miss.
    """

    programs: tuple[ProgramSummary, ...]
    next_after: str = ""
    unanswered_hosts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramDetail:
    """One program with its spending and what each call waits for."""

    summary: ProgramSummary
    branches: tuple[str, ...]
    calls_spent: int
    turns_spent: int
    tokens_limit: int
    calls_limit: int
    turns_limit: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is refused because it crashed its replicas.

    Attributes:
        digest: Digest of its content, by which it is recognised.
        workspace: Whose request was seen first.
        crashes: Replicas it crashed.
        age_s: Seconds since it was quarantined.
    """

    digest: str
    workspace: str
    crashes: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineReport:
    """Every quarantined request."""

    requests: tuple[QuarantinedRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverReport:
    """A shard taken over by force.

    Attributes:
        shard: The shard.
        epoch: The epoch it is now owned under.
        committed_sequence: Last record surely kept.
        unreachable_holders: Copy holders that could not be asked.
        possibly_lost: What acknowledged work may be lost, one line each.
    """

    shard: int
    epoch: int
    committed_sequence: int
    unreachable_holders: tuple[str, ...]
    possibly_lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """How far an upstream is drained.

    Attributes:
        upstream: Its name.
        draining: True once this host gives it no new work.
        in_flight: Calls still running there.
        programs: Programs whose prefix still lies there.
    """

    upstream: str
    draining: bool
    in_flight: int
    programs: int


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of every refusal.

    Attributes:
        kind: Its ``ErrorKind``.
        message: The kind's message.
        detail: What was wrong and where.
        ran: ``no``, ``yes`` or ``unknown``.
        retry_after_ms: When to send again; None where it never helps.
    """

    kind: str
    message: str
    detail: str
    ran: str
    retry_after_ms: int | None
