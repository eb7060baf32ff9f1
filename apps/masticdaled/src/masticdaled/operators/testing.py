"""An in-memory ``OperatorContext`` for tests."""

import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, StateDump
from masticdale_config import ActiveConfig, ConfigStore
from masticdale_config.messages import ProgramSummary
from masticdale_platform.testing import MemoryStore
from masticdaled.operators.access import Role, TokenSettings, token_digest
from masticdaled.operators.models import (
    DrainReport,
    HostStatus,
    ProgramDetail,
    ProgramFilter,
    ProgramPage,
    QuarantinedRequest,
    Readiness,
    TakeoverReport,
)

READ_TOKEN = "read-token-of-the-tests"
OPERATE_TOKEN = "operate-token-of-the-tests"
TOKENS = (
    TokenSettings(
        name="marat", role=Role.READ, sha256=token_digest(READ_TOKEN)
    ),
    TokenSettings(
        name="ayana", role=Role.OPERATE, sha256=token_digest(OPERATE_TOKEN)
    ),
)
QUARANTINED_DIGEST = "0f" * 16


def program(program_id: str, workspace: str = "tengri-trails") -> ProgramDetail:
    """Returns a running program."""
    summary = ProgramSummary(
        program_id=program_id,
        workspace=workspace,
        kind="route-check",
        state="running",
        shard=7,
        owner="host-1",
        age_s=12.5,
        tokens_spent=1200,
        waiting_for=("r-3: queued at permit-1",),
    )
    return ProgramDetail(summary, ("main",), 2, 3, 400_000, 200, 160, 1)


@dataclasses.dataclass(slots=True)
class MemoryContext:
    """An ``OperatorContext`` backed by an in-memory store.

    Attributes:
        store: The platform's object store; can inject faults.
        revision_by_host: Hosts besides this one, with the revision each
            reports.
    """

    store: MemoryStore = dataclasses.field(default_factory=MemoryStore)
    in_force: ActiveConfig = dataclasses.field(default_factory=ActiveConfig)
    metrics: Metrics = dataclasses.field(default_factory=Metrics)
    state_dump: StateDump = dataclasses.field(default_factory=StateDump)
    config_store: ConfigStore | None = None
    host: str = "host-1"
    is_ready: bool = True
    revision_by_host: dict[str, int] = dataclasses.field(default_factory=dict)
    program_by_id: dict[str, ProgramDetail] = dataclasses.field(
        default_factory=dict
    )
    quarantined_digests: set[str] = dataclasses.field(default_factory=set)

    def hosts(self) -> tuple[HostStatus, ...]:
        """Returns this host and the hosts in ``revision_by_host``."""
        own = HostStatus(self.host, "domain-1", False, self.in_force.number, 0)
        others = [
            HostStatus(name, "domain-2", False, revision, 0.4)
            for name, revision in self.revision_by_host.items()
        ]
        return (own, *others)

    def readiness(self) -> Readiness:
        """Returns ``is_ready``."""
        return Readiness(self.is_ready, "" if self.is_ready else "stopping")

    async def list_programs(
        self, selection: ProgramFilter
    ) -> Result[ProgramPage, Failure]:
        """Lists the programs of a workspace, or all."""
        shown = [
            detail.summary
            for program_id, detail in sorted(self.program_by_id.items())
            if selection.workspace in ("", detail.summary.workspace)
            and program_id > selection.after
        ]
        return Success(ProgramPage(tuple(shown[: selection.limit])))

    async def inspect_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Returns a program."""
        detail = self.program_by_id.get(program_id)
        if detail is None:
            return _not_found(program_id)
        return Success(detail)

    async def stop_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Marks a program as stopped."""
        detail = self.program_by_id.get(program_id)
        if detail is None:
            return _not_found(program_id)
        summary = dataclasses.replace(detail.summary, state="stopped")
        stopped = dataclasses.replace(detail, summary=summary)
        self.program_by_id[program_id] = stopped
        return Success(stopped)

    async def quarantined(
        self,
    ) -> Result[tuple[QuarantinedRequest, ...], Failure]:
        """Lists ``quarantined_digests``."""
        return Success(
            tuple(
                QuarantinedRequest(digest, "tengri-trails", 2, 30.0)
                for digest in sorted(self.quarantined_digests)
            )
        )

    async def release_quarantined(self, digest: str) -> Result[None, Failure]:
        """Removes a digest from ``quarantined_digests``."""
        if digest not in self.quarantined_digests:
            return _not_found(digest)
        self.quarantined_digests.discard(digest)
        return Success(None)

    async def force_takeover(
        self, shard: int
    ) -> Result[TakeoverReport, Failure]:
        """Reports a takeover that may have lost one turn."""
        lost = ("program p-1: turn r-3, acknowledged during the outage",)
        return Success(TakeoverReport(shard, 5, 41, ("host-2",), lost))

    async def drain_upstream(self, name: str) -> Result[DrainReport, Failure]:
        """Reports an idle upstream."""
        if name not in self.in_force.current.upstreams.by_name:
            return _not_found(name)
        draining = self.in_force.current.upstreams.by_name[name].draining
        return Success(DrainReport(name, draining, 0, 2))


def create_context() -> MemoryContext:
    """Returns an empty context whose platform is available."""
    context = MemoryContext()
    context.config_store = ConfigStore(
        context.store, context.in_force, backoff_s=0.0
    )
    context.state_dump.register("config", context.in_force.dump)
    return context


def _not_found(name: str) -> Failed[Failure]:
    return Failed(Failure(ErrorKind.NOT_FOUND, name))
