"""Plans of fault runs: what is started, what callers do, what goes wrong."""

import enum

import pydantic

from masticdale_common import StrictModel


class FaultKind(enum.StrEnum):
    """What a fault run can bring about."""

    KILL_HOST = "kill_host"
    PAUSE_HOST = "pause_host"
    RESTART_HOST = "restart_host"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_LOSES_ANSWERS = "platform_loses_answers"
    ENGINE_CRASH = "engine_crash"
    ENGINE_FREEZES_STREAMS = "engine_freezes_streams"
    ENGINE_CROSSES_ANSWERS = "engine_crosses_answers"
    ENGINE_TRUNCATES = "engine_truncates"
    ENGINE_LEAVES = "engine_leaves"
    ENGINE_LISTED_LEAVING = "engine_listed_leaving"
    SERVICE_LOSES_ANSWERS = "service_loses_answers"
    SERVICE_REFUSES = "service_refuses"


class SystemPlan(StrictModel):
    """One fault run.

    Attributes:
        name: Stands in the report.
        seed: Of everything drawn at random.
        hosts: Number of daemons.
        engines: Model engines of each deployment.
        services: Plain services of each deployment.
        turns: Turns to acknowledge before no new program begins.
        programs_at_once: Programs under way at a time.
        steps: Steps of one program, most of them turns.
        max_tokens: Most tokens of an answer.
        tokens_per_s: Speed at which an engine generates one answer.
        service_ms: How long a service's operation takes.
        pause_ms: Longest tool pause.
        faults: What goes wrong, drawn evenly; empty for nothing.
        fault_period_s: Time from one fault's begin to the next one's.
        fault_s: How long a fault lasts.
        most_s: The run ends then, whatever is acknowledged.
        rolling_restart: Every host is stopped with SIGTERM and started again,
            one after the other, in the middle of the run.
    """

    name: str = pydantic.Field(min_length=1)
    seed: int
    hosts: int = pydantic.Field(default=4, ge=1)
    engines: int = pydantic.Field(default=3, ge=1)
    services: int = pydantic.Field(default=2, ge=1)
    turns: int = pydantic.Field(ge=1)
    programs_at_once: int = pydantic.Field(default=24, ge=1)
    steps: int = pydantic.Field(default=10, ge=1)
    max_tokens: int = pydantic.Field(default=24, ge=1)
    tokens_per_s: float = pydantic.Field(default=20_000, gt=0)
    service_ms: int = pydantic.Field(default=5, ge=0)
    pause_ms: int = pydantic.Field(default=100, ge=0)
    faults: tuple[FaultKind, ...] = ()
    fault_period_s: float = pydantic.Field(default=4.0, gt=0)
    fault_s: float = pydantic.Field(default=3.0, gt=0)
    most_s: float = pydantic.Field(default=600.0, gt=0)
    rolling_restart: bool = False
