"""The declarations operators write: templates, workspaces and upstreams.

The models validate external input: they are strict, reject unknown fields and
are read from JSON only.
"""

import dataclasses
import enum
import functools
import hashlib
import ipaddress
from typing import Annotated, Literal

import orjson
import pydantic
from pydantic import Field, StringConstraints
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, StrictModel
from masticdale_config import canonical, problems

HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 3
DEFAULT_PRIORITY = 1
MAX_DECLARATION_BYTES = 400_000

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")
]
ParameterName = Annotated[
    str, StringConstraints(pattern=r"^[a-z][a-z0-9_]{0,62}$")
]
ModelName = Annotated[str, StringConstraints(min_length=1, max_length=200)]
OperationName = Annotated[
    str, StringConstraints(pattern=r"^[a-z][a-z0-9_.-]{0,62}$")
]
Sha256Hex = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, Field(ge=1, le=2**53)]
Seconds = Annotated[float, Field(gt=0, le=31_536_000)]
ParameterValue = bool | int | float | str


class Kind(enum.StrEnum):
    """Kinds of declarations."""

    TEMPLATE = "Template"
    WORKSPACE = "Workspace"
    UPSTREAM = "Upstream"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class DeclarationKey:
    """Kind and name of a declaration, which together are unique.

    Attributes:
        kind: Its kind.
        name: Its name, unique within the kind.
    """

    kind: Kind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class _InputModel(StrictModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ParameterType(enum.StrEnum):
    """Types of template parameters."""

    STRING = "string"
    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "boolean"


class Parameter(_InputModel):
    """One parameter of a template.

    Attributes:
        type: Type of its value.
        description: Help text for operators.
        default: Value if a workspace sets none; without it the parameter is
            required.
        minimum: Smallest number or shortest string allowed.
        maximum: Largest number or longest string allowed.
        choices: If not empty, the only values allowed.
    """

    type: ParameterType
    description: str = ""
    default: ParameterValue | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[ParameterValue, ...] = ()


class ProgramBudget(_InputModel):
    """Resource limits of one program.

    Attributes:
        tokens: Prompt and generated tokens together.
        calls: Calls of models and services together.
        turns: Calls of models.
        wall_time_s: Time from its start to its end.
    """

    tokens: Count
    calls: Count
    turns: Count
    wall_time_s: Seconds


class ProgramKind(_InputModel):
    """A kind of program that a workspace runs, after substitution.

    Attributes:
        name: Name by which callers start it.
        model: Model that serves its turns.
        system_prompt: Text before each program's history.
        priority: 0 is the highest; 3 is the lowest and is shed first.
        budget: Budget of each program.
        tools: Service operations it may call.
        max_tokens: Tokens a turn may generate if the call sets no limit.
    """

    name: Name
    model: ModelName
    system_prompt: str = ""
    priority: int = Field(
        default=DEFAULT_PRIORITY, ge=HIGHEST_PRIORITY, le=LOWEST_PRIORITY
    )
    budget: ProgramBudget
    tools: tuple[OperationName, ...] = ()
    max_tokens: Count = 1024


class TemplateSpec(_InputModel):
    """The body of a template.

    Attributes:
        parameters: Parameters that a workspace sets, by name.
        programs: Program kinds; any value may be or contain ``${parameter}``.
    """

    parameters: dict[ParameterName, Parameter] = Field(default_factory=dict)
    programs: tuple[dict[str, pydantic.JsonValue], ...] = Field(min_length=1)


class WorkspaceBudget(_InputModel):
    """Concurrency and token limits of one workspace.

    Attributes:
        programs: Programs running at once.
        turns: Turns queued or running at once.
        tokens_per_hour: Tokens in any hour; unlimited if omitted.
    """

    programs: Count = 1000
    turns: Count = 200
    tokens_per_hour: Count | None = None


class WorkspaceLimits(_InputModel):
    """Limits on single requests and programs.

    Attributes:
        request_bytes: Maximum size of one caller request.
        branches_per_program: Maximum number of sub-agents of one program.
        requests_per_s: Caller requests admitted in a second on each host.
    """

    request_bytes: Count = 262_144
    branches_per_program: Count = 32
    requests_per_s: Count = 500


class CallerKey(_InputModel):
    """A caller key, stored as its digest.

    Attributes:
        name: Shown in logs instead of the key.
        sha256: SHA-256 digest of the key, in hexadecimal.
    """

    name: Name
    sha256: Sha256Hex


class WorkspaceSpec(_InputModel):
    """A workspace with its own callers.

    Attributes:
        template: Name of its template.
        parameters: Values for the template's parameters.
        upstreams: Names of the upstreams it may use.
        budget: Concurrency and token limits of the workspace.
        weight: Its share within one priority, relative to other workspaces.
        caller_keys: Keys that authenticate its callers.
        limits: Limits on single requests and programs.
    """

    template: Name
    parameters: dict[ParameterName, ParameterValue] = Field(
        default_factory=dict
    )
    upstreams: tuple[Name, ...] = Field(min_length=1)
    budget: WorkspaceBudget = WorkspaceBudget()
    weight: float = Field(default=1.0, gt=0, le=1000)
    caller_keys: tuple[CallerKey, ...] = ()
    limits: WorkspaceLimits = WorkspaceLimits()


class Fencing(enum.StrEnum):
    """Whether an upstream rejects requests with a stale fencing token."""

    OBEYED = "obeyed"
    IGNORED = "ignored"


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
        raise ValueError("the port must be between 1 and 65535")
    return address


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _UpstreamBase(_InputModel):
    address: Address
    failure_domain: Name
    replica: str = ""
    fencing: Fencing
    draining: bool = False


class EngineOrder(_InputModel):
    """A command that is sent to an engine.

    Attributes:
        kind: What the engine loads or changes.
        argument: Name of the model, adapter, version or role.
    """

    kind: Literal["load_model", "load_adapter", "load_version", "change_role"]
    argument: Annotated[str, StringConstraints(min_length=1, max_length=200)]


class EngineSpec(_UpstreamBase):
    """One replica of a model.

    Attributes:
        role: ``model``.
        address: IP address and port; an IPv6 address in brackets.
        failure_domain: Failure domain that it belongs to.
        replica: Its name in the platform's replica list; the declaration's
            name by default.
        fencing: Whether it rejects commands with a stale fencing token.
        draining: True to send it no new work.
        model: Model it serves.
        slots: Initial limit on calls in flight.
        prefill_tokens_per_s: Prefill speed for prompt tokens not in the cache.
        restore_interval: Distance between the positions at which a cached
            prefix can be resumed; 1 if it can be resumed at any token.
        cache_tokens: Capacity of its prefix cache.
        transfer_tokens_per_s: Speed at which it exports and imports cached
            prefixes; 0 if it cannot.
        orders: Commands sent after each of its starts, in this order.
    """

    role: Literal["model"]
    model: ModelName
    slots: Count = 8
    prefill_tokens_per_s: float = Field(gt=0)
    restore_interval: Count = 1
    cache_tokens: Count
    transfer_tokens_per_s: float = Field(default=0, ge=0)
    orders: tuple[EngineOrder, ...] = Field(default=(), max_length=32)


class Operation(_InputModel):
    """One operation of a service.

    Attributes:
        repeatable: False if running it twice is harmful.
    """

    repeatable: bool


class ServiceSpec(_UpstreamBase):
    """One replica of a service that is not a model.

    Attributes:
        role: ``service``.
        address: IP address and port; an IPv6 address in brackets.
        failure_domain: Failure domain that it belongs to.
        replica: Its name in the platform's replica list; the declaration's
            name by default.
        fencing: Whether it rejects calls with a stale fencing token.
        draining: True to send it no new work.
        operations: Operations it offers, by name.
        lookup: True if it can look up the outcome of a call by its
            idempotency key.
        timeout_s: Timeout of one call.
    """

    role: Literal["service"]
    operations: dict[OperationName, Operation] = Field(min_length=1)
    lookup: bool
    timeout_s: Seconds = 30.0


UpstreamSpec = Annotated[EngineSpec | ServiceSpec, Field(discriminator="role")]


class _Declaration(_InputModel):
    @functools.cached_property
    def digest(self) -> str:
        """Digest of the declaration, used to detect conflicting edits."""
        # Cached, because each rendering reads the digests of thousands of
        # declarations.
        return canonical.digest(self)


class Template(_Declaration):
    """A template declaration."""

    kind: Literal["Template"]
    name: Name
    spec: TemplateSpec


class Workspace(_Declaration):
    """A workspace declaration."""

    kind: Literal["Workspace"]
    name: Name
    spec: WorkspaceSpec


class Upstream(_Declaration):
    """An upstream declaration."""

    kind: Literal["Upstream"]
    name: Name
    spec: UpstreamSpec


Declaration = Template | Workspace | Upstream
AnyDeclaration = Annotated[Declaration, Field(discriminator="kind")]

_MODEL_BY_KIND: dict[str, type[Declaration]] = {
    Kind.TEMPLATE: Template,
    Kind.WORKSPACE: Workspace,
    Kind.UPSTREAM: Upstream,
}
_ROLE_TAGS = frozenset({"model", "service"})


def key_of(declaration: Declaration) -> DeclarationKey:
    """Returns the key of a declaration."""
    return DeclarationKey(Kind(declaration.kind), declaration.name)


def caller_key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is stored.

    Keys are long random strings, so an unsalted hash resists guessing.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse(text: bytes | str) -> Result[Declaration, Failure]:
    """Parses one declaration.

    Args:
        text: A JSON object with ``kind``, ``name`` and ``spec``.

    Returns:
        The declaration, or BAD_REQUEST with the path of each invalid field.
    """
    if len(text) > MAX_DECLARATION_BYTES:
        detail = f"a declaration has at most {MAX_DECLARATION_BYTES} bytes"
        return Failed(Failure(ErrorKind.TOO_LARGE, detail))
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return _invalid("(whole)", f"not JSON: {error}")
    if not isinstance(value, dict):
        return _invalid("(whole)", "must be an object with kind, name and spec")
    kind = value.get("kind")
    model = _MODEL_BY_KIND.get(kind) if isinstance(kind, str) else None
    if model is None:
        return _invalid("kind", f"must be one of {', '.join(Kind)}")
    prefix = f"{kind}/{value.get('name', '?')}"
    try:
        return Success(model.model_validate_json(text))
    except pydantic.ValidationError as error:
        found = problems.from_validation(error, prefix, _ROLE_TAGS)
        return Failed(problems.to_failure(found))


def _invalid(path: str, message: str) -> Failed[Failure]:
    return Failed(problems.to_failure([problems.FieldProblem(path, message)]))
