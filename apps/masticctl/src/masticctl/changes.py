"""Planning and applying changes, and keeping one whose answer was lost."""

import pathlib

import pydantic

from masticctl import views
from masticctl.client import OutcomeUnknownError
from masticctl.errors import EXIT_FAILED, EXIT_OK, UsageError
from masticctl.session import Session
from masticdale_config.messages import ChangeRequest, PlanReport


async def plan(session: Session, change: ChangeRequest) -> PlanReport:
    """Asks what a change would do."""
    return await session.client.post("/v1/config/plan", PlanReport, change)


async def confirm_and_apply(
    session: Session, change: ChangeRequest, yes: bool
) -> int:
    """Shows what a change would do, asks, and applies it.

    Args:
        session: The session.
        change: The change.
        yes: True to apply without asking.

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
    """Applies a change; one whose answer was lost is kept in a file.

    Raises:
        OutcomeUnknownError: With a hint that names the file.
    """
    try:
        report = await session.client.apply(change)
    except OutcomeUnknownError as error:
        kept = pathlib.Path(f"masticctl-{change.change_id}.json")
        save(change, kept)
        error.hint = (
            f"send it again with 'masticctl apply --plan {kept}'; if it was"
            " accepted, that is recognised."
        )
        raise
    text = f"Accepted as revision {report.revision}."
    if not report.changed:
        text = f"Nothing to change at revision {report.revision}."
    session.output.show(report, text)
    return EXIT_OK


def save(change: ChangeRequest, path: pathlib.Path) -> None:
    """Writes a change to a file that ``load`` reads."""
    path.write_text(change.model_dump_json(indent=2, exclude_defaults=True))


def load(path: str) -> ChangeRequest:
    """Reads a saved change.

    Raises:
        UsageError: There is none.
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
            f"--plan: {path}: is no saved change",
            "give a file that 'masticctl plan --save FILE' wrote.",
        ) from error
