"""Runs programs: turns, sub-agents, tool pauses and the final release."""

import asyncio
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_load.calls import ModelCall, ModelCaller
from masticdale_load.engine import EngineSpec
from masticdale_load.measures import ProgramRecord, Window
from masticdale_load.pausing import PausedBranch, PauseManager
from masticdale_load.services import ServiceCall, Services
from masticdale_load.workloads import (
    BranchPlan,
    ProgramPlan,
    TurnPlan,
    footprint,
    turn_work_s,
)
from masticdale_routing import BranchKey

_ROOT_BRANCH = "0"


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of a running program, shared by its branches."""

    plan: ProgramPlan
    attained_s: float = 0.0
    work_s: float = 0.0
    calls: int = 0
    branches: int = 0
    failure: Failure | None = None

    def next_call_id(self) -> str:
        self.calls += 1
        return f"{self.plan.program_id}#{self.calls}"

    def next_branch(self) -> BranchKey:
        self.branches += 1
        return BranchKey(self.plan.program_id, str(self.branches - 1))


class ProgramRunner:
    """Runs programs on the simulated deployment."""

    def __init__(
        self,
        caller: ModelCaller,
        services: Services,
        pauses: PauseManager,
        spec: EngineSpec,
        window: Window,
    ) -> None:
        self._caller = caller
        self._spec = spec
        self._window = window
        self._services = services
        self._pauses = pauses
        self._computed_templates: set[str] = set()
        self._loop = asyncio.get_running_loop()

    async def run(self, plan: ProgramPlan) -> ProgramRecord:
        """Waits for a program's arrival, runs it and returns its record."""
        unloaded = footprint(plan.root, plan.template_tokens, self._spec)
        await asyncio.sleep(plan.arrives_at - self._loop.time())
        progress = _Progress(plan)
        result = await self._run_branch(progress, plan.root)
        for number in range(progress.branches):
            self._pauses.release_branch(BranchKey(plan.program_id, str(number)))
        failure = ""
        if not isinstance(result, Success):
            failure = str(result.failure().kind)
        return ProgramRecord(
            plan.kind,
            plan.priority,
            plan.arrives_at,
            self._loop.time(),
            unloaded.path_s,
            progress.work_s,
            failure,
        )

    async def _run_branch(
        self, progress: _Progress, branch: BranchPlan
    ) -> Result[None, Failure]:
        key = progress.next_branch()
        context = progress.plan.template_tokens
        replica = ""
        last = len(branch.turns) - 1
        for index, turn in enumerate(branch.turns):
            call = self._call(progress, key, context, turn, replica)
            result = await self._caller.run(call)
            if not isinstance(result, Success):
                return Failed(result.failure())
            self._computed_templates.add(progress.plan.kind)
            done = result.unwrap()
            replica = done.replica
            progress.attained_s += done.service_s
            if self._window.covers(self._loop.time()):
                progress.work_s += turn_work_s(turn, self._spec)
            context = call.prompt_tokens + turn.generated_tokens
            if turn.sub_agents:
                ended = await self._run_sub_agents(progress, turn)
                if not isinstance(ended, Success):
                    return ended
            if index < last:
                paused = PausedBranch(
                    key, progress.plan.kind, turn.tool, context, replica
                )
                await self._pause(progress, turn, paused)
        return Success(None)

    async def _run_sub_agents(
        self, progress: _Progress, turn: TurnPlan
    ) -> Result[None, Failure]:
        results = await asyncio.gather(
            *(self._run_branch(progress, child) for child in turn.sub_agents)
        )
        failed = [r for r in results if not isinstance(r, Success)]
        return failed[0] if failed else Success(None)

    async def _pause(
        self, progress: _Progress, turn: TurnPlan, paused: PausedBranch
    ) -> None:
        started_at = self._loop.time()
        self._pauses.begin(paused)
        plan = progress.plan
        if turn.served:
            await self._services.run(
                ServiceCall(
                    progress.next_call_id(),
                    plan.program_id,
                    plan.workspace,
                    plan.priority,
                    turn.pause_s,
                )
            )
        else:
            await asyncio.sleep(turn.pause_s)
        self._pauses.record_pause(paused, self._loop.time() - started_at)

    def _call(
        self,
        progress: _Progress,
        key: BranchKey,
        context: int,
        turn: TurnPlan,
        replica: str,
    ) -> ModelCall:
        plan = progress.plan
        is_prefix_computed = replica or plan.kind in self._computed_templates
        return ModelCall(
            progress.next_call_id(),
            plan,
            key,
            context + turn.new_tokens,
            turn.generated_tokens,
            context if is_prefix_computed else 0,
            progress.attained_s,
            replica,
        )
