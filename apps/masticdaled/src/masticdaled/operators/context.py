"""Implements the operators' actions on a running daemon."""

import asyncio
import dataclasses
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ErrorKind,
    Failure,
    Metrics,
    StateDump,
    hashing,
)
from masticdale_config import ActiveConfig, ConfigStore, RenderedEngine
from masticdale_config.messages import (
    DrainReport,
    HostStatus,
    ProgramDetail,
    ProgramFilter,
    ProgramPage,
    ProgramSummary,
    QuarantinedRequest,
    Readiness,
    TakeoverReport,
)
from masticdale_peers import ProbeRequest, ProgramsRequest
from masticdaled.cluster import Cluster
from masticdaled.operators.programs import decode_detail
from masticdaled.replicas.crash_suspects import DigestHome
from masticdaled.shards.owners import OwnedShards
from masticdaled.upstream_clients import UpstreamClients


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonOperatorContext:
    """The daemon's ``OperatorContext``.

    Attributes:
        host: Name of this host.
        config_store: Accepts changes of the configuration.
        in_force: The configuration in force on this host.
        metrics: The process's metrics.
        state_dump: The process's state dump.
        cluster: Assigns roles to hosts.
        owned_shards: The shards owned by this host.
        clients: The clients of upstreams.
        digest_home: Holds the quarantined requests.
        find_readiness: Returns whether this host may receive callers.
    """

    host: str
    config_store: ConfigStore | None
    in_force: ActiveConfig
    metrics: Metrics
    state_dump: StateDump
    cluster: Cluster
    owned_shards: OwnedShards
    clients: UpstreamClients
    digest_home: DigestHome
    find_readiness: Callable[[], Readiness]

    def hosts(self) -> tuple[HostStatus, ...]:
        """See ``OperatorContext.hosts``."""
        return tuple(
            HostStatus(
                member.name,
                member.heartbeat.domain,
                member.leaving,
                member.heartbeat.revision,
                round(member.age_s, 3),
            )
            for member in self.cluster.membership.members()
        )

    def readiness(self) -> Readiness:
        """See ``OperatorContext.readiness``."""
        return self.find_readiness()

    async def list_programs(
        self, selection: ProgramFilter
    ) -> Result[ProgramPage, Failure]:
        """See ``OperatorContext.list_programs``."""
        request = ProgramsRequest(
            workspace=selection.workspace,
            state=selection.state,
            after=selection.after,
            limit=selection.limit + 1,
        )
        hosts = self.cluster.membership.live_names()
        outcomes = await asyncio.gather(
            *(self.cluster.calls(host).programs(request) for host in hosts)
        )
        summaries: list[ProgramSummary] = []
        unreachable_hosts: list[str] = []
        for host, outcome in zip(hosts, outcomes, strict=True):
            if isinstance(outcome, Failed):
                unreachable_hosts.append(host)
                continue
            details = map(decode_detail, outcome.unwrap().details)
            summaries.extend(detail.summary for detail in details)
        summaries.sort(key=lambda summary: summary.program_id)
        page = tuple(summaries[: selection.limit])
        has_more = len(summaries) > len(page)
        return Success(
            ProgramPage(
                page,
                page[-1].program_id if has_more and page else "",
                tuple(unreachable_hosts),
            )
        )

    async def inspect_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """See ``OperatorContext.inspect_program``."""
        return await self._ask_owner(ProgramsRequest(program_id=program_id))

    async def stop_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """See ``OperatorContext.stop_program``."""
        return await self._ask_owner(
            ProgramsRequest(program_id=program_id, stop=True)
        )

    async def quarantined(
        self,
    ) -> Result[tuple[QuarantinedRequest, ...], Failure]:
        """See ``OperatorContext.quarantined``."""
        await self.digest_home.refresh()
        return Success(
            tuple(
                QuarantinedRequest(record.digest, "", record.crashes, 0.0)
                for record in self.digest_home.quarantined()
            )
        )

    async def release_quarantined(self, digest: str) -> Result[None, Failure]:
        """See ``OperatorContext.release_quarantined``."""
        if await self.digest_home.release(digest):
            return Success(None)
        return Failed(Failure(ErrorKind.NOT_FOUND, digest))

    async def force_takeover(
        self, shard: int
    ) -> Result[TakeoverReport, Failure]:
        """See ``OperatorContext.force_takeover``."""
        if not 0 <= shard < hashing.SHARD_COUNT:
            detail = f"shard {shard}; the shard count is {hashing.SHARD_COUNT}"
            return Failed(Failure(ErrorKind.NOT_FOUND, detail))
        forced = await self.owned_shards.force_takeover(shard)
        if isinstance(forced, Failed):
            return Failed(forced.failure())
        epoch = forced.unwrap().epoch
        return Success(TakeoverReport(shard, epoch, 0, (), ()))

    async def drain_upstream(self, name: str) -> Result[DrainReport, Failure]:
        """See ``OperatorContext.drain_upstream``."""
        upstream = self.in_force.current.upstreams.by_name.get(name)
        if upstream is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, name))
        if not isinstance(upstream, RenderedEngine):
            return Success(DrainReport(name, upstream.draining, 0, 0))
        probe = ProbeRequest(name, "", "", 0, 0)
        home = self.cluster.calls(self.cluster.home_of(name))
        answer = await home.probe(probe)
        if isinstance(answer, Failed):
            return Failed(answer.failure())
        held = await self.clients.engine(upstream).cached_programs()
        programs = len(held.unwrap()) if isinstance(held, Success) else 0
        in_flight = answer.unwrap().in_flight
        report = DrainReport(name, upstream.draining, in_flight, programs)
        return Success(report)

    async def _ask_owner(
        self, request: ProgramsRequest
    ) -> Result[ProgramDetail, Failure]:
        number = hashing.shard_of(request.program_id)
        host = self.cluster.owner_of_shard(number)
        outcome = await self.cluster.calls(host).programs(request)
        if isinstance(outcome, Failed):
            return Failed(outcome.failure())
        reply = outcome.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        return Success(decode_detail(reply.details[0]))
