"""Waiting until a revision is active on all live hosts."""

import asyncio
import time

from masticctl import views
from masticctl.errors import EXIT_LAGGING, EXIT_OK
from masticctl.session import Session
from masticdale_config.messages import HostStatus, StatusReport

POLL_INTERVAL_S = 0.2


async def read_status(session: Session, newest: bool = False) -> StatusReport:
    """Fetches the status of all hosts from the first available server.

    Args:
        session: The session.
        newest: Whether that host first fetches the newest revision from the
            platform.
    """
    query: dict[str, str | int] = {"newest": "true"} if newest else {}
    return await session.client.get("/v1/status", StatusReport, query)


async def wait_for_rollout(
    session: Session, revision: int, timeout_s: float
) -> int:
    """Waits until all live hosts have applied a revision and shows the status.

    Args:
        session: The session.
        revision: Revision to wait for; 0 for the newest accepted one.
        timeout_s: Timeout, in seconds.

    Returns:
        The exit code; ``EXIT_LAGGING`` if hosts still lag at the timeout.
    """
    deadline = time.monotonic() + timeout_s
    # A lagging host knows only its own old revision; without a read from the
    # platform, an incomplete rollout would be reported as complete.
    report = await read_status(session, newest=not revision)
    if not revision and not report.is_newest:
        session.output.note(
            "The platform does not answer; waiting for the newest revision"
            " that the hosts know."
        )
    target_revision = revision or max(
        [report.revision, *(host.revision for host in report.hosts)]
    )
    while lagging := lagging_hosts(report, target_revision):
        if time.monotonic() >= deadline:
            session.output.show(report, views.status_text(report))
            session.output.note(_describe_lag(lagging, target_revision))
            return EXIT_LAGGING
        await asyncio.sleep(POLL_INTERVAL_S)
        report = await read_status(session)
    session.output.show(report, views.status_text(report))
    return EXIT_OK


def lagging_hosts(
    report: StatusReport, revision: int
) -> tuple[HostStatus, ...]:
    """Returns the live hosts whose revision is older than the given one."""
    return tuple(
        host
        for host in report.hosts
        if not host.leaving and host.revision < revision
    )


def _describe_lag(lagging: tuple[HostStatus, ...], revision: int) -> str:
    hosts = ", ".join(
        f"{h.name} (at {h.revision}, heard {h.age_s:.1f} s ago)"
        for h in lagging
    )
    return f"Revision {revision} is not in force on: {hosts}"
