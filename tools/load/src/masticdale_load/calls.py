"""Model calls: placement, admission, execution and retries."""

import asyncio
import dataclasses
import math

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_load.engine import EngineCall, EngineResult
from masticdale_load.experiments import PlacementKind, Policy
from masticdale_load.exports import ExportStore
from masticdale_load.gates import Withdrawn
from masticdale_load.homes import Probe, ReplicaHome, cache_key
from masticdale_load.measures import Counters
from masticdale_load.workloads import ProgramPlan
from masticdale_routing import (
    Affinity,
    BranchKey,
    Candidate,
    FailedAttempt,
    GiveUp,
    LeastCost,
    LeastInFlight,
    Location,
    PlacementRequest,
    PrefixRequest,
    Refused,
    RetryBudget,
    RetrySettings,
    RoundRobin,
    Ticket,
    TicketResult,
    choose_probes,
    decide_retry,
    place,
)
from masticdale_routing import Policy as PlacementPolicy

_MEAN_ANSWER_TOKENS = 150


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """The model call of one turn.

    Attributes:
        call_id: Id of the call.
        program: Program of the turn.
        branch: Branch of the turn.
        prompt_tokens: Tokens of the whole prompt.
        generated_tokens: Tokens to generate; placement does not see this.
        computed_tokens: Prompt tokens that an earlier call computed.
        attained_s: Service time that the program has received, in seconds.
        last_replica: Replica of the branch's last call; empty for a new
            branch.
    """

    call_id: str
    program: ProgramPlan
    branch: BranchKey
    prompt_tokens: int
    generated_tokens: int
    computed_tokens: int
    attained_s: float
    last_replica: str


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedCall:
    """A successful call.

    Attributes:
        replica: Replica that ran it.
        service_s: Seconds from admission to completion.
    """

    replica: str
    service_s: float


def create_placement(policy: Policy) -> PlacementPolicy:
    """Returns the placement policy selected by ``policy.placement``."""
    if policy.placement is PlacementKind.ROUND_ROBIN:
        return RoundRobin()
    if policy.placement is PlacementKind.LEAST_IN_FLIGHT:
        return LeastInFlight()
    if policy.placement is PlacementKind.AFFINITY:
        return Affinity()
    return LeastCost(policy.margin_s, policy.margin_share, policy.tie_s)


class ModelCaller:
    """Places calls, waits for admission, runs them and retries failures."""

    def __init__(
        self,
        homes: list[ReplicaHome],
        policy: Policy,
        exports: ExportStore,
        counters: Counters,
        hop_s: float,
    ) -> None:
        self._home_by_replica = {home.replica: home for home in homes}
        self._locations = [Location(h.replica, h.domain) for h in homes]
        self._policy = policy
        self._placement = create_placement(policy)
        self._exports = exports
        self._counters = counters
        self._hop_s = hop_s
        self._budget = RetryBudget(RetrySettings())
        self._loop = asyncio.get_running_loop()

    async def run(self, call: ModelCall) -> Result[CompletedCall, Failure]:
        """Runs a call until it succeeds or is given up.

        Returns:
            Replica and service time, or the failure that ended the call.
        """
        queued_at = self._loop.time()
        placements = 0
        failed_replicas: list[str] = []
        self._counters.calls += 1
        self._budget.record_first_attempt()
        while True:
            placements += 1
            probe = self._probe(call, f"{call.call_id}.{placements}", queued_at)
            result = await self._attempt(call, probe, failed_replicas)
            if isinstance(result, Withdrawn):
                continue
            if isinstance(result, Success):
                return result
            failure = result.failure()
            if failure.kind is ErrorKind.OVERLOADED:
                return result
            attempts = max(1, len(failed_replicas))
            attempt = FailedAttempt(failure, attempts, math.inf)
            decision = decide_retry(attempt, self._budget, self._loop.time())
            if isinstance(decision, GiveUp):
                return Failed(decision.failure)
            self._counters.retries += 1
            await asyncio.sleep(decision.delay_s)

    async def _attempt(
        self, call: ModelCall, probe: Probe, failed_replicas: list[str]
    ) -> Result[CompletedCall, Failure] | Withdrawn:
        candidates = self._candidates(call, probe, failed_replicas)
        request = PlacementRequest(
            call.program.program_id,
            call.prompt_tokens,
            _MEAN_ANSWER_TOKENS,
            call.last_replica,
        )
        placed = place(request, candidates, self._placement)
        if not isinstance(placed, Success):
            return Failed(placed.failure())
        placement = placed.unwrap()
        home = self._home_by_replica[placement.replica]
        # One hop for the probes and one for the call.
        await asyncio.sleep(2 * self._hop_s)
        ticket = dataclasses.replace(
            probe.ticket, uncached_tokens=placement.uncached_tokens
        )
        admission = await home.gate.wait(ticket, self._policy.reconsider_s)
        if isinstance(admission, Withdrawn):
            return admission
        if isinstance(admission, Refused):
            no_upstream = admission.failure.kind is ErrorKind.NO_UPSTREAM
            return Withdrawn() if no_upstream else Failed(admission.failure)
        self._counters.moves += placement.moved
        sent_probe = dataclasses.replace(probe, ticket=ticket)
        result = await self._run_on_engine(call, home, sent_probe)
        if not isinstance(result, Success):
            failed_replicas.append(home.replica)
        return result

    async def _run_on_engine(
        self, call: ModelCall, home: ReplicaHome, probe: Probe
    ) -> Result[CompletedCall, Failure]:
        started_at = self._loop.time()
        home.record_sent(probe.request)
        engine_call = EngineCall(
            cache_key(call.branch),
            call.program.kind,
            call.program.template_tokens,
            call.prompt_tokens,
            call.generated_tokens,
            probe.importable_tokens,
        )
        result = await home.engine.run(engine_call)
        service_s = self._loop.time() - started_at
        home.finish(
            probe.ticket.ticket_id,
            TicketResult(
                result.crashed,
                call.prompt_tokens,
                result.cached_tokens,
                call.generated_tokens,
                service_s,
                max(0.0, result.first_token_at - started_at),
            ),
        )
        if result.crashed:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED))
        self._count(call, result)
        tokens = call.prompt_tokens + call.generated_tokens
        home.index.record_finished(call.branch, tokens, self._loop.time())
        return Success(CompletedCall(home.replica, service_s))

    def _count(self, call: ModelCall, result: EngineResult) -> None:
        wasted = call.computed_tokens - result.cached_tokens
        self._counters.wasted_tokens += max(0, wasted)
        self._counters.prompt_tokens += call.prompt_tokens

    def _candidates(
        self, call: ModelCall, probe: Probe, failed_replicas: list[str]
    ) -> list[Candidate]:
        # A replica that just crashed looks idle and its index still lists the
        # prefix. Without the exclusion every retry returns to it.
        unavailable = {
            replica
            for replica, home in self._home_by_replica.items()
            if not home.usable or replica in failed_replicas
        }
        if self._policy.placement is not PlacementKind.COST:
            return [
                home.candidate(probe)
                for replica, home in self._home_by_replica.items()
                if replica not in unavailable
            ]
        count = self._policy.probes
        if call.last_replica:
            count = self._policy.own_probes
        excluded = {*unavailable, call.last_replica}
        key = probe.ticket.ticket_id
        probed = choose_probes(key, self._locations, count, excluded)
        if call.last_replica and call.last_replica not in unavailable:
            probed.append(call.last_replica)
        return [self._home_by_replica[r].candidate(probe) for r in probed]

    def _probe(
        self, call: ModelCall, ticket_id: str, queued_at: float
    ) -> Probe:
        program = call.program
        ticket = Ticket(
            ticket_id,
            "host",
            program.workspace,
            program.program_id,
            program.priority,
            queued_at,
            math.inf,
            call.attained_s,
            call.prompt_tokens,
        )
        request = PrefixRequest(
            call.branch,
            call.prompt_tokens,
            program.kind,
            program.template_tokens,
        )
        importable = self._exports.tokens(cache_key(call.branch))
        return Probe(ticket, request, importable)
