"""JSON messages between the daemon and its upstreams.

Model engine:
    POST /v1/generate  GenerateBody   200 application/x-ndjson: StreamLine...
    GET  /v1/streams/{request_id}?offset=n  200 the lines from offset n; 404
    DELETE /v1/streams/{request_id}   204, also when unknown
    GET  /v1/load                     200 LoadBody
    GET  /v1/health                   200 HealthBody
    GET  /v1/cache/events?position=&wait_ms=  200 CacheEventsBody
    GET  /v1/cache/programs           200 CachedProgramsBody
    DELETE /v1/cache/programs/{id}    204, also when unknown
    POST /v1/cache/export ExportBody  200 ExportedBody; 404
    POST /v1/cache/import ImportBody  200 ImportedBody; 404
    POST /v1/orders    OrderBody      200; 409 fencing number is old
Plain service:
    POST /v1/operations/{operation}   Idempotency-Key, Fencing;
                                      OperationBody -> 200 OutcomeBody
    GET  /v1/operations/by-key/{key}  200 OutcomeBody; 404 UnknownKeyBody
    GET  /v1/health                   200 HealthBody
Offsets and lengths count characters. A text line with empty text is a
keep-alive while the call waits for a slot or for its prefill. 503 with
``X-Not-Run: true`` means that the call was refused before it was executed.
"""

from typing import Literal

import pydantic

from masticdale_upstreams.types import CacheEventKind, OrderKind

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
FENCING_HEADER = "Fencing"
NOT_RUN_HEADER = "X-Not-Run"
NOT_RUN_VALUE = "true"
NDJSON = "application/x-ndjson"


class WireModel(pydantic.BaseModel):
    """A message; unknown fields are ignored for forward compatibility."""

    model_config = pydantic.ConfigDict(frozen=True)


class GenerateBody(WireModel):
    """One model call."""

    request_id: str = pydantic.Field(min_length=1)
    program_id: str = pydantic.Field(min_length=1)
    branch_id: str
    prompt: tuple[str, ...]
    max_tokens: int = pydantic.Field(ge=1)
    deadline_ms: int = pydantic.Field(gt=0)
    fencing: int = pydantic.Field(ge=0)


class TextLine(WireModel):
    """Newly generated text; empty text keeps the stream alive."""

    request_id: str
    offset: int
    text: str


class EndLine(WireModel):
    """The end marker, which shows whether the text is complete."""

    request_id: str
    done: Literal[True]
    length: int
    digest: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


StreamLine = TextLine | EndLine


class LoadBody(WireModel):
    """A load report."""

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity: int
    age_ms: int


class HealthBody(WireModel):
    """Health of an upstream."""

    incarnation: str
    leaving: bool


class CacheEventBody(WireModel):
    """One cache event."""

    kind: CacheEventKind
    program_id: str
    branch_id: str
    tokens: int


class CacheEventsBody(WireModel):
    """Cache events after a position."""

    position: int
    events: tuple[CacheEventBody, ...]
    gap: bool


class CachedProgramBody(WireModel):
    """A program with tokens in the engine's prefix cache."""

    program_id: str
    tokens: int


class CachedProgramsBody(WireModel):
    """All programs in the engine's prefix cache."""

    programs: tuple[CachedProgramBody, ...]


class ExportBody(WireModel):
    """Prefix to export."""

    program_id: str
    branch_id: str


class ExportedBody(WireModel):
    """Handle of an exported prefix."""

    handle: str
    tokens: int


class ImportBody(WireModel):
    """Exported prefix to load."""

    handle: str


class ImportedBody(WireModel):
    """Number of tokens loaded."""

    tokens: int


class OrderBody(WireModel):
    """An order to an engine."""

    kind: OrderKind
    argument: str
    fencing: int


class OperationBody(WireModel):
    """One call of a plain service; the payload is JSON text."""

    payload: str


class OutcomeBody(WireModel):
    """Result stored for an idempotency key, as JSON text."""

    key: str
    result: str


class UnknownKeyBody(WireModel):
    """The service's statement that a key was never executed."""

    key: str
