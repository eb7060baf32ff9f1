"""Planning and applying configuration changes.

A change with an unknown outcome is saved to a file so that it can be resent.
"""

import pathlib

import pydantic

from masticctl import views
from masticctl.client import OutcomeUnknownError
from masticctl.errors import EXIT_FAILED, EXIT_OK, UsageError
from masticctl.session import Session
from masticdale_config.messages import ChangeRequest, PlanReport


async def plan(session: Session, change: ChangeRequest) -> PlanReport:
    """Requests a dry run of a change."""
    return await session.client.post("/v1/config/plan", PlanReport, change)


async def confirm_and_apply(
    session: Session, change: ChangeRequest, yes: bool
) -> int:
    """Shows the plan of a change and applies it after confirmation.

    Args:
        session: The session.
        change: The change.
        yes: Whether to skip the confirmation prompt.

    Returns:
        The exit code.
    """
    report = await plan(session, change)
    if not session.output.is_json:
        session.output.text(views.plan_text(report))
    if not report.edits:
        if session.output.is_json:
            session.output.show(report, "")
        return EXIT_OK
    if not yes and not session.confirm("Apply this change?"):
        session.output.note("Nothing was written.")
        return EXIT_FAILED
    return await apply(session, change)


async def apply(session: Session, change: ChangeRequest) -> int:
    """Applies a change and saves it to a file if its outcome is unknown.

    Raises:
        OutcomeUnknownError: No definite response was received; the hint names
            the file.
    """
    try:
        report = await session.client.apply(change)
    except OutcomeUnknownError as error:
        path = pathlib.Path(f"masticctl-{change.change_id}.json")
        save(change, path)
        error.hint = (
            f"send it again with 'masticctl apply --plan {path}'; if it was"
            " accepted, that is recognised."
        )
        raise
    text = f"Accepted as revision {report.revision}."
    if not report.changed:
        text = f"Nothing to change at revision {report.revision}."
    session.output.show(report, text)
    return EXIT_OK


def save(change: ChangeRequest, path: pathlib.Path) -> None:
    """Writes a change to a file that ``load`` can read."""
    path.write_text(change.model_dump_json(indent=2, exclude_defaults=True))


def load(path: str) -> ChangeRequest:
    """Reads a saved change.

    Raises:
        UsageError: The file cannot be read or holds no saved change.
    """
    try:
        return ChangeRequest.model_validate_json(pathlib.Path(path).read_text())
    except OSError as error:
        raise UsageError(
            f"--plan: {path}: {error.strerror}",
            "give a file that 'masticctl plan --save FILE' wrote.",
        ) from error
    except pydantic.ValidationError as error:
        raise UsageError(
            f"--plan: {path}: not a saved change",
            "give a file that 'masticctl plan --save FILE' wrote.",
        ) from error
