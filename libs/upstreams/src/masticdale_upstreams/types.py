"""What model engines and plain services offer, as the daemon sees them.

``ModelEngine`` and ``PlainService`` are the narrow interfaces; the modules
``engine`` and ``service`` speak HTTP, ``testing`` holds fakes.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One model call.

    Attributes:
        request_id: Unique per attempt; every chunk must carry it back.
        program_id: Owner of the engine memory the call leaves behind.
        branch_id: Branch of the program.
        prompt: The whole context as ordered parts: template, history, message.
        max_tokens: Most tokens to generate.
        deadline_s: Seconds from now after which the answer is worthless.
        fencing: Fencing number; an engine that obeys refuses smaller ones.
    """

    request_id: str
    program_id: str
    branch_id: str
    prompt: tuple[str, ...]
    max_tokens: int
    deadline_s: float
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Newly generated text.

    Attributes:
        offset: Characters of the answer before this chunk.
        text: The characters.
    """

    offset: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A whole answer, checked against the engine's end marker.

    Attributes:
        text: All generated text.
        prompt_tokens: Tokens of the prompt as the engine counted them.
        cached_tokens: Prompt tokens that came from the prefix cache.
        generated_tokens: Tokens generated.
    """

    text: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a replica last said of its load; it lags.

    Attributes:
        running: Calls in its batch.
        waiting: Calls it admitted and has not begun.
        cached_tokens: Tokens its prefix cache holds.
        cache_capacity: Tokens its prefix cache can hold.
        age_ms: How old the report was when it was sent.
    """

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Whether a replica serves.

    Attributes:
        incarnation: Changes with each restart; memory is lost with it.
        leaving: True once it takes no new work.
    """

    incarnation: str
    leaving: bool


class CacheEventKind(enum.StrEnum):
    """What happened to a program's prefix in an engine."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One cache event.

    Attributes:
        kind: What happened.
        program_id: Whose prefix.
        branch_id: Which branch's prefix.
        tokens: Prefix tokens held afterwards; 0 when evicted.
    """

    kind: CacheEventKind
    program_id: str
    branch_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """A batch of events, late and perhaps with a gap before it."""

    position: int
    events: tuple[CacheEvent, ...]
    gap: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CachedProgram:
    """Engine memory held for one program."""

    program_id: str
    tokens: int


class OrderKind(enum.StrEnum):
    """Orders that engines take."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: What to do.
        argument: Model, adapter, version or role.
        fencing: Number of the home that orders; grows with each home.
    """

    kind: OrderKind
    argument: str
    fencing: int


class ModelEngine(Protocol):
    """One replica of a model.

    Failures of ``generate``: NO_UPSTREAM (surely not run), UPSTREAM_FAILED
    (the replica died or broke off), OVERLOADED (it refused), DEADLINE_EXCEEDED.
    """

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Chunk], None]
    ) -> Result[Completion, Failure]:
        """Runs one call; a cut or silent stream is resumed by offset."""
        ...

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Stops a call that nobody waits for."""
        ...

    async def release(self, program_id: str) -> Result[None, Failure]:
        """Frees all memory held for a program; idempotent."""
        ...

    async def cached_programs(
        self,
    ) -> Result[tuple[CachedProgram, ...], Failure]:
        """Returns the programs that hold memory."""
        ...

    async def load_report(self) -> Result[LoadReport, Failure]:
        """Returns the latest load report."""
        ...

    async def health(self) -> Result[Health, Failure]:
        """Returns whether the replica serves."""
        ...

    async def cache_events(
        self, position: int, wait_s: float
    ) -> Result[CacheEvents, Failure]:
        """Returns cache events after a position."""
        ...

    async def export_cache(
        self, program_id: str, branch_id: str
    ) -> Result[str, Failure]:
        """Copies a prefix out of the engine and returns its handle."""
        ...

    async def import_cache(self, handle: str) -> Result[int, Failure]:
        """Loads an exported prefix and returns its tokens."""
        ...

    async def order(self, order: Order) -> Result[None, Failure]:
        """Gives an order; CONFLICT when its fencing number is old."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call of a plain service.

    Attributes:
        key: Idempotency key; the same for every send of one request.
        operation: Name of the operation.
        payload: JSON text.
        fencing: Epoch of the sender.
        timeout_s: Longest wait for the answer.
    """

    key: str
    operation: str
    payload: str
    fencing: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """A service's answer, matched to its key.

    Attributes:
        key: The request's idempotency key.
        result: JSON text.
    """

    key: str
    result: str


class PlainService(Protocol):
    """One replica of a plain service.

    Failures of ``call``: NO_UPSTREAM (surely not run: no connection was made
    or the service refused before running), OUTCOME_UNKNOWN (anything else),
    BAD_REQUEST (the service answered that the call is invalid; not run).
    """

    async def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        """Sends the request exactly once."""
        ...

    async def lookup(self, key: str) -> Result[ServiceReply | None, Failure]:
        """Returns what was done under a key, or None if nothing ever was."""
        ...

    async def health(self) -> Result[Health, Failure]:
        """Returns whether the service serves."""
        ...
