"""Placement of model calls: probes a few replicas and picks the cheapest."""

import asyncio

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import ActiveConfig, RenderedEngine, eligible_engines
from masticdale_peers import ProbeReply, ProbeRequest
from masticdale_routing import (
    Candidate,
    LeastCost,
    Location,
    Placement,
    PlacementRequest,
    choose_probes,
    place,
)
from masticdaled.cluster import FAILOVER_KINDS, Cluster
from masticdaled.directory import UpstreamDirectory
from masticdaled.execution.runs import Run, prefix_note
from masticdaled.execution.tool_pauses import PrefixOffloader

_PROBE_TIMEOUT_S = 0.5
_PROBE_COUNT = 3
_NEW_BRANCH_PROBE_COUNT = 9
# Assumed where no probed replica has completed a call.
_DEFAULT_DECODE_TOKENS_PER_S = 50.0


class Placer:
    """Places calls by their expected cost in seconds."""

    def __init__(
        self,
        cluster: Cluster,
        in_force: ActiveConfig,
        directory: UpstreamDirectory,
        offloader: PrefixOffloader,
    ) -> None:
        self._cluster = cluster
        self._in_force = in_force
        self._directory = directory
        self._offloader = offloader
        self._policy = LeastCost()

    async def place(self, run: Run) -> Result[Placement, Failure]:
        """Probes a few replicas and chooses among them.

        Args:
            run: The call. Its probe replies and unusable replicas are updated.

        Returns:
            The placement; NO_UPSTREAM where no replica can take the call;
            NOT_OWNER while homes are moving to other hosts.
        """
        engines = self._usable_engines(run)
        if not engines:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, run.call.model))
        engine_by_name = {engine.name: engine for engine in engines}
        locations = [Location(e.name, e.failure_domain) for e in engines]
        last_replica = run.call.replica
        # A branch stays on the replica of its first turn, so a new one probes
        # more replicas.
        count = (
            _PROBE_COUNT
            if last_replica in engine_by_name
            else _NEW_BRANCH_PROBE_COUNT
        )
        names = choose_probes(run.run_id, locations, count)
        if last_replica in engine_by_name and last_replica not in names:
            names = [last_replica, *names]
        replies = await asyncio.gather(
            *(self._probe(run, name) for name in names)
        )
        run.reply_by_replica.update(zip(names, replies, strict=True))
        exported_tokens = self._offloader.exported_tokens(run.call)
        max_decode_tokens_per_s = max(
            reply.decode_tokens_per_s for reply in replies
        )
        candidates = [
            _candidate(
                engine_by_name[name],
                reply,
                max_decode_tokens_per_s,
                exported_tokens,
            )
            for name, reply in zip(names, replies, strict=True)
        ]
        request = PlacementRequest(
            run.call.program_id,
            run.prompt_tokens,
            run.call.max_tokens,
            last_replica if last_replica in engine_by_name else "",
        )
        placed = place(request, candidates, self._policy)
        if isinstance(placed, Success):
            return placed
        if any(_is_moving(reply) for reply in replies):
            # A stopping host has released its homes and the hosts that take
            # them over do not know it yet. The caller retries shortly.
            return Failed(Failure(ErrorKind.NOT_OWNER, "homes are moving"))
        # The probed replicas are full or gone; the next attempt probes others.
        run.failed_replicas.update(names)
        return placed

    def _usable_engines(self, run: Run) -> list[RenderedEngine]:
        config = self._in_force.current
        workspace = config.workspace_by_name.get(run.call.workspace)
        if workspace is None:
            return []
        engines = [
            engine
            for engine in eligible_engines(workspace, run.call.model, config)
            if self._directory.accepts_work(engine)
        ]
        untried = [e for e in engines if e.name not in run.failed_replicas]
        return untried or engines

    async def _probe(self, run: Run, replica: str) -> ProbeReply:
        call = run.call
        request = ProbeRequest(
            replica,
            call.program_id,
            call.branch_id,
            run.prompt_tokens,
            call.priority,
            prefix_note(call),
            call.max_tokens,
            call.workspace,
            call.attained_s,
        )
        reply = await self._send_probe(self._cluster.home_of(replica), request)
        if reply.failure is None or not reply.failure.host:
            return reply
        return await self._send_probe(reply.failure.host, request)

    async def _send_probe(self, home: str, request: ProbeRequest) -> ProbeReply:
        outcome = await self._cluster.calls(home).probe(
            request, _PROBE_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return ProbeReply(failure=outcome.failure())
        return outcome.unwrap()


def _is_moving(reply: ProbeReply) -> bool:
    return reply.failure is not None and reply.failure.kind in FAILOVER_KINDS


def _candidate(
    engine: RenderedEngine,
    reply: ProbeReply,
    max_decode_tokens_per_s: float,
    exported_tokens: int,
) -> Candidate:
    """Returns the placement candidate of a probed replica.

    A replica that has not completed a call is assumed to decode as fast as the
    fastest one probed. With a lower estimate it might never be chosen.
    """
    if reply.failure is not None or not reply.usable:
        return Candidate(engine.name, engine.failure_domain, usable=False)
    return Candidate(
        engine.name,
        engine.failure_domain,
        expected_wait_s=reply.expected_wait_ms / 1000,
        cached_tokens=max(
            reply.cached_tokens,
            _tokens_saved_by_import(engine, reply, exported_tokens),
        ),
        prefill_tokens_per_s=reply.prefill_tokens_per_s,
        decode_tokens_per_s=reply.decode_tokens_per_s
        or max_decode_tokens_per_s
        or _DEFAULT_DECODE_TOKENS_PER_S,
        in_flight=reply.in_flight,
    )


def _tokens_saved_by_import(
    engine: RenderedEngine, reply: ProbeReply, exported_tokens: int
) -> int:
    """Returns the tokens of recomputation that an import saves.

    The time of the transfer is deducted.
    """
    if engine.transfer_tokens_per_s <= 0:
        return 0
    transfer_share = reply.prefill_tokens_per_s / engine.transfer_tokens_per_s
    return int(exported_tokens * max(0.0, 1 - transfer_share))
