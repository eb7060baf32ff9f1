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
    """Plan and apply declarations, and look after running programs.

    Exit codes: 0 done; 1 refused or failed; 2 wrong usage or declarations;
    3 no access; 4 no such object; 5 another change came first; 6 the platform
    does not answer; 7 hosts or calls lag after --timeout; 8 no server answers
    or an answer was lost.
    """

    def __init__(
        self,
        *,
        server: str = "",
        token_file: str = "",
        output: str = "table",
        request_timeout: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Reads the options that every command takes.

        Args:
            server: Base URLs of operators' listeners, with commas between;
                the next is tried where one is down. Default: the environment
                variable MASTICCTL_SERVER, or http://127.0.0.1:8081.
            token_file: File that holds your token. Default: the environment
                variable MASTICCTL_TOKEN_FILE.
            output: table or json.
            request_timeout: Longest wait for one answer, in seconds.
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
        """Show what applying a folder would change, writing nothing.

        Args:
            folder: Folder or file with declarations.
            save: File that keeps the change, for 'apply --plan'.
            reason: Why, for the audit log; kept with --save.
            prune: Delete declarations that no file names.
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
        """Apply a folder of declarations as one revision, or nothing of it.

        Args:
            folder: Folder or file with declarations.
            plan: Saved change to apply in place of a folder, exactly as it
                was planned: whoever changed the same declarations since then
                causes a conflict.
            reason: Why, for the audit log.
            prune: Delete declarations that no file names.
            yes: Apply without asking.
        """
        if bool(folder) == bool(plan):
            raise UsageError(
                "give either a folder or --plan FILE",
                "'masticctl apply --help' says more.",
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
        """Show in which fields a folder differs from what is in force.

        Args:
            folder: Folder or file with declarations.
            prune: Show declarations that no file names as deleted.
            exit_code: End with 1 where something differs.
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
        """List declarations in force, or show one.

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
            *assignments: PATH=VALUE each, such as spec.weight=2; the value is
                JSON or else a string; PATH= restores the default.
            reason: Why, for the audit log.
            yes: Apply without asking.
        """
        key = parse_key(what)
        if not assignments:
            raise UsageError(
                "no field to set", "write PATH=VALUE, such as spec.weight=2."
            )

        async def body(session: Session) -> int:
            seen = await stored.read(session, key)
            after = editing.assign(seen.declaration, assignments)
            return await stored.put(session, seen, after, reason, yes)

        return Invocation(self._options, body)

    @arguments("yes")
    def delete(
        self, *what: str, reason: str = "", yes: bool = False
    ) -> Invocation:
        """Delete declarations, as one revision.

        Args:
            *what: KIND/NAME each.
            reason: Why, for the audit log.
            yes: Apply without asking.
        """
        keys = [parse_key(text) for text in what]
        if not keys:
            raise UsageError("nothing to delete", "write KIND/NAME.")

        async def body(session: Session) -> int:
            edits = []
            for key in keys:
                seen = await stored.read(session, key)
                edits.append(
                    EditRequest(kind=key.kind, name=key.name, seen=seen.digest)
                )
            change = new_change(edits, reason)
            return await changes.confirm_and_apply(session, change, yes)

        return Invocation(self._options, body)

    @arguments("yes")
    def rollback(
        self, revision: str, *, reason: str = "", yes: bool = False
    ) -> Invocation:
        """Restore the declarations of an earlier revision, as a new one.

        Args:
            revision: Number of the revision whose declarations are to hold.
            reason: Why, for the audit log.
            yes: Apply without asking.
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
        """Show the hosts and the revision in force on each.

        Args:
            wait: Return once all live hosts have the revision; else end with
                7 and name those that lag.
            revision: Revision to wait for; the newest known by default.
            timeout: Longest wait, in seconds.
        """
        number = parse_number(revision, "--revision")

        async def body(session: Session) -> int:
            if wait:
                return await waiting.wait_in_force(
                    session, number, float(timeout)
                )
            report = await waiting.read_status(session)
            session.output.show(report, views.status_text(report))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments("yes")
    def takeover(self, shard: str, *, yes: bool = False) -> Invocation:
        """Take a shard over by force, where its copy holders are gone.

        Acknowledged work that only they held is lost; the report names it.

        Args:
            shard: Number of the shard.
            yes: Take over without asking.
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
        """Show the state of the answering host's process, as JSON."""

        async def body(session: Session) -> int:
            state = await session.client.get_json("/v1/dump")
            session.output.show(state, views.json_text(state))
            return EXIT_OK

        return Invocation(self._options, body)

    @arguments()
    def metrics(self) -> Invocation:
        """Show the answering host's metrics in the Prometheus text format."""

        async def body(session: Session) -> int:
            session.output.text(await session.client.get_text("/metrics"))
            return EXIT_OK

        return Invocation(self._options, body)


async def _folder_change(
    session: Session, folder: str, reason: str, prune: bool
) -> ChangeRequest:
    wanted_by_key = read_folder(folder)
    in_force = await session.client.declarations({})
    return new_change(to_edits(wanted_by_key, in_force, prune), reason)


async def _apply_saved(
    session: Session, change: ChangeRequest, yes: bool
) -> int:
    # Not planned anew: where the change was accepted and only its answer was
    # lost, a plan would report a conflict of the change with itself.
    question = f"Apply the saved change {change.change_id}?"
    if not yes and not session.confirm(question):
        session.output.note("Nothing was written.")
        return EXIT_FAILED
    return await changes.apply(session, change)
