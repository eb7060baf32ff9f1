"""Plans of fault runs: processes, workload and faults."""

import enum

import pydantic

from masticdale_common import StrictModel


class FaultKind(enum.StrEnum):
    """Kinds of faults that a fault run can inject."""

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
    """Plan of one fault run.

    Attributes:
        name: Name shown in the report.
        seed: Seed of all random draws.
        hosts: Number of hosts.
        engines: Number of model engines per deployment.
        services: Number of plain services per deployment.
        turns: Acknowledged turns after which no new program starts.
        programs_at_once: Number of concurrent programs.
        steps: Steps of one program, most of them turns.
        max_tokens: Maximum tokens of an answer.
        tokens_per_s: Generation speed of one answer.
        service_ms: Duration of a service operation in milliseconds.
        pause_ms: Maximum tool pause in milliseconds.
        faults: Faults to draw from with equal probability; empty for none.
        fault_period_s: Seconds between the starts of two faults.
        fault_s: Duration of a fault in seconds.
        most_s: Seconds after which the run ends, whatever is acknowledged.
        rolling_restart: Whether every host is restarted in turn with SIGTERM
            in the middle of the run.
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
