"""Waiting until a revision is in force on every live host."""

import asyncio
import time

from masticctl import views
from masticctl.errors import EXIT_LAGGING, EXIT_OK
from masticctl.session import Session
from masticdale_config.messages import HostStatus, StatusReport

POLL_S = 0.2


async def read_status(session: Session) -> StatusReport:
    """Returns the status as the first server that answers knows it."""
    return await session.client.get("/v1/status", StatusReport)


async def wait_in_force(
    session: Session, revision: int, timeout_s: float
) -> int:
    """Waits until all live hosts report a revision, then shows the status.

    Args:
        session: The session.
        revision: The revision; 0 for the one in force at the first answer.
        timeout_s: Longest wait.

    Returns:
        The exit code; ``EXIT_LAGGING`` after naming the hosts that lag.
    """
    deadline = time.monotonic() + timeout_s
    report = await read_status(session)
    wanted = revision or max(
        [report.revision, *(host.revision for host in report.hosts)]
    )
    while lagging := lagging_hosts(report, wanted):
        if time.monotonic() >= deadline:
            session.output.show(report, views.status_text(report))
            session.output.note(_describe(lagging, wanted))
            return EXIT_LAGGING
        await asyncio.sleep(POLL_S)
        report = await read_status(session)
    session.output.show(report, views.status_text(report))
    return EXIT_OK


def lagging_hosts(
    report: StatusReport, revision: int
) -> tuple[HostStatus, ...]:
    """Returns the live hosts that have not reported a revision."""
    return tuple(
        host
        for host in report.hosts
        if not host.leaving and host.revision < revision
    )


def _describe(lagging: tuple[HostStatus, ...], revision: int) -> str:
    hosts = ", ".join(
        f"{h.name} (at {h.revision}, heard {h.age_s:.1f} s ago)"
        for h in lagging
    )
    return f"Revision {revision} is not in force on: {hosts}"
