"""Settings of the fakes, read from one JSON file each."""

import pydantic

from masticdale_common import StrictModel

_Port = pydantic.Field(ge=1, le=65_535)
_NotNegative = pydantic.Field(default=0, ge=0)


class ListenSettings(StrictModel):
    """Listening address of a fake.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str = "127.0.0.1"
    port: int = _Port


class PlatformSettings(ListenSettings):
    """Settings of the platform's object API.

    Attributes:
        hosts: Entry hosts on the host list at start.
        upstreams: Names of upstreams on the host list at start.
        hosts_lag_ms: Delay of changes of the host list.
        writes_per_s: Rate limit of writes; 0 for none.
        reads_per_s: Rate limit of all other calls; 0 for none.
    """

    hosts: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    hosts_lag_ms: int = _NotNegative
    writes_per_s: int = pydantic.Field(default=300, ge=0)
    reads_per_s: int = pydantic.Field(default=2000, ge=0)


class ModelSettings(StrictModel):
    """Speed and cache of a model engine.

    Attributes:
        slots: Maximum number of calls in the batch.
        prefill_tokens_per_s: Prefill rate, shared by all calls in prefill.
        decode_tokens_per_s: Decode rate of a call that is alone in the batch.
        decode_slowdown: Slowdown of decoding per further call in the batch;
            the rate is divided by 1 + slowdown * others.
        cache_tokens: Capacity of the prefix cache.
        block_tokens: Tokens per cache block.
        restore_interval: Prefixes match only at multiples of this many tokens
            and at the ends of earlier prompts; 0 for any block.
        transfer_tokens_per_s: Rate of cache export and import.
    """

    slots: int = pydantic.Field(default=8, ge=1)
    prefill_tokens_per_s: float = pydantic.Field(default=8000, gt=0)
    decode_tokens_per_s: float = pydantic.Field(default=60, gt=0)
    decode_slowdown: float = pydantic.Field(default=0.05, ge=0)
    cache_tokens: int = pydantic.Field(default=2_000_000, ge=0)
    block_tokens: int = pydantic.Field(default=64, ge=1)
    restore_interval: int = _NotNegative
    transfer_tokens_per_s: float = pydantic.Field(default=400_000, gt=0)


class EngineSettings(ListenSettings):
    """Settings of a model engine.

    Attributes:
        name: Prefix of the incarnation that health reports.
        model: Speed and cache.
        obey_fencing: Whether stale fencing tokens are refused.
        max_waiting: Queue length above which calls get 429.
        line_interval_ms: Interval between text lines of a stream.
        keepalive_ms: Interval of empty lines while there is no text.
        grace_ms: Time after which a call without a reader is cancelled.
        load_lag_ms: Interval between updates of the load report.
        event_delay_ms: Delay of cache events.
        event_loss_share: Fraction of cache events that are lost.
        restart_ms: Time for which a crashed engine refuses calls.
        export_folder: Folder shared by engines for exported caches; empty to
            keep them in memory, for this engine only.
    """

    name: str = "engine"
    model: ModelSettings = ModelSettings()
    obey_fencing: bool = True
    max_waiting: int = pydantic.Field(default=1000, ge=0)
    line_interval_ms: int = pydantic.Field(default=20, ge=1)
    keepalive_ms: int = pydantic.Field(default=500, ge=1)
    grace_ms: int = pydantic.Field(default=10_000, ge=0)
    load_lag_ms: int = pydantic.Field(default=500, ge=1)
    event_delay_ms: int = pydantic.Field(default=200, ge=0)
    event_loss_share: float = pydantic.Field(default=0, ge=0, le=1)
    restart_ms: int = pydantic.Field(default=1000, ge=0)
    export_folder: str = ""


class ServiceSettings(ListenSettings):
    """Settings of a service.

    Attributes:
        name: Part of the incarnation that health reports.
        deduplicates: Whether a known key returns the recorded result.
        duration_ms: Duration of an operation.
    """

    name: str = "service"
    deduplicates: bool = False
    duration_ms: int = _NotNegative
