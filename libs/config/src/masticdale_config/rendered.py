"""What declarations mean after rendering: immutable, read without locks."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What one program may use; see ``kinds.ProgramBudget``."""

    tokens: int
    calls: int
    turns: int
    wall_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramBody:
    """What a program keeps from its start to its end.

    A prompt or a set of tools that changed between two turns would make the
    history contradict itself and lose the whole cached prefix. So a program
    keeps the body it began with: its owner stores the body with the program,
    once for each digest, and needs no old configuration after a takeover.

    Attributes:
        digest: The same for equal bodies on every host.
        model: Model that serves its turns.
        system_prompt: Text before its history.
        tools: Service operations it may call.
        max_tokens: Tokens a turn may generate where the call names no limit.
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
        name: Name callers start it by.
        body: Kept by programs under way.
        priority: 0 is first class; a change holds at once.
        budget: Budget of each program; a change holds at once.
    """

    name: str
    body: ProgramBody
    priority: int
    budget: Budget


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceBudget:
    """What a workspace may use; see ``kinds.WorkspaceBudget``."""

    programs: int
    turns: int
    tokens_per_hour: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on single requests; see ``kinds.WorkspaceLimits``."""

    request_bytes: int
    branches_per_program: int
    requests_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedWorkspace:
    """One workspace with its template filled in.

    Attributes:
        name: Its name.
        template: Name of its template.
        digest: Digest of what it means.
        program_by_name: Its kinds of programs.
        upstreams: Names of the upstreams it may use.
        budget: What it may use at a time.
        weight: Its share within one priority.
        caller_name_by_digest: Names of its callers by their keys' digests.
        limits: Bounds on single requests.
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
    """Something an engine is told; see ``kinds.EngineOrder``."""

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
        repeatable_by_operation: Whether each operation may be run twice.
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
    """All upstreams, sorted by name within each entry.

    Attributes:
        by_name: Every upstream.
        by_model: Engines by the model they serve.
        by_operation: Services by each operation they offer.
    """

    by_name: Mapping[str, RenderedUpstream]
    by_model: Mapping[str, tuple[RenderedEngine, ...]]
    by_operation: Mapping[str, tuple[RenderedService, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedConfig:
    """The whole configuration of one revision.

    Attributes:
        revision: Its number; 0 before the first change.
        digest: The same on each host that rendered this revision.
        workspace_by_name: All workspaces.
        workspace_by_caller_digest: The workspace that a key's digest opens.
        upstreams: All upstreams.
        template_digest_by_name: Digests of the templates.
    """

    revision: int
    digest: str
    workspace_by_name: Mapping[str, RenderedWorkspace]
    workspace_by_caller_digest: Mapping[str, RenderedWorkspace]
    upstreams: UpstreamTable
    template_digest_by_name: Mapping[str, str]
