"""Waiting until a revision is in force on every live host."""

import asyncio
import time

from masticctl import views
from masticctl.errors import EXIT_LAGGING, EXIT_OK
from masticctl.session import Session
from masticdale_config.messages import HostStatus, StatusReport

POLL_S = 0.2


async def read_status(session: Session, newest: bool = False) -> StatusReport:
    """Returns the status as the first server that answers knows it.

    Args:
        session: The session.
        newest: True to let that host ask the platform first which revision
            is the newest.
    """
    query: dict[str, str | int] = {"newest": "true"} if newest else {}
    return await session.client.get("/v1/status", StatusReport, query)


async def wait_in_force(
    session: Session, revision: int, timeout_s: float
) -> int:
    """Waits until all live hosts report a revision, then shows the status.

    Args:
        session: The session.
        revision: The revision; 0 for the newest that is accepted.
        timeout_s: Longest wait.

    Returns:
        The exit code; ``EXIT_LAGGING`` after naming the hosts that lag.
    """
    deadline = time.monotonic() + timeout_s
    # Without asking the platform, a host that lags would report its own old
    # revision, and the operator would take the newest one for in force.
    report = await read_status(session, newest=not revision)
    if not revision and not report.is_newest:
        session.output.note(
            "The platform does not answer; waiting for the newest revision"
            " that the hosts know."
        )
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
