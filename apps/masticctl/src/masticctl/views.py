"""Formatting of the daemon's responses as text and tables."""

import datetime

from masticctl.output import Table, format_table, join, to_json
from masticdale_config import key_of
from masticdale_config.messages import (
    DeclarationPage,
    PlannedEdit,
    PlanReport,
    ProgramDetail,
    ProgramPage,
    QuarantineReport,
    RevisionReport,
    RevisionSummary,
    StatusReport,
    TakeoverReport,
)

_UNSET = "(unset)"
_SIGN_BY_ACTION = {"create": "+", "update": "~", "delete": "-"}


def plan_text(report: PlanReport) -> str:
    """Formats a plan as a list of edits and affected workspaces."""
    if not report.edits:
        return f"Nothing would change at revision {report.base}.\n"
    lines = [edits_text(report.edits)]
    lines.append(f"Workspaces it has an effect on: {report.workspace_count}\n")
    lines += [f"  {w.name}: {w.effect}\n" for w in report.workspaces]
    hidden = report.workspace_count - len(report.workspaces)
    if hidden:
        lines.append(f"  and {hidden} more\n")
    lines.append(f"Planned against revision {report.base}.\n")
    return "".join(lines)


def edits_text(edits: tuple[PlannedEdit, ...]) -> str:
    """Formats edits with one line per declaration and per changed field."""
    lines = []
    for edit in edits:
        sign = _SIGN_BY_ACTION.get(edit.action, "?")
        lines.append(f"{sign} {edit.kind}/{edit.name} ({edit.action})\n")
        for field in edit.fields:
            before = field.before or _UNSET
            after = field.after or _UNSET
            lines.append(f"    {field.path}: {before} -> {after}\n")
    return "".join(lines)


def declarations_table(page: DeclarationPage) -> Table:
    """Returns a table of declarations."""
    rows = [
        (str(key_of(i.declaration).kind), i.declaration.name, i.digest)
        for i in page.items
    ]
    return Table(("KIND", "NAME", "DIGEST"), tuple(rows), "no declarations")


def status_text(report: StatusReport) -> str:
    """Formats the status of all hosts."""
    ready = "ready"
    if not report.readiness.ready:
        ready = f"not ready: {report.readiness.reason}"
    rows = [
        (
            host.name,
            host.failure_domain,
            "leaving" if host.leaving else "live",
            str(host.revision),
            f"{host.age_s:.1f} s",
        )
        for host in report.hosts
    ]
    headers = ("HOST", "FAILURE DOMAIN", "STATE", "REVISION", "HEARD")
    table = format_table(Table(headers, tuple(rows), "no hosts"))
    return (
        f"{report.host}: {ready}; revision {report.revision}"
        f" ({report.digest})\n{table}"
    )


def revisions_table(revisions: tuple[RevisionSummary, ...]) -> Table:
    """Returns a table of accepted revisions, newest first."""
    rows = [
        (
            str(r.revision),
            r.author,
            r.change_id,
            join(f"{t.kind}/{t.name}" for t in r.touched),
        )
        for r in revisions
    ]
    headers = ("REVISION", "AUTHOR", "CHANGE", "DECLARATIONS")
    return Table(headers, tuple(rows), "no revisions")


def revision_text(report: RevisionReport) -> str:
    """Formats one accepted revision."""
    accepted = datetime.datetime.fromtimestamp(
        report.accepted_at_ms / 1000, datetime.UTC
    )
    return (
        f"revision {report.revision} by {report.author} at"
        f" {accepted:%Y-%m-%d %H:%M:%S} UTC\n"
        f"change {report.change_id}: {report.reason or '(no reason)'}\n"
        f"{edits_text(report.edits)}"
    )


def programs_table(page: ProgramPage) -> Table:
    """Returns a table of programs."""
    rows = [
        (
            p.program_id,
            p.workspace,
            p.kind,
            p.state,
            p.owner,
            f"{p.age_s:.0f} s",
            str(p.tokens_spent),
            join(p.waiting_for, 1) or "-",
        )
        for p in page.programs
    ]
    headers = (
        "PROGRAM",
        "WORKSPACE",
        "KIND",
        "STATE",
        "OWNER",
        "AGE",
        "TOKENS",
        "WAITING FOR",
    )
    return Table(headers, tuple(rows), "no programs")


def program_text(detail: ProgramDetail) -> str:
    """Formats the details of a program."""
    summary = detail.summary
    lines = [
        f"program {summary.program_id}: {summary.state}",
        f"  workspace {summary.workspace}, kind {summary.kind},"
        f" priority {detail.priority}",
        f"  shard {summary.shard} at {summary.owner}, age"
        f" {summary.age_s:.0f} s",
        f"  tokens {summary.tokens_spent} of {detail.tokens_limit}",
        f"  calls {detail.calls_spent} of {detail.calls_limit}",
        f"  turns {detail.turns_spent} of {detail.turns_limit}",
        f"  branches {join(detail.branches, 8)}",
    ]
    lines += [f"  waiting: {w}" for w in summary.waiting_for]
    return "\n".join(lines)


def quarantine_table(report: QuarantineReport) -> Table:
    """Returns a table of quarantined requests."""
    rows = [
        (r.digest, r.workspace, str(r.crashes), f"{r.age_s:.0f} s")
        for r in report.requests
    ]
    headers = ("DIGEST", "WORKSPACE", "CRASHES", "AGE")
    return Table(headers, tuple(rows), "no quarantined requests")


def takeover_text(report: TakeoverReport) -> str:
    """Formats the result of a forced takeover, with possible data loss."""
    lines = [
        f"shard {report.shard} is owned under epoch {report.epoch};"
        f" records up to {report.committed_sequence} are kept"
    ]
    if report.unreachable_holders:
        lines.append(f"not asked: {join(report.unreachable_holders)}")
    lines += [f"may be lost: {line}" for line in report.possibly_lost]
    if not report.possibly_lost:
        lines.append("nothing is known to be lost")
    return "\n".join(lines)


def json_text(value: object) -> str:
    """Formats a value without a fixed schema as JSON."""
    return to_json(value)
