"""The declarations operators write: templates, workspaces and upstreams.

These are border models: strict, without unknown fields, read from JSON only.
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
    """Kind and name of a declaration, unique among all.

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
        description: For the operator who fills it in.
        default: Value where a workspace gives none; without one it must.
        minimum: Smallest number or shortest string allowed.
        maximum: Largest number or longest string allowed.
        choices: Where not empty, the only values allowed.
    """

    type: ParameterType
    description: str = ""
    default: ParameterValue | None = None
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[ParameterValue, ...] = ()


class ProgramBudget(_InputModel):
    """What one program may use at most.

    Attributes:
        tokens: Prompt and generated tokens together.
        calls: Calls of models and services together.
        turns: Calls of models.
        wall_time_s: Seconds from its start to its end.
    """

    tokens: Count
    calls: Count
    turns: Count
    wall_time_s: Seconds


class ProgramKind(_InputModel):
    """A kind of program that a workspace runs, after substitution.

    Attributes:
        name: Name callers start it by.
        model: Model that serves its turns.
        system_prompt: Text before each program's history.
        priority: 0 is first class, 3 is shed first.
        budget: Budget of each program.
        tools: Service operations it may call.
        max_tokens: Tokens a turn may generate where the call names no limit.
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
    """A template's body.

    Attributes:
        parameters: What a workspace may fill in, by name.
        programs: Program kinds; any value may be or hold ``${parameter}``.
    """

    parameters: dict[ParameterName, Parameter] = Field(default_factory=dict)
    programs: tuple[dict[str, pydantic.JsonValue], ...] = Field(min_length=1)


class WorkspaceBudget(_InputModel):
    """What one workspace may use at a time.

    Attributes:
        programs: Programs under way at once.
        turns: Turns queued or running at once.
        tokens_per_hour: Tokens in any hour; no limit where left out.
    """

    programs: Count = 1000
    turns: Count = 200
    tokens_per_hour: Count | None = None


class WorkspaceLimits(_InputModel):
    """Bounds on single requests and programs.

    Attributes:
        request_bytes: Size of one caller request.
        branches_per_program: Sub-agents of one program.
        requests_per_s: Caller requests admitted in a second on each host.
    """

    request_bytes: Count = 262_144
    branches_per_program: Count = 32
    requests_per_s: Count = 500


class CallerKey(_InputModel):
    """A caller's key, stored as its digest.

    Attributes:
        name: Shown in logs in place of the key.
        sha256: What ``caller_key_digest`` returns for the key.
    """

    name: Name
    sha256: Sha256Hex


class WorkspaceSpec(_InputModel):
    """A workspace: one brand with its own callers.

    Attributes:
        template: Template that it fills in.
        parameters: Values for the template's parameters.
        upstreams: Names of the upstreams it may use.
        budget: What it may use at a time.
        weight: Its share within one priority, relative to the others'.
        caller_keys: Keys its callers show.
        limits: Bounds on single requests and programs.
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
    """What an upstream does with an order whose fencing number is old."""

    OBEYED = "obeyed"
    IGNORED = "ignored"


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        ipaddress.IPv6Address(host[1:-1])
    else:
        ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 2**16):
        raise ValueError("the port must lie between 1 and 65535")
    return address


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _UpstreamBase(_InputModel):
    address: Address
    failure_domain: Name
    replica: str = ""
    fencing: Fencing
    draining: bool = False


class EngineOrder(_InputModel):
    """Something an engine is told to load or to be.

    Attributes:
        kind: What to do.
        argument: Model, adapter, version or role.
    """

    kind: Literal["load_model", "load_adapter", "load_version", "change_role"]
    argument: Annotated[str, StringConstraints(min_length=1, max_length=200)]


class EngineSpec(_UpstreamBase):
    """One replica of a model.

    Attributes:
        role: ``model``.
        address: IP number and port; an IPv6 number in brackets.
        failure_domain: Where it stands.
        replica: Its name on the platform's list; the declaration's by default.
        fencing: Whether it refuses orders with an old fencing number.
        draining: True to give it no new work.
        model: Model it serves.
        slots: Calls in flight to begin with.
        prefill_tokens_per_s: Speed at which it reads a prompt not cached.
        restore_interval: Tokens between the boundaries at which a cached
            prefix can be resumed; 1 where any token will do.
        cache_tokens: Tokens its prefix cache holds.
        transfer_tokens_per_s: Speed at which it exports and imports cached
            prefixes; 0 where it can't.
        orders: What it is told after each of its starts, in this order.
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
        repeatable: False where running it twice does harm.
    """

    repeatable: bool


class ServiceSpec(_UpstreamBase):
    """One replica of a plain service.

    Attributes:
        role: ``service``.
        address: IP number and port; an IPv6 number in brackets.
        failure_domain: Where it stands.
        replica: Its name on the platform's list; the declaration's by default.
        fencing: Whether it refuses calls with an old fencing number.
        draining: True to give it no new work.
        operations: What it offers, by name.
        lookup: True where it can tell what was done under a key.
        timeout_s: Longest wait for one call's answer.
    """

    role: Literal["service"]
    operations: dict[OperationName, Operation] = Field(min_length=1)
    lookup: bool
    timeout_s: Seconds = 30.0


UpstreamSpec = Annotated[EngineSpec | ServiceSpec, Field(discriminator="role")]


class _Declaration(_InputModel):
    @functools.cached_property
    def digest(self) -> str:
        """The digest by which an operator names what was seen."""
        # Kept, because rendering asks for the digest of every declaration at
        # each revision, and computing thousands would take most of a second.
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
    """Returns the declaration's kind and name."""
    return DeclarationKey(Kind(declaration.kind), declaration.name)


def caller_key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is stored.

    Keys are long random strings, so a plain hash cannot be searched.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def parse(text: bytes | str) -> Result[Declaration, Failure]:
    """Reads one declaration.

    Args:
        text: A JSON object with ``kind``, ``name`` and ``spec``.

    Returns:
        The declaration, or BAD_REQUEST with the path of each wrong field.
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
