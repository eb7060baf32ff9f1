"""Experiment files: deployment, engines, programs, policies and faults."""

import enum
import pathlib
from typing import Annotated, Literal

import pydantic
from returns.result import Result

from masticdale_common import Failure, StrictModel, settings
from masticdale_load.engine import EngineSpec
from masticdale_routing import QueueOrder

Positive = Annotated[float, pydantic.Field(gt=0)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]


class Deployment(StrictModel):
    """Who serves.

    Attributes:
        model_replicas: Number of model replicas.
        application_replicas: Number of application replicas.
        application_slots: Calls an application replica takes at once.
        failure_domains: Number of failure domains.
        hop_s: Seconds of one hop between failure domains.
    """

    model_replicas: int = pydantic.Field(gt=0)
    application_replicas: int = pydantic.Field(gt=0)
    application_slots: int = pydantic.Field(default=64, gt=0)
    failure_domains: int = pydantic.Field(default=4, gt=0)
    hop_s: float = 0.001


class Engine(StrictModel):
    """The fake engines; see ``EngineSpec`` for the fields.

    Attributes:
        export_fill: Tokens all exports may hold, as a share of what the
            programs under way at 80% load fill.
        report_period_s: Seconds between load reports.
        event_lag_s: Seconds by which cache events and load reports are late.
        event_loss: Share of cache events that get lost.
    """

    slots: int = pydantic.Field(default=8, gt=0)
    step_base_s: Positive = 0.02
    step_per_call_s: float = pydantic.Field(default=0.0004, ge=0)
    prefill_tokens_per_s: Positive = 10_000.0
    decode_share: Share = 0.5
    restore_interval: int = pydantic.Field(default=64, gt=0)
    transfer_tokens_per_s: float = 0.0
    export_fill: Positive = 1.0
    report_period_s: Positive = 1.0
    event_lag_s: Positive = 1.0
    event_loss: Share = 0.01

    def spec(self) -> EngineSpec:
        """Returns the engine's speeds as a data class."""
        names = EngineSpec.__dataclass_fields__
        return EngineSpec(**{name: getattr(self, name) for name in names})


class Tool(StrictModel):
    """A tool and how long it takes: log-normal, cut at the longest.

    Attributes:
        name: The tool.
        weight: How often it is called, relative to the others.
        median_s: Median duration.
        sigma: Standard deviation of the duration's logarithm.
        longest_s: Bound of the duration.
        served: Whether an application replica serves it; otherwise it only
            takes time, such as a person's answer.
    """

    name: str
    weight: Positive
    median_s: Positive
    sigma: Positive = 0.8
    longest_s: Positive = 300.0
    served: bool = True


class ProgramKind(StrictModel):
    """One kind of program.

    Attributes:
        name: The kind.
        share: Share of all programs.
        priority: Class; 0 is first.
        workspaces: Number of workspaces that run it.
        template_tokens: Tokens of system prompt and tools, shared.
        least_turns: Fewest turns.
        most_turns: Most turns.
        tail: Exponent of the bounded Pareto distribution of turns.
        mean_new_tokens: Mean tokens that a turn adds to the prompt.
        mean_generated_tokens: Mean tokens that a turn generates.
        sub_agent_share: Share of turns that start sub-agents.
        tools: What it calls between turns.
    """

    name: str
    share: Share
    priority: int = pydantic.Field(default=1, ge=0)
    workspaces: int = pydantic.Field(default=4, gt=0)
    template_tokens: int = pydantic.Field(default=3_000, gt=0)
    least_turns: int = pydantic.Field(default=1, gt=0)
    most_turns: int = pydantic.Field(default=160, gt=0)
    tail: Positive = 1.1
    mean_new_tokens: Positive = 700.0
    mean_generated_tokens: Positive = 150.0
    sub_agent_share: Share = 0.02
    tools: list[Tool] = pydantic.Field(min_length=1)


class PlacementKind(enum.StrEnum):
    """Names of the placement policies."""

    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"
    AFFINITY = "affinity"
    COST = "cost"


class PauseKind(enum.StrEnum):
    """What happens to prefixes in tool pauses."""

    KEEP = "keep"
    MODEL = "model"
    COPY = "copy"


class Policy(StrictModel):
    """One policy under test.

    Attributes:
        placement: How replicas are chosen.
        order: Order within a class and workspace.
        probes: Replicas asked for a new branch.
        own_probes: Replicas asked besides the one that has the prefix.
        margin_s: Least seconds that a move must save.
        margin_share: Least share of the staying cost it must save.
        tie_s: Costs that differ by less are settled by the calls in flight.
        age_bound_s: Tickets older than this go first.
        max_wait_s: Longest expected wait of a new program, by class.
        pause: What happens to prefixes in pauses: keep them, what the pause
            model decides, or export a copy and keep the prefix.
        reuse_share: How much the pause decision minds that a kept prefix
            displaces others.
        reconsider_s: A waiting call is placed anew after each such time; 0
            for never.
    """

    placement: PlacementKind = PlacementKind.COST
    order: QueueOrder = QueueOrder.ATTAINED_SERVICE
    probes: int = pydantic.Field(default=9, gt=0)
    own_probes: int = pydantic.Field(default=3, ge=0)
    margin_s: float = 1.0
    margin_share: float = 0.2
    tie_s: float = 0.25
    age_bound_s: Positive = 300.0
    max_wait_s: tuple[float, ...] = (90.0, 2.0, 1.0)
    pause: PauseKind = PauseKind.MODEL
    reuse_share: Share = 0.0
    reconsider_s: float = 0.0


class Fault(StrictModel):
    """What happens to model replica 0.

    Attributes:
        kind: Crash and restart, slow down, or leave for good.
        at_s: When.
        for_s: How long a crash or slowness lasts.
        speed: Speed while slow.
    """

    kind: Literal["none", "crash", "slow", "leave"] = "none"
    at_s: float = 900.0
    for_s: float = 120.0
    speed: float = 0.3


class Experiment(StrictModel):
    """A whole experiment: every load, cache, policy and fault is one run.

    Attributes:
        name: Its name.
        seed: Seed of everything that is drawn.
        horizon_s: Programs arrive this long; then the run drains.
        warmup_s: Programs that arrive earlier are run and not measured.
        deployment: Who serves.
        engine: The engines.
        kinds: The programs.
        loads: Arrivals as a share of capacity.
        fill_by_cache: Cache sizes, as a share of what the programs under way
            at 80% load fill.
        policy_by_name: The policies.
        fault_by_name: The faults.
    """

    name: str
    seed: int
    horizon_s: Positive = 1_800.0
    warmup_s: float = 300.0
    deployment: Deployment
    engine: Engine = pydantic.Field(default_factory=Engine)
    kinds: list[ProgramKind] = pydantic.Field(min_length=1)
    loads: list[Positive]
    fill_by_cache: dict[str, Positive]
    policy_by_name: dict[str, Policy]
    fault_by_name: dict[str, Fault]


def load_experiment(path: pathlib.Path) -> Result[Experiment, Failure]:
    """Reads and checks an experiment file.

    Args:
        path: The JSON file.

    Returns:
        The experiment, or INVALID_SETTINGS with each wrong field named.
    """
    return settings.load(path, Experiment)
