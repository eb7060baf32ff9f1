"""JSON messages between the operators' tool and the daemon, shared by both."""

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
    """A put or a delete of one declaration; see ``revisions.Edit``."""

    kind: Kind
    name: str
    seen: _Seen
    after: AnyDeclaration | None = None

    @classmethod
    def from_edit(cls, edit: Edit) -> Self:
        """Converts an edit to its message."""
        return cls(
            kind=edit.key.kind,
            name=edit.key.name,
            seen=edit.seen,
            after=edit.after,
        )


class ChangeRequest(_RequestModel):
    """A change to plan or apply.

    Attributes:
        change_id: Id chosen by the operator; a retry carries the same id.
        reason: Reason of the change, for the audit log.
        edits: Edits of distinct declarations.
    """

    change_id: _ChangeId
    reason: _Reason = ""
    edits: tuple[EditRequest, ...] = Field(max_length=MAX_CHANGE_EDITS)

    def to_change(self, author: str) -> Change:
        """Converts the message to a change on behalf of an operator."""
        edits = tuple(
            Edit(DeclarationKey(e.kind, e.name), e.seen, e.after)
            for e in self.edits
        )
        return Change(self.change_id, author, self.reason, edits)


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """The answering host's view of one entry host.

    Attributes:
        name: Its name.
        failure_domain: Its failure domain.
        leaving: True once it is handing off its work.
        revision: Its active revision at its last heartbeat.
        age_s: Seconds since its last heartbeat; 0 for the answering host.
    """

    name: str
    failure_domain: str
    leaving: bool
    revision: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the load balancer may send callers to a host.

    Attributes:
        ready: True if it may.
        reason: Why the host is not ready; empty if it is.
    """

    ready: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReport:
    """The answering host's view of the cluster.

    Attributes:
        host: The answering host.
        readiness: Its readiness.
        revision: Its active revision.
        digest: Digest of that configuration.
        hosts: All hosts it knows, including itself.
        is_newest: True if the platform was asked and has no later revision.
    """

    host: str
    readiness: Readiness
    revision: int
    digest: str
    hosts: tuple[HostStatus, ...]
    is_newest: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDeclaration:
    """One declaration of the active configuration.

    Attributes:
        digest: Digest to send as ``seen`` in an edit of it.
        declaration: The declaration.
    """

    digest: str
    declaration: AnyDeclaration


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationPage:
    """One page of the active declarations, sorted by kind and name.

    Attributes:
        revision: Revision that they belong to.
        items: The declarations of this page.
        next_after: Cursor of the next page; empty on the last page.
    """

    revision: int
    items: tuple[StoredDeclaration, ...]
    next_after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """One field that a change modifies.

    Attributes:
        path: Path within the declaration.
        before: Old value as truncated JSON text; empty if there was none.
        after: New value as truncated JSON text; empty if it is removed.
    """

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEdit:
    """The effect of a change on one declaration.

    Attributes:
        kind: Its kind.
        name: Its name.
        action: ``create``, ``update`` or ``delete``.
        fields: The first fields that an update modifies.
    """

    kind: Kind
    name: str
    action: str
    fields: tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceEffect:
    """The effect of a change on one workspace.

    Attributes:
        name: Name of the workspace.
        effect: ``created``, ``deleted``, ``changed`` or ``upstream changed``.
    """

    name: str
    effect: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlanReport:
    """The effect that a change would have if it were applied now.

    Attributes:
        base: Revision that the plan is based on.
        edits: Declarations that would change.
        workspace_count: Number of affected workspaces.
        workspaces: The first affected workspaces by name.
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
    """The fields that a revision modified in one declaration."""

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

    They are planned and applied like any other change.
    """

    to_revision: int
    edits: tuple[EditRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramFilter:
    """Filter of a list of programs.

    Attributes:
        workspace: Only programs of this workspace; empty for all.
        state: Only programs in this state; empty for all.
        after: Only ids that sort after this one.
        limit: Maximum number of programs.
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
        workspace: Its workspace.
        kind: Name of its program kind.
        state: ``running`` or the reason why it ended.
        shard: The shard that holds it.
        owner: The host that owns the shard.
        age_s: Seconds since it started.
        tokens_spent: Tokens charged.
        waiting_for: What each of its calls in flight waits for.
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
    """One page of programs, sorted by id.

    Attributes:
        programs: The programs of this page.
        next_after: Cursor of the next page; empty on the last page.
        unanswered_hosts: Owners that did not answer; their programs are
            missing from the page.
    """

    programs: tuple[ProgramSummary, ...]
    next_after: str = ""
    unanswered_hosts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramDetail:
    """One program with its usage and its limits."""

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
    """A request that is rejected because it crashed replicas.

    Attributes:
        digest: Digest of its content, which identifies it.
        workspace: Workspace that sent it first.
        crashes: Number of replicas it crashed.
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
    """The result of a forced takeover of a shard.

    Attributes:
        shard: The shard.
        epoch: Epoch of the new ownership.
        committed_sequence: Sequence number of the last record that is certain
            to be kept.
        unreachable_holders: Hosts with a copy that could not be reached.
        possibly_lost: Acknowledged work that may be lost, one line each.
    """

    shard: int
    epoch: int
    committed_sequence: int
    unreachable_holders: tuple[str, ...]
    possibly_lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """Progress of draining an upstream.

    Attributes:
        upstream: Its name.
        draining: True once this host sends it no new work.
        in_flight: Calls still running there.
        programs: Programs whose prefix is still cached there.
    """

    upstream: str
    draining: bool
    in_flight: int
    programs: int


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of every error response.

    Attributes:
        kind: The ``ErrorKind``.
        message: The message of the kind.
        detail: What was wrong and where.
        ran: Whether the request ran: ``no``, ``yes`` or ``unknown``.
        retry_after_ms: Delay before a retry; None if a retry never helps.
    """

    kind: str
    message: str
    detail: str
    ran: str
    retry_after_ms: int | None
