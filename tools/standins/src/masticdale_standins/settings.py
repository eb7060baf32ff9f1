"""The settings of the stand-ins, each one JSON file."""

import pydantic

from masticdale_common import StrictModel

_Port = pydantic.Field(ge=1, le=65_535)
_NotNegative = pydantic.Field(default=0, ge=0)


class ListenSettings(StrictModel):
    """Where a stand-in listens.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str = "127.0.0.1"
    port: int = _Port


class PlatformSettings(ListenSettings):
    """The platform's object API.

    Attributes:
        hosts: Entry hosts on the list at start.
        upstreams: Names of upstreams on the list at start.
        hosts_lag_ms: How late the list shows a change.
        writes_per_s: Call budget of writes; 0 for no limit.
        reads_per_s: Call budget of all other calls; 0 for no limit.
    """

    hosts: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    hosts_lag_ms: int = _NotNegative
    writes_per_s: int = pydantic.Field(default=300, ge=0)
    reads_per_s: int = pydantic.Field(default=2000, ge=0)


class ModelSettings(StrictModel):
    """How fast a model engine is and what it remembers.

    Attributes:
        slots: Calls in the batch at once.
        prefill_tokens_per_s: Shared by all calls in prefill.
        decode_tokens_per_s: Of one call that decodes alone.
        decode_slowdown: How much each further call in the batch slows
            decoding: the rate is divided by 1 + slowdown * others.
        cache_tokens: Tokens that the prefix cache holds.
        block_tokens: Tokens of one cache block.
        restore_interval: Prefixes are matched only at multiples of so many
            tokens and at the ends of earlier prompts; 0 for any block.
        transfer_tokens_per_s: Speed of cache export and import.
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
    """A model engine.

    Attributes:
        name: Part of the incarnation that health shows.
        model: Speed and memory.
        obey_fencing: Whether smaller fencing numbers are refused.
        max_waiting: Calls that may wait for a slot; more get 429.
        line_interval_ms: Pause between text lines of one stream.
        keepalive_ms: Longest pause without a line.
        grace_ms: How long a call goes on without a reader.
        load_lag_ms: How often the load report is renewed.
        event_delay_ms: How late cache events appear.
        event_loss_share: Share of cache events that are lost.
        restart_ms: How long a crashed engine refuses calls.
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
    """A plain service.

    Attributes:
        name: Part of the incarnation that health shows.
        deduplicates: Whether a known key is answered without running again.
        duration_ms: How long an operation takes.
    """

    name: str = "service"
    deduplicates: bool = False
    duration_ms: int = _NotNegative
