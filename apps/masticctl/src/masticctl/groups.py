"""Command groups of ``masticctl``."""

import asyncio
import pathlib
import time

from masticctl import editing, stored, views
from masticctl.errors import EXIT_FAILED, EXIT_LAGGING, EXIT_OK, UsageError
from masticctl.parsing import arguments, parse_number
from masticctl.session import GlobalOptions, Invocation, Session
from masticdale_config import DeclarationKey, Kind, Template
from masticdale_config.messages import (
    DrainReport,
    ProgramDetail,
    ProgramPage,
    QuarantineReport,
    RevisionReport,
    RevisionSummary,
    TakeoverReport,
)

_POLL_INTERVAL_S = 0.5


class Group:
    """Base class of command groups."""

    def __init__(self, options: GlobalOptions) -> None:
        self._options = options


class UpstreamCommands(Group):
    """Drain upstreams."""

    @arguments("yes", "wait", "timeout")
    def drain(
        self,
        name: str,
        *,
        reason: str = "",
        yes: bool = False,
        wait: bool = False,
        timeout: float = 60.0,
    ) -> Invocation:
        """Stop sending new calls to an upstream; calls in flight finish.

        To undo: masticctl edit Upstream/NAME spec.draining=false

        Args:
            name: Name of the upstream.
            reason: Reason for the audit log.
            yes: Apply without confirmation.
            wait: Wait until the upstream has no calls in flight.
            timeout: Timeout of --wait, in seconds.
        """

        async def body(session: Session) -> int:
            key = DeclarationKey(Kind.UPSTREAM, name)
            stored_declaration = await stored.read(session, key)
            drained = editing.set_fields(
                stored_declaration.declaration, ("spec.draining=true",)
            )
            code = await stored.replace(
                session, stored_declaration, drained, reason, yes
            )
            if code != EXIT_OK:
                return code
            return await _report_drain(session, name, wait, float(timeout))

        return Invocation(self._options, body)


class WorkspaceCommands(Group):
    """Create workspaces from templates."""

    @arguments("yes")
    def create(
        self,
        name: str,
        *parameters: str,
        from_template: str,
        upstreams: str,
        caller: str = "",
        key_file: str = "",
        reason: str = "",
        yes: bool = False,
    ) -> Invocation:
        """Create a workspace: masticctl workspace create NAME --from TEMPLATE.

        Args:
            name: Name of the new workspace.
            *parameters: Values of the template's parameters, as NAME=VALUE.
            from_template: Name of the template.
            upstreams: Comma-separated names of the upstreams it may use.
            caller: Name of its first caller; needs --key-file.
            key_file: File that holds that caller's key; its digest is stored.
            reason: Reason for the audit log.
            yes: Apply without confirmation.
        """

        async def body(session: Session) -> int:
            key = DeclarationKey(Kind.TEMPLATE, from_template)
            template = (await stored.read(session, key)).declaration
            if not isinstance(template, Template):
                raise editing.not_found(key)
            workspace = editing.new_workspace(
                template, name, _split_names(upstreams), parameters
            )
            if caller or key_file:
                caller_key = _read_caller_key(caller, key_file)
                workspace = editing.with_caller_key(
                    workspace, caller, caller_key
                )
            return await stored.replace(session, None, workspace, reason, yes)

        return Invocation(self._options, body)


class ProgramCommands(Group):
    """Inspect and stop running programs."""

    @arguments()
    def list(
        self,
        *,
        workspace: str = "",
        state: str = "",
        after: str = "",
        limit: str = "100",
    ) -> Invocation:
        """List programs by id.

        Args:
            workspace: Only programs of this workspace.
            state: Only programs in this state, such as running.
            after: Only ids after this one, for the next page.
            limit: Maximum number of programs.
        """
        query: dict[str, str | int] = {
            "workspace": workspace,
            "state": state,
            "after": after,
            "limit": parse_number(limit, "--limit"),
        }

        async def body(session: Session) -> int:
            page = await session.client.get("/v1/programs", ProgramPage, query)
            session.output.show(page, views.programs_table(page))
            for host in page.unanswered_hosts:
                session.output.note(
                    f"{host} did not answer; its programs are not listed"
                )
            if page.next_after:
                session.output.note(f"more with --after {page.next_after}")
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments()
    def inspect(self, program_id: str) -> Invocation:
        """Show a program, its usage and what its calls wait for.

        Args:
            program_id: The program's id.
        """

        async def body(session: Session) -> int:
            path = f"/v1/programs/{_path_segment(program_id)}"
            detail = await session.client.get(path, ProgramDetail)
            session.output.show(detail, views.program_text(detail))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("yes")
    def stop(self, program_id: str, *, yes: bool = False) -> Invocation:
        """Stop a program and cancel its calls in flight.

        Args:
            program_id: The program's id.
            yes: Stop without confirmation.
        """

        async def body(session: Session) -> int:
            if not yes and not session.confirm(f"Stop program {program_id}?"):
                session.output.note("Nothing was stopped.")
                return EXIT_FAILED
            path = f"/v1/programs/{_path_segment(program_id)}/stop"
            detail = await session.client.post(path, ProgramDetail)
            session.output.show(detail, views.program_text(detail))
            return EXIT_OK

        return Invocation(self._options, body)


class QuarantineCommands(Group):
    """Manage requests that are rejected because they crashed replicas."""

    @arguments()
    def list(self) -> Invocation:
        """List quarantined requests."""

        async def body(session: Session) -> int:
            report = await session.client.get(
                "/v1/quarantine", QuarantineReport
            )
            session.output.show(report, views.quarantine_table(report))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("yes")
    def release(self, digest: str, *, yes: bool = False) -> Invocation:
        """Release a request from quarantine so that it can be retried.

        Args:
            digest: Digest of the request, from 'quarantine list'.
            yes: Release without confirmation.
        """

        async def body(session: Session) -> int:
            question = "It may crash replicas again. Release it?"
            if not yes and not session.confirm(question):
                session.output.note("Nothing was released.")
                return EXIT_FAILED
            path = f"/v1/quarantine/{_path_segment(digest)}/release"
            await session.client.post(path, type(None))
            session.output.show({"released": digest}, f"Released {digest}.")
            return EXIT_OK

        return Invocation(self._options, body)


class RevisionCommands(Group):
    """Inspect accepted changes."""

    @arguments()
    def list(self, *, limit: str = "20") -> Invocation:
        """List accepted revisions, newest first.

        Args:
            limit: Maximum number of revisions.
        """
        query: dict[str, str | int] = {"limit": parse_number(limit, "--limit")}

        async def body(session: Session) -> int:
            revisions = await session.client.get(
                "/v1/revisions", tuple[RevisionSummary, ...], query
            )
            session.output.show(revisions, views.revisions_table(revisions))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments()
    def show(self, number: str) -> Invocation:
        """Show one accepted revision and the fields it changed.

        Args:
            number: The revision's number.
        """
        path = f"/v1/revisions/{parse_number(number, 'NUMBER')}"

        async def body(session: Session) -> int:
            report = await session.client.get(path, RevisionReport)
            session.output.show(report, views.revision_text(report))
            return EXIT_OK

        return Invocation(self._options, body)


async def take_over(session: Session, shard: int) -> int:
    """Forces the takeover of a shard and shows which work may be lost."""
    report = await session.client.post(
        f"/v1/shards/{shard}/takeover", TakeoverReport
    )
    session.output.show(report, views.takeover_text(report))
    return EXIT_OK


async def _report_drain(
    session: Session, name: str, wait: bool, timeout_s: float
) -> int:
    deadline = time.monotonic() + timeout_s
    path = f"/v1/upstreams/{_path_segment(name)}/drain"
    while True:
        report = await session.client.post(path, DrainReport)
        is_idle = report.draining and report.in_flight == 0
        is_timed_out = time.monotonic() >= deadline
        if not wait or is_idle or is_timed_out:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    text = (
        f"{name}: {report.in_flight} calls in flight, prefixes of"
        f" {report.programs} programs"
    )
    session.output.show(report, text)
    return EXIT_LAGGING if wait and not is_idle else EXIT_OK


def _split_names(names: str) -> tuple[str, ...]:
    return tuple(n.strip() for n in names.split(",") if n.strip())


def _path_segment(text: str) -> str:
    if "/" in text or "?" in text or "#" in text or not text:
        raise UsageError(f"{text!r} is not a valid id")
    return text


def _read_caller_key(caller: str, key_file: str) -> str:
    if not (caller and key_file):
        raise UsageError(
            "a first caller needs both --caller and --key-file",
            "write the caller's key to a file and give both options.",
        )
    try:
        key = pathlib.Path(key_file).read_text().strip()
    except OSError as error:
        raise UsageError(f"--key-file: {key_file}: {error.strerror}") from error
    if not key:
        raise UsageError(f"--key-file: {key_file} is empty")
    return key
