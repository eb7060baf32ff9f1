"""The rendered configuration: immutable, so it is read without locks."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Resource limits of one program; see ``kinds.ProgramBudget``."""

    tokens: int
    calls: int
    turns: int
    wall_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramBody:
    """The part of a program that is fixed from its start to its end.

    If the prompt or the tools changed between two turns, the history would
    contradict itself and the cached prefix would be lost. A program therefore
    keeps the body it started with. Its owner stores each distinct body with
    the programs, so a takeover needs no old configuration.

    Attributes:
        digest: Digest of the body; equal on every host.
        model: Model that serves its turns.
        system_prompt: Text before its history.
        tools: Service operations it may call.
        max_tokens: Tokens a turn may generate if the call sets no limit.
    """

    digest: str
    model: str
    system_prompt: str
    tools: tuple[str, ...]
    max_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedProgram:
    """One kind of program of one workspace.

    Attributes:
        name: Name by which callers start it.
        body: Running programs keep the body they started with.
        priority: 0 is the highest; a change takes effect immediately.
        budget: Budget of each program; a change takes effect immediately.
    """

    name: str
    body: ProgramBody
    priority: int
    budget: Budget


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceBudget:
    """Limits of one workspace; see ``kinds.WorkspaceBudget``."""

    programs: int
    turns: int
    tokens_per_hour: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on single requests; see ``kinds.WorkspaceLimits``."""

    request_bytes: int
    branches_per_program: int
    requests_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedWorkspace:
    """One workspace with its template rendered.

    Attributes:
        name: Its name.
        template: Name of its template.
        digest: Digest of the rendered workspace.
        program_by_name: Its program kinds.
        upstreams: Names of the upstreams it may use.
        budget: Concurrency and token limits.
        weight: Its share within one priority.
        caller_name_by_digest: Names of its callers by key digest.
        limits: Limits on single requests.
    """

    name: str
    template: str
    digest: str
    program_by_name: Mapping[str, RenderedProgram]
    upstreams: frozenset[str]
    budget: WorkspaceBudget
    weight: float
    caller_name_by_digest: Mapping[str, str]
    limits: Limits


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedOrder:
    """A command that is sent to an engine; see ``kinds.EngineOrder``."""

    kind: str
    argument: str


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedEngine:
    """One replica of a model; see ``kinds.EngineSpec``."""

    name: str
    digest: str
    address: str
    failure_domain: str
    replica: str
    enforces_fencing: bool
    draining: bool
    model: str
    slots: int
    prefill_tokens_per_s: float
    restore_interval: int
    cache_tokens: int
    transfer_tokens_per_s: float = 0.0
    orders: tuple[RenderedOrder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedService:
    """One replica of a service; see ``kinds.ServiceSpec``.

    Attributes:
        repeatable_by_operation: Whether an operation may be run twice.
    """

    name: str
    digest: str
    address: str
    failure_domain: str
    replica: str
    enforces_fencing: bool
    draining: bool
    repeatable_by_operation: Mapping[str, bool]
    lookup: bool
    timeout_s: float


RenderedUpstream = RenderedEngine | RenderedService


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamTable:
    """Indexes of all upstreams; each entry is sorted by name.

    Attributes:
        by_name: Every upstream.
        by_model: Engines by model.
        by_operation: Services by operation.
    """

    by_name: Mapping[str, RenderedUpstream]
    by_model: Mapping[str, tuple[RenderedEngine, ...]]
    by_operation: Mapping[str, tuple[RenderedService, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedConfig:
    """The whole configuration of one revision.

    Attributes:
        revision: Revision number; 0 before the first change.
        digest: Digest of the configuration; equal on every host.
        workspace_by_name: All workspaces.
        workspace_by_caller_digest: Workspaces by the digest of a caller key.
        upstreams: All upstreams.
        template_digest_by_name: Digests of the templates.
    """

    revision: int
    digest: str
    workspace_by_name: Mapping[str, RenderedWorkspace]
    workspace_by_caller_digest: Mapping[str, RenderedWorkspace]
    upstreams: UpstreamTable
    template_digest_by_name: Mapping[str, str]
