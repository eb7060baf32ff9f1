"""Builds the reports of plans and revisions for operators."""

from collections.abc import Iterable

import orjson

from masticdale_config import canonical
from masticdale_config import state as states
from masticdale_config.kinds import Declaration, Kind
from masticdale_config.messages import (
    FieldChange,
    PlannedEdit,
    PlanReport,
    RevisionReport,
    RevisionSummary,
    TouchedReport,
    WorkspaceEffect,
)
from masticdale_config.rendered import RenderedConfig, RenderedWorkspace
from masticdale_config.revisions import Plan

MAX_NAMED_WORKSPACES = 200
MAX_SHOWN_FIELDS = 50
MAX_VALUE_CHARACTERS = 120
_ELLIPSIS = "..."


def plan_report(plan: Plan) -> PlanReport:
    """Returns the report of a plan, with the workspaces that it affects."""
    effects = _effects(plan)
    return PlanReport(
        base=plan.base,
        edits=planned_edits(plan.edits),
        workspace_count=len(effects),
        workspaces=tuple(effects[:MAX_NAMED_WORKSPACES]),
    )


def planned_edits(
    edits: Iterable[states.RecordedEdit],
) -> tuple[PlannedEdit, ...]:
    """Returns edits with their changed fields, sorted by declaration."""
    return tuple(
        PlannedEdit(
            kind=edit.kind,
            name=edit.name,
            action=_action(edit),
            fields=field_changes(edit.before, edit.after),
        )
        for edit in sorted(edits, key=lambda edit: edit.key)
    )


def field_changes(
    before: Declaration | None, after: Declaration | None
) -> tuple[FieldChange, ...]:
    """Returns the first fields in which two declarations differ."""
    if before is None or after is None:
        return ()
    found = states.differences(canonical.dump(before), canonical.dump(after))
    return tuple(
        FieldChange(d.path, _shorten(d.before), _shorten(d.after))
        for d in found[:MAX_SHOWN_FIELDS]
    )


def revision_report(revision: states.Revision) -> RevisionReport:
    """Returns the report of a stored revision."""
    return RevisionReport(
        revision=revision.number,
        change_id=revision.change_id,
        author=revision.author,
        reason=revision.reason,
        accepted_at_ms=revision.accepted_at_ms,
        digest=revision.digest,
        edits=planned_edits(revision.edits),
    )


def revision_summary(summary: states.ChangeSummary) -> RevisionSummary:
    """Returns the list entry of a recent revision."""
    touched = tuple(
        TouchedReport(t.key.kind, t.key.name, t.fields) for t in summary.touched
    )
    return RevisionSummary(
        summary.revision, summary.change_id, summary.author, touched
    )


def _action(edit: states.RecordedEdit) -> str:
    if edit.before is None:
        return "create"
    return "delete" if edit.after is None else "update"


def _effects(plan: Plan) -> list[WorkspaceEffect]:
    upstreams = {e.name for e in plan.edits if e.kind is Kind.UPSTREAM}
    names = plan.before.workspace_by_name.keys() | (
        plan.after.workspace_by_name.keys()
    )
    effects = []
    for name in sorted(names):
        effect = _effect(name, plan.before, plan.after, upstreams)
        if effect:
            effects.append(WorkspaceEffect(name, effect))
    return effects


def _effect(
    name: str,
    before: RenderedConfig,
    after: RenderedConfig,
    upstreams: set[str],
) -> str:
    old: RenderedWorkspace | None = before.workspace_by_name.get(name)
    new: RenderedWorkspace | None = after.workspace_by_name.get(name)
    if old is None:
        return "created"
    if new is None:
        return "deleted"
    if old.digest != new.digest:
        return "changed"
    return "" if upstreams.isdisjoint(new.upstreams) else "upstream changed"


def _shorten(value: object) -> str:
    if value is None:
        return ""
    text = orjson.dumps(value, option=orjson.OPT_SORT_KEYS).decode()
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - len(_ELLIPSIS)] + _ELLIPSIS
