"""Validation of a complete set of declarations."""

import functools
import math
from collections.abc import Collection

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_config import placeholders, problems, rendering, workspaces
from masticdale_config.kinds import (
    Declaration,
    DeclarationKey,
    Kind,
    Template,
    Upstream,
    Workspace,
)
from masticdale_config.problems import FieldProblem
from masticdale_config.rendered import (
    RenderedConfig,
    RenderedEngine,
    RenderedProgram,
    RenderedWorkspace,
)
from masticdale_config.workspaces import DeclarationByKey

_HOUR_S = 3600


def check_declarations(
    declaration_by_key: DeclarationByKey, revision: int
) -> Result[RenderedConfig, Failure]:
    """Validates and renders all declarations.

    Args:
        declaration_by_key: Every declaration.
        revision: Revision number of the rendered configuration.

    Returns:
        The configuration, or BAD_REQUEST with the path of each invalid field.
    """
    return check_change(
        declaration_by_key,
        revision,
        rendering.EMPTY,
        declaration_by_key.keys(),
    )


def check_change(
    declaration_by_key: DeclarationByKey,
    revision: int,
    previous: RenderedConfig,
    touched: Collection[DeclarationKey],
) -> Result[RenderedConfig, Failure]:
    """Validates and renders declarations incrementally.

    Declarations that the change does not affect were validated when they were
    accepted, so they are skipped.

    Args:
        declaration_by_key: Every declaration after the change.
        revision: Revision number of the rendered configuration.
        previous: The configuration before the change.
        touched: Keys of the declarations that the change puts or deletes.

    Returns:
        The same as ``check_declarations`` for these declarations.
    """
    found: list[FieldProblem] = []
    for key in touched:
        if key not in declaration_by_key:
            continue
        for problem in check_declaration(declaration_by_key[key]):
            path = f"{key}.{problem.path}"
            found.append(FieldProblem(path, problem.message))
    outcome = rendering.render_change(
        declaration_by_key, revision, previous, touched
    )
    if isinstance(outcome, Failed):
        found.extend(outcome.failure())
        return Failed(problems.to_failure(found))
    config = outcome.unwrap()
    for workspace in _affected_workspaces(declaration_by_key, config, touched):
        found.extend(_check_workspace(workspace, config))
        found.extend(_check_caller_keys(workspace, config))
    if any(key.kind is Kind.UPSTREAM for key in touched):
        found.extend(_check_repeatable(config))
    if found:
        return Failed(problems.to_failure(found))
    return Success(config)


def _affected_workspaces(
    declaration_by_key: DeclarationByKey,
    config: RenderedConfig,
    touched: Collection[DeclarationKey],
) -> list[RenderedWorkspace]:
    names = set(rendering.affected_workspaces(declaration_by_key, touched))
    upstreams = {key.name for key in touched if key.kind is Kind.UPSTREAM}
    return [
        workspace
        for name, workspace in config.workspace_by_name.items()
        if name in names or not upstreams.isdisjoint(workspace.upstreams)
    ]


@functools.singledispatch
def check_declaration(declaration: Declaration) -> list[FieldProblem]:
    """Returns the problems of a declaration regardless of the others."""
    raise TypeError(f"no check is registered for {type(declaration)}")


@check_declaration.register
def _(declaration: Template) -> list[FieldProblem]:
    spec = declaration.spec
    found = []
    for name, parameter in spec.parameters.items():
        found.extend(placeholders.check_parameter(name, parameter))
    if found:
        return found
    programs, found = workspaces.render_programs(
        spec, placeholders.sample_values(spec)
    )
    names = [program.kind.name for program in programs]
    if len(set(names)) < len(names):
        found.append(
            FieldProblem("spec.programs", "two programs have the same name")
        )
    return found


@check_declaration.register
def _(declaration: Workspace) -> list[FieldProblem]:
    keys = declaration.spec.caller_keys
    found = []
    if len({key.name for key in keys}) < len(keys):
        found.append(
            FieldProblem("spec.caller_keys", "two keys have the same name")
        )
    if len({key.sha256 for key in keys}) < len(keys):
        found.append(
            FieldProblem("spec.caller_keys", "two entries hold the same key")
        )
    return found


@check_declaration.register
def _(declaration: Upstream) -> list[FieldProblem]:
    del declaration  # The model already validates every field.
    return []


def _check_workspace(
    workspace: RenderedWorkspace, config: RenderedConfig
) -> list[FieldProblem]:
    prefix = f"Workspace/{workspace.name}.spec"
    found = [
        FieldProblem(f"{prefix}.upstreams", f"there is no upstream {name!r}")
        for name in sorted(workspace.upstreams)
        if name not in config.upstreams.by_name
    ]
    for program in workspace.program_by_name.values():
        found.extend(_check_references(workspace, program, config, prefix))
        found.extend(_check_budget(workspace, program, prefix))
    return found


def _check_references(
    workspace: RenderedWorkspace,
    program: RenderedProgram,
    config: RenderedConfig,
    prefix: str,
) -> list[FieldProblem]:
    found = []
    path = f"{prefix}.upstreams"
    model = program.body.model
    engines = config.upstreams.by_model.get(model, ())
    if not any(e.name in workspace.upstreams for e in engines):
        message = (
            f"no engine serves model {model!r} of program {program.name!r}"
        )
        found.append(FieldProblem(path, message))
    for tool in program.body.tools:
        services = config.upstreams.by_operation.get(tool, ())
        if any(s.name in workspace.upstreams for s in services):
            continue
        message = f"no service offers tool {tool!r} of program {program.name!r}"
        found.append(FieldProblem(path, message))
    return found


def _check_budget(
    workspace: RenderedWorkspace, program: RenderedProgram, prefix: str
) -> list[FieldProblem]:
    budget = program.budget
    path = f"{prefix}: program {program.name!r}"
    found = []
    if program.body.max_tokens > budget.tokens:
        message = "is less than max_tokens, so no turn could start"
        found.append(FieldProblem(f"{path}: budget.tokens", message))
    if budget.turns > budget.calls:
        message = "is less than budget.turns, and each turn is a call"
        found.append(FieldProblem(f"{path}: budget.calls", message))
    hourly = workspace.budget.tokens_per_hour
    if hourly is None:
        return found
    hours = math.ceil(budget.wall_time_s / _HOUR_S)
    if budget.tokens > hourly * hours:
        message = f"is too low for the token budget of program {program.name!r}"
        field = f"{prefix}.budget.tokens_per_hour"
        found.append(FieldProblem(field, message))
    return found


def _check_caller_keys(
    workspace: RenderedWorkspace, config: RenderedConfig
) -> list[FieldProblem]:
    # A key shared by two workspaces would give a caller access to the answers
    # of another workspace.
    path = f"{Kind.WORKSPACE}/{workspace.name}.spec.caller_keys"
    found = []
    for index, digest in enumerate(workspace.caller_name_by_digest):
        owner = config.workspace_by_caller_digest[digest]
        if owner.name == workspace.name:
            continue
        message = f"is already used by workspace {owner.name!r}"
        found.append(FieldProblem(f"{path}.{index}.sha256", message))
    return found


def _check_repeatable(config: RenderedConfig) -> list[FieldProblem]:
    # Replicas must agree: a call that one replica declares repeatable would be
    # retried on another that runs it twice, for example charges a card twice.
    found = []
    for operation, services in config.upstreams.by_operation.items():
        first = services[0]
        for service in services[1:]:
            repeatable = service.repeatable_by_operation[operation]
            if repeatable == first.repeatable_by_operation[operation]:
                continue
            path = f"Upstream/{service.name}.spec.operations.{operation}"
            message = f"repeatable differs from upstream {first.name!r}"
            found.append(FieldProblem(path, message))
    return found


def eligible_engines(
    workspace: RenderedWorkspace, model: str, config: RenderedConfig
) -> tuple[RenderedEngine, ...]:
    """Returns the engines that serve a model and that a workspace may use."""
    engines = config.upstreams.by_model.get(model, ())
    return tuple(e for e in engines if e.name in workspace.upstreams)
