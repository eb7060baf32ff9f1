"""The commands of ``masticctl``."""

import os
import pathlib

from masticctl import changes, editing, stored, views, waiting
from masticctl.declarations import (
    new_change,
    read_folder,
    to_edits,
    to_text,
)
from masticctl.errors import EXIT_FAILED, EXIT_OK, UsageError
from masticctl.groups import (
    ProgramCommands,
    QuarantineCommands,
    RevisionCommands,
    UpstreamCommands,
    WorkspaceCommands,
    take_over,
)
from masticctl.parsing import (
    arguments,
    parse_key,
    parse_kind,
    parse_number,
)
from masticctl.session import (
    DEFAULT_SERVER,
    DEFAULT_TIMEOUT_S,
    GlobalOptions,
    Invocation,
    Session,
)
from masticdale_config.messages import (
    ChangeRequest,
    EditRequest,
    RollbackEdits,
)

SERVER_VARIABLE = "MASTICCTL_SERVER"
TOKEN_FILE_VARIABLE = "MASTICCTL_TOKEN_FILE"


@arguments("request_timeout")
class Commands:
    """Plan and apply declarations, and manage running programs.

    Exit codes: 0 success; 1 failed or declined; 2 invalid usage or
    declarations; 3 access denied; 4 not found; 5 another change came first;
    6 platform unavailable; 7 hosts or calls lag after --timeout; 8 no server
    available or response lost.
    """

    def __init__(
        self,
        *,
        server: str = "",
        token_file: str = "",
        output: str = "table",
        request_timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Creates the commands with the global options.

        Args:
            server: Comma-separated base URLs of operator listeners, tried in
                order. Default: the environment variable MASTICCTL_SERVER, or
                http://127.0.0.1:8081.
            token_file: File that holds your token. Default: the environment
                variable MASTICCTL_TOKEN_FILE.
            output: table or json.
            request_timeout: Timeout of one request, in seconds.
        """
        self._options = GlobalOptions(
            server or os.environ.get(SERVER_VARIABLE, DEFAULT_SERVER),
            token_file or os.environ.get(TOKEN_FILE_VARIABLE, ""),
            output,
            request_timeout,
        )
        self.upstream = UpstreamCommands(self._options)
        self.workspace = WorkspaceCommands(self._options)
        self.program = ProgramCommands(self._options)
        self.quarantine = QuarantineCommands(self._options)
        self.revisions = RevisionCommands(self._options)

    @arguments("prune")
    def plan(
        self,
        folder: str,
        *,
        save: str = "",
        reason: str = "",
        prune: bool = False,
    ) -> Invocation:
        """Show what applying a folder would change, as a dry run.

        Args:
            folder: Folder or file of declarations.
            save: File to save the change to, for 'apply --plan'.
            reason: Reason for the audit log; saved with --save.
            prune: Delete active declarations that are in no file.
        """

        async def body(session: Session) -> int:
            change = await _folder_change(session, folder, reason, prune)
            report = await changes.plan(session, change)
            session.output.show(report, views.plan_text(report))
            if save:
                changes.save(change, pathlib.Path(save))
                session.output.note(f"Saved; 'masticctl apply --plan {save}'.")
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("prune", "yes")
    def apply(
        self,
        folder: str = "",
        *,
        plan: str = "",
        reason: str = "",
        prune: bool = False,
        yes: bool = False,
    ) -> Invocation:
        """Apply a folder of declarations atomically, as one revision.

        Args:
            folder: Folder or file of declarations.
            plan: Saved change to apply unmodified instead of a folder; fails
                with a conflict if the declarations changed since then.
            reason: Reason for the audit log.
            prune: Delete active declarations that are in no file.
            yes: Apply without confirmation.
        """
        if bool(folder) == bool(plan):
            raise UsageError(
                "give either a folder or --plan FILE",
                "see 'masticctl apply --help'.",
            )

        async def body(session: Session) -> int:
            if plan:
                return await _apply_saved(session, changes.load(plan), yes)
            change = await _folder_change(session, folder, reason, prune)
            return await changes.confirm_and_apply(session, change, yes)

        return Invocation(self._options, body)

    @arguments("prune", "exit_code")
    def diff(
        self, folder: str, *, prune: bool = False, exit_code: bool = False
    ) -> Invocation:
        """Show the fields in which a folder differs from the active config.

        Args:
            folder: Folder or file of declarations.
            prune: Show active declarations that are in no file as deleted.
            exit_code: Exit with code 1 if there are differences.
        """

        async def body(session: Session) -> int:
            change = await _folder_change(session, folder, "", prune)
            report = await changes.plan(session, change)
            text = views.edits_text(report.edits) or "No difference."
            session.output.show(report.edits, text)
            return EXIT_FAILED if exit_code and report.edits else EXIT_OK

        return Invocation(self._options, body)

    @arguments()
    def get(self, what: str = "") -> Invocation:
        """List active declarations, or show one.

        Args:
            what: KIND to list, or KIND/NAME to show; all by default.
        """

        async def body(session: Session) -> int:
            if "/" in what:
                found = await stored.read(session, parse_key(what))
                session.output.text(to_text(found.declaration))
                return EXIT_OK
            query: dict[str, str | int] = {}
            if what:
                query["kind"] = parse_kind(what).value
            page = await session.client.declarations(query)
            session.output.show(page, views.declarations_table(page))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("yes")
    def edit(
        self, what: str, *assignments: str, reason: str = "", yes: bool = False
    ) -> Invocation:
        """Set fields of one declaration.

        Args:
            what: KIND/NAME.
            *assignments: PATH=VALUE each, such as spec.weight=2. A value that
                is not JSON is a string; PATH= restores the default.
            reason: Reason for the audit log.
            yes: Apply without confirmation.
        """
        key = parse_key(what)
        if not assignments:
            raise UsageError(
                "no field to set", "write PATH=VALUE, such as spec.weight=2."
            )

        async def body(session: Session) -> int:
            current = await stored.read(session, key)
            edited = editing.set_fields(current.declaration, assignments)
            return await stored.replace(session, current, edited, reason, yes)

        return Invocation(self._options, body)

    @arguments("yes")
    def delete(
        self, *what: str, reason: str = "", yes: bool = False
    ) -> Invocation:
        """Delete declarations, as one revision.

        Args:
            *what: KIND/NAME each.
            reason: Reason for the audit log.
            yes: Apply without confirmation.
        """
        keys = [parse_key(text) for text in what]
        if not keys:
            raise UsageError("nothing to delete", "write KIND/NAME.")

        async def body(session: Session) -> int:
            edits = []
            for key in keys:
                current = await stored.read(session, key)
                edits.append(
                    EditRequest(
                        kind=key.kind, name=key.name, seen=current.digest
                    )
                )
            change = new_change(edits, reason)
            return await changes.confirm_and_apply(session, change, yes)

        return Invocation(self._options, body)

    @arguments("yes")
    def rollback(
        self, revision: str, *, reason: str = "", yes: bool = False
    ) -> Invocation:
        """Restore the declarations of an earlier revision as a new revision.

        Args:
            revision: Number of the revision to restore.
            reason: Reason for the audit log.
            yes: Apply without confirmation.
        """
        number = parse_number(revision, "REVISION")

        async def body(session: Session) -> int:
            found = await session.client.get(
                f"/v1/revisions/{number}/rollback", RollbackEdits
            )
            why = reason or f"rollback to revision {number}"
            change = new_change(found.edits, why)
            return await changes.confirm_and_apply(session, change, yes)

        return Invocation(self._options, body)

    @arguments("wait", "timeout")
    def status(
        self, *, wait: bool = False, revision: str = "0", timeout: float = 30.0
    ) -> Invocation:
        """Show the hosts and the active revision of each.

        Args:
            wait: Wait until all live hosts have the revision; exit with code
                7 and list the lagging hosts at the timeout.
            revision: Revision to wait for; 0 for the newest.
            timeout: Timeout of --wait, in seconds.
        """
        number = parse_number(revision, "--revision")

        async def body(session: Session) -> int:
            if wait:
                return await waiting.wait_for_rollout(
                    session, number, float(timeout)
                )
            report = await waiting.read_status(session)
            session.output.show(report, views.status_text(report))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("yes")
    def takeover(self, shard: str, *, yes: bool = False) -> Invocation:
        """Force the takeover of a shard whose replicas are unreachable.

        Acknowledged work that only they held is lost; the report lists it.

        Args:
            shard: Number of the shard.
            yes: Take over without confirmation.
        """
        number = parse_number(shard, "SHARD")

        async def body(session: Session) -> int:
            question = f"Work may be lost. Take shard {number} over by force?"
            if not yes and not session.confirm(question):
                session.output.note("Nothing was taken over.")
                return EXIT_FAILED
            return await take_over(session, number)

        return Invocation(self._options, body)

    @arguments()
    def dump(self) -> Invocation:
        """Show the process state of the responding host as JSON."""

        async def body(session: Session) -> int:
            state = await session.client.get_json("/v1/dump")
            session.output.show(state, views.json_text(state))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments()
    def metrics(self) -> Invocation:
        """Show the metrics of the responding host in Prometheus text format."""

        async def body(session: Session) -> int:
            session.output.text(await session.client.get_text("/metrics"))
            return EXIT_OK

        return Invocation(self._options, body)


async def _folder_change(
    session: Session, folder: str, reason: str, prune: bool
) -> ChangeRequest:
    desired_by_key = read_folder(folder)
    active = await session.client.declarations({})
    return new_change(to_edits(desired_by_key, active, prune), reason)


async def _apply_saved(
    session: Session, change: ChangeRequest, yes: bool
) -> int:
    # Planning again would report a false conflict if the change was already
    # accepted and only the response was lost.
    question = f"Apply the saved change {change.change_id}?"
    if not yes and not session.confirm(question):
        session.output.note("Nothing was written.")
        return EXIT_FAILED
    return await changes.apply(session, change)
