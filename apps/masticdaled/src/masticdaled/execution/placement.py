"""Placement of a call: probes of a few homes, then the routing library."""

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
from masticdaled.cluster import MOVING_KINDS, Cluster
from masticdaled.directory import UpstreamDirectory
from masticdaled.execution.runs import Run, prefix_note
from masticdaled.execution.tool_pauses import CacheKeeper

_PROBE_TIMEOUT_S = 0.5
_PROBES = 3
_PROBES_OF_NEW_BRANCH = 9
_GUESS = 50.0  # Tokens a second, where no probed replica has served yet.


class Placer:
    """Places calls by the cost in seconds that the homes tell."""

    def __init__(
        self,
        cluster: Cluster,
        in_force: ActiveConfig,
        directory: UpstreamDirectory,
        keeper: CacheKeeper,
    ) -> None:
        self._cluster = cluster
        self._in_force = in_force
        self._directory = directory
        self._keeper = keeper
        self._policy = LeastCost()

    async def place(self, run: Run) -> Result[Placement, Failure]:
        """Probes a few replicas and chooses among them.

        Args:
            run: The call; what the homes told is noted in it.

        Returns:
            The placement, or NO_UPSTREAM.
        """
        engines = self._usable_engines(run)
        if not engines:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, run.call.model))
        engine_by_name = {engine.name: engine for engine in engines}
        locations = [Location(e.name, e.failure_domain) for e in engines]
        last = run.call.replica
        # A new branch stays where it begins, so many are asked
        # (docs/POLICY.md).
        count = _PROBES if last in engine_by_name else _PROBES_OF_NEW_BRANCH
        names = choose_probes(run.run_id, locations, count)
        if last in engine_by_name and last not in names:
            names = [last, *names]
        replies = await asyncio.gather(
            *(self._probe(run, name) for name in names)
        )
        run.reply_by_replica.update(zip(names, replies, strict=True))
        importable = self._keeper.importable_tokens(run.call)
        fastest = max(reply.decode_tokens_per_s for reply in replies)
        candidates = [
            _candidate(engine_by_name[name], reply, fastest, importable)
            for name, reply in zip(names, replies, strict=True)
        ]
        request = PlacementRequest(
            run.call.program_id,
            run.prompt_tokens,
            run.call.max_tokens,
            last if last in engine_by_name else "",
        )
        placed = place(request, candidates, self._policy)
        if isinstance(placed, Success):
            return placed
        if any(_is_moving(reply) for reply in replies):
            # Not refused: a host that stops has given its homes up and the
            # next ones have not yet heard of it.
            return Failed(Failure(ErrorKind.NOT_OWNER, "homes are moving"))
        # Those probed are full or gone; the next try probes others.
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
            if self._directory.may_get_work(engine)
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
        reply = await self._ask(self._cluster.home_of(replica), request)
        if reply.failure is None or not reply.failure.host:
            return reply
        return await self._ask(reply.failure.host, request)

    async def _ask(self, home: str, request: ProbeRequest) -> ProbeReply:
        outcome = await self._cluster.calls(home).probe(
            request, _PROBE_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return ProbeReply(failure=outcome.failure())
        return outcome.unwrap()


def _is_moving(reply: ProbeReply) -> bool:
    return reply.failure is not None and reply.failure.kind in MOVING_KINDS


def _candidate(
    engine: RenderedEngine, reply: ProbeReply, fastest: float, importable: int
) -> Candidate:
    """Returns a probed replica as placement sees it.

    A replica that has served nothing yet counts as fast as the fastest: with
    a guess of its own it would look slow and never be tried.
    """
    if reply.failure is not None or not reply.usable:
        return Candidate(engine.name, engine.failure_domain, usable=False)
    return Candidate(
        engine.name,
        engine.failure_domain,
        expected_wait_s=reply.expected_wait_ms / 1000,
        cached_tokens=max(
            reply.cached_tokens, _import_worth(engine, reply, importable)
        ),
        prefill_tokens_per_s=reply.prefill_tokens_per_s,
        decode_tokens_per_s=reply.decode_tokens_per_s or fastest or _GUESS,
        in_flight=reply.in_flight,
    )


def _import_worth(
    engine: RenderedEngine, reply: ProbeReply, importable: int
) -> int:
    """Returns what an import saves, in tokens that need not be computed."""
    if engine.transfer_tokens_per_s <= 0:
        return 0
    spent = reply.prefill_tokens_per_s / engine.transfer_tokens_per_s
    return int(importable * max(0.0, 1 - spent))
