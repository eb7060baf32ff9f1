"""Schema of experiment files."""

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
    """Size and topology of the deployment.

    Attributes:
        model_replicas: Number of model replicas.
        application_replicas: Number of application replicas.
        application_slots: Concurrent calls per application replica.
        failure_domains: Number of failure domains.
        hop_s: Latency of one hop between failure domains in seconds.
    """

    model_replicas: int = pydantic.Field(gt=0)
    application_replicas: int = pydantic.Field(gt=0)
    application_slots: int = pydantic.Field(default=64, gt=0)
    failure_domains: int = pydantic.Field(default=4, gt=0)
    hop_s: float = 0.001


class Engine(StrictModel):
    """The simulated engines; ``EngineSpec`` describes the other fields.

    Attributes:
        export_fill: Capacity of the export store, as a share of the context
            tokens of the running programs at 80% load.
        report_period_s: Seconds between load reports.
        event_lag_s: Delay of cache events and load reports in seconds.
        event_loss: Share of cache events that are lost.
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
        """Returns the capacity and speed of an engine."""
        names = EngineSpec.__dataclass_fields__
        return EngineSpec(**{name: getattr(self, name) for name in names})


class Tool(StrictModel):
    """A tool with a truncated log-normal duration.

    Attributes:
        name: Name of the tool.
        weight: Relative frequency of its calls.
        median_s: Median duration in seconds.
        sigma: Standard deviation of the duration's logarithm.
        longest_s: Maximum duration in seconds.
        served: Whether an application replica serves it. Other tools only
            take time, for example to wait for a person.
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
        name: Name of the kind.
        share: Share of all programs.
        priority: Priority class; 0 is the highest.
        workspaces: Number of workspaces that run it.
        template_tokens: Tokens of the shared system prompt and tools.
        least_turns: Minimum number of turns.
        most_turns: Maximum number of turns.
        tail: Exponent of the bounded Pareto distribution of turns.
        mean_new_tokens: Mean tokens that a turn adds to the prompt.
        mean_generated_tokens: Mean tokens that a turn generates.
        sub_agent_share: Share of turns that start sub-agents.
        tools: Tools called between turns.
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
    """Handling of prefixes during tool pauses."""

    KEEP = "keep"
    MODEL = "model"
    COPY = "copy"


class Policy(StrictModel):
    """One policy under test.

    Attributes:
        placement: Placement policy.
        order: Queue order within a priority class and workspace.
        probes: Number of replicas probed for a new branch.
        own_probes: Number of replicas probed besides the one that caches the
            prefix.
        margin_s: Minimum saving of a move in seconds.
        margin_share: Minimum saving of a move, as a share of the cost of
            staying.
        tie_s: Costs within this many seconds of each other are equal; the
            calls in flight break the tie.
        age_bound_s: Tickets that waited longer than this go first.
        max_wait_s: Maximum expected wait of a new program in seconds, by
            priority class.
        pause: Handling of prefixes in pauses: keep them, apply the pause
            model, or export a copy and keep the prefix.
        reuse_share: Share of evicted tokens that are requested again; weighs
            the cost of keeping a prefix.
        reconsider_s: Interval at which a waiting call is placed again, in
            seconds; 0 for never.
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
    """A fault of model replica 0.

    Attributes:
        kind: Crash with restart, slowdown, or permanent departure.
        at_s: Start of the fault in seconds.
        for_s: Duration of a crash or slowdown in seconds.
        speed: Speed during a slowdown, as a share of the normal speed.
    """

    kind: Literal["none", "crash", "slow", "leave"] = "none"
    at_s: float = 900.0
    for_s: float = 120.0
    speed: float = 0.3


class Experiment(StrictModel):
    """An experiment: one run per load, cache size, policy and fault.

    Attributes:
        name: Name of the experiment.
        seed: Seed of all random draws.
        horizon_s: Duration of arrivals in seconds; then the run drains.
        warmup_s: Programs that arrive before this time are not measured.
        deployment: Size and topology of the deployment.
        engine: The simulated engines.
        kinds: Kinds of programs.
        loads: Arrival rates as a share of capacity.
        fill_by_cache: Cache sizes by name, as a share of the context tokens
            of the running programs at 80% load.
        policy_by_name: Policies by name.
        fault_by_name: Faults by name.
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
    """Reads and validates an experiment file.

    Args:
        path: The JSON file.

    Returns:
        The experiment, or INVALID_SETTINGS naming each invalid field.
    """
    return settings.load(path, Experiment)
