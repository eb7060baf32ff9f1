"""Seeded generation of programs: turns, pauses, sub-agents and arrivals."""

import dataclasses
import random
from collections.abc import Sequence

from masticdale_load.engine import EngineSpec
from masticdale_load.experiments import Experiment, ProgramKind, Tool

_REFERENCE_LOAD = 0.8
_SAMPLE_PROGRAMS = 20_000
_MAX_CONTEXT_TOKENS = 150_000
_MAX_SUB_AGENTS = 3
_SUB_AGENT_TURNS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class TurnPlan:
    """One turn and the tool pause after it.

    Attributes:
        new_tokens: Tokens that the turn adds to the prompt.
        generated_tokens: Tokens that the turn generates.
        sub_agents: Branches that run concurrently before the pause.
        tool: Name of the tool.
        pause_s: Duration of the tool call in seconds.
        served: Whether an application replica serves the tool.
    """

    new_tokens: int
    generated_tokens: int
    sub_agents: tuple["BranchPlan", ...]
    tool: str
    pause_s: float
    served: bool


@dataclasses.dataclass(frozen=True, slots=True)
class BranchPlan:
    """The turns of one branch, run in order.

    Attributes:
        turns: The turns; no pause follows the last.
    """

    turns: tuple[TurnPlan, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPlan:
    """One program.

    Attributes:
        program_id: Id of the program.
        kind: Name of the program kind.
        workspace: Workspace that runs it.
        priority: Priority class; 0 is the highest.
        template_tokens: Tokens of the template.
        arrives_at: Arrival time of the first turn, in seconds.
        root: Main branch.
    """

    program_id: str
    kind: str
    workspace: str
    priority: int
    template_tokens: int
    arrives_at: float
    root: BranchPlan


def turn_work_s(turn: TurnPlan, spec: EngineSpec) -> float:
    """Returns a turn's work in seconds of a fully utilized replica.

    Args:
        turn: The turn; its sub-agents are not counted.
        spec: Capacity and speed of the engine.
    """
    full_batch_rate = spec.decode_tokens_per_s(spec.slots) * spec.slots
    prefill_s = turn.new_tokens / spec.prefill_tokens_per_s
    return turn.generated_tokens / full_batch_rate + prefill_s * (
        1 - spec.decode_share
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """Resources that a branch needs on an otherwise idle deployment.

    Attributes:
        path_s: Length of the critical path in seconds.
        demand_s: Work in seconds of a fully utilized replica.
        token_s: Integral of the context tokens over time, in token-seconds.
    """

    path_s: float = 0.0
    demand_s: float = 0.0
    token_s: float = 0.0


def footprint(
    branch: BranchPlan, template_tokens: int, spec: EngineSpec
) -> Footprint:
    """Returns the footprint of a branch when every prefix stays cached.

    Args:
        branch: The branch.
        template_tokens: Tokens of the template, cached beforehand.
        spec: Capacity and speed of the engine.
    """
    path_s = demand_s = token_s = 0.0
    context = template_tokens
    last = len(branch.turns) - 1
    single_call_rate = spec.decode_tokens_per_s(1)
    for index, turn in enumerate(branch.turns):
        prefill_s = turn.new_tokens / spec.prefill_tokens_per_s
        children = [
            footprint(child, template_tokens, spec) for child in turn.sub_agents
        ]
        step_s = prefill_s + turn.generated_tokens / single_call_rate
        step_s += max((c.path_s for c in children), default=0.0)
        step_s += turn.pause_s if index < last else 0.0
        context += turn.new_tokens + turn.generated_tokens
        path_s += step_s
        token_s += (context - template_tokens) * step_s
        token_s += sum(c.token_s for c in children)
        demand_s += turn_work_s(turn, spec)
        demand_s += sum(c.demand_s for c in children)
    return Footprint(path_s, demand_s, token_s)


class ProgramGenerator:
    """Draws random programs of an experiment."""

    def __init__(self, experiment: Experiment) -> None:
        self._kinds = experiment.kinds
        self._random = random.Random(experiment.seed)
        self._count = 0

    def draw(self, arrives_at: float) -> ProgramPlan:
        """Returns the next program.

        Args:
            arrives_at: Arrival time in seconds.
        """
        shares = [kind.share for kind in self._kinds]
        kind = self._random.choices(self._kinds, shares)[0]
        self._count += 1
        workspace = f"{kind.name}-{self._random.randrange(kind.workspaces)}"
        root = self._branch(kind, self._turn_count(kind), kind.sub_agent_share)
        return ProgramPlan(
            f"p{self._count}",
            kind.name,
            workspace,
            kind.priority,
            kind.template_tokens,
            arrives_at,
            root,
        )

    def gap_s(self, rate: float) -> float:
        """Draws the seconds to the next arrival of a Poisson process.

        Args:
            rate: Programs per second.
        """
        return self._random.expovariate(rate)

    def _turn_count(self, kind: ProgramKind) -> int:
        low, high = float(kind.least_turns), float(kind.most_turns)
        ratio = (low / high) ** kind.tail
        uniform = self._random.random()
        turns = low / (1 - uniform * (1 - ratio)) ** (1 / kind.tail)
        return min(kind.most_turns, int(turns))

    def _branch(
        self, kind: ProgramKind, turn_count: int, sub_agent_share: float
    ) -> BranchPlan:
        turns: list[TurnPlan] = []
        context = kind.template_tokens
        for _ in range(turn_count):
            turn = self._turn(kind, sub_agent_share)
            context += turn.new_tokens + turn.generated_tokens
            if context > _MAX_CONTEXT_TOKENS:
                break
            turns.append(turn)
        return BranchPlan(tuple(turns))

    def _turn(self, kind: ProgramKind, sub_agent_share: float) -> TurnPlan:
        tool = self._random.choices(
            kind.tools, [tool.weight for tool in kind.tools]
        )[0]
        sub_agents: tuple[BranchPlan, ...] = ()
        if self._random.random() < sub_agent_share:
            count = self._random.randint(1, _MAX_SUB_AGENTS)
            sub_agents = tuple(self._sub_agent(kind) for _ in range(count))
        return TurnPlan(
            self._length(kind.mean_new_tokens),
            self._length(kind.mean_generated_tokens),
            sub_agents,
            tool.name,
            self._pause_s(tool),
            tool.served,
        )

    def _sub_agent(self, kind: ProgramKind) -> BranchPlan:
        turns = self._random.randint(1, _SUB_AGENT_TURNS)
        return self._branch(kind, turns, 0.0)

    def _length(self, mean: float) -> int:
        return max(1, int(self._random.gammavariate(2.0, mean / 2)))

    def _pause_s(self, tool: Tool) -> float:
        factor = self._random.lognormvariate(0.0, tool.sigma)
        return min(tool.longest_s, tool.median_s * factor)


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Mean demand of an experiment's programs.

    Attributes:
        rate_at_capacity: Programs per second that saturate all replicas.
        fill_tokens: Context tokens of the running programs at 80% load.
    """

    rate_at_capacity: float
    fill_tokens: float


def measure_demand(experiment: Experiment) -> Demand:
    """Estimates the mean demand from a sample with the experiment's seed."""
    spec = experiment.engine.spec()
    generator = ProgramGenerator(experiment)
    plans = [generator.draw(0.0) for _ in range(_SAMPLE_PROGRAMS)]
    footprints = [footprint(p.root, p.template_tokens, spec) for p in plans]
    demand_s = sum(p.demand_s for p in footprints) / len(footprints)
    token_s = sum(p.token_s for p in footprints) / len(footprints)
    rate = experiment.deployment.model_replicas / demand_s
    return Demand(rate, rate * _REFERENCE_LOAD * token_s)


def draw_programs(experiment: Experiment, rate: float) -> Sequence[ProgramPlan]:
    """Returns all programs of a run; they are the same for every policy.

    Args:
        experiment: The experiment.
        rate: Programs per second.
    """
    generator = ProgramGenerator(experiment)
    plans = []
    now = generator.gap_s(rate)
    while now < experiment.horizon_s:
        plans.append(generator.draw(now))
        now += generator.gap_s(rate)
    return plans
