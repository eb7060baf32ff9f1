"""Turning declarations into the configuration that the daemon reads.

Rendering is deterministic: the order of declarations and of their fields has
no influence, so equal declarations have one digest on every host.
"""

import functools
from collections.abc import Iterable, Mapping

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import hashing
from masticdale_config import canonical, placeholders, problems
from masticdale_config.kinds import (
    Declaration,
    DeclarationKey,
    EngineSpec,
    Fencing,
    Kind,
    ParameterValue,
    ProgramKind,
    ServiceSpec,
    Template,
    TemplateSpec,
    Upstream,
    Workspace,
)
from masticdale_config.problems import FieldProblem
from masticdale_config.rendered import (
    Budget,
    Limits,
    ProgramBody,
    RenderedConfig,
    RenderedEngine,
    RenderedProgram,
    RenderedService,
    RenderedUpstream,
    RenderedWorkspace,
    UpstreamTable,
    WorkspaceBudget,
)

DeclarationByKey = Mapping[DeclarationKey, Declaration]

EMPTY = RenderedConfig(0, hashing.digest(), {}, {}, UpstreamTable({}, {}, {}))


def render(
    declaration_by_key: DeclarationByKey,
    revision: int,
    previous: RenderedConfig = EMPTY,
) -> Result[RenderedConfig, tuple[FieldProblem, ...]]:
    """Renders all declarations.

    Args:
        declaration_by_key: Every declaration.
        revision: Number the result carries.
        previous: An earlier result; its unchanged workspaces are reused, so
            one change costs little however many workspaces there are.

    Returns:
        The configuration, or every field that could not be rendered.
    """
    found: list[FieldProblem] = []
    workspaces: list[RenderedWorkspace] = []
    upstreams: list[RenderedUpstream] = []
    digests: list[str] = []
    for key in sorted(declaration_by_key):
        declaration = declaration_by_key[key]
        if isinstance(declaration, Workspace):
            outcome = _workspace(declaration, declaration_by_key, previous)
            if isinstance(outcome, Failed):
                found.extend(outcome.failure())
                continue
            workspaces.append(outcome.unwrap())
            digests += [str(key), workspaces[-1].digest]
            continue
        digests += [str(key), declaration.digest]
        if isinstance(declaration, Upstream):
            upstreams.append(_upstream(declaration))
    if found:
        return Failed(tuple(found))
    return Success(
        RenderedConfig(
            revision=revision,
            digest=hashing.digest(*digests),
            workspace_by_name={w.name: w for w in workspaces},
            workspace_by_caller_digest={
                digest: workspace
                for workspace in workspaces
                for digest in workspace.caller_name_by_digest
            },
            upstreams=_table(upstreams),
        )
    )


def render_programs(
    template: TemplateSpec, value_by_name: Mapping[str, ParameterValue]
) -> tuple[list[ProgramKind], list[FieldProblem]]:
    """Fills a template's body.

    Args:
        template: The template.
        value_by_name: A value for each of its parameters.

    Returns:
        The program kinds, and what is wrong with those that did not fit.
    """
    programs = []
    found = []
    for index, body in enumerate(template.programs):
        path = f"spec.programs.{index}"
        unknown = placeholders.names_in(body) - set(value_by_name)
        if unknown:
            names = ", ".join(sorted(unknown))
            found.append(FieldProblem(path, f"unknown parameters: {names}"))
            continue
        filled = placeholders.substitute(body, value_by_name)
        try:
            text = canonical.to_bytes(filled)
            programs.append(ProgramKind.model_validate_json(text))
        except pydantic.ValidationError as error:
            found.extend(problems.from_validation(error, path))
    return programs, found


def _workspace(
    workspace: Workspace,
    declaration_by_key: DeclarationByKey,
    previous: RenderedConfig,
) -> Result[RenderedWorkspace, list[FieldProblem]]:
    prefix = f"{Kind.WORKSPACE}/{workspace.name}"
    spec = workspace.spec
    template = declaration_by_key.get(
        DeclarationKey(Kind.TEMPLATE, spec.template)
    )
    if not isinstance(template, Template):
        message = f"there is no template {spec.template!r}"
        return Failed([FieldProblem(f"{prefix}.spec.template", message)])
    source_digest = hashing.digest(workspace.digest, template.digest)
    known = previous.workspace_by_name.get(workspace.name)
    if known is not None and known.source_digest == source_digest:
        return Success(known)
    value_by_name, found = placeholders.resolve(template.spec, spec.parameters)
    if found:
        return Failed(
            [FieldProblem(f"{prefix}.{p.path}", p.message) for p in found]
        )
    programs, found = render_programs(template.spec, value_by_name)
    if found:
        where = f"(with the parameters of {prefix})"
        return Failed(
            [
                FieldProblem(
                    f"{Kind.TEMPLATE}/{template.name}.{p.path}",
                    f"{p.message} {where}",
                )
                for p in found
            ]
        )
    return Success(_assemble(workspace, source_digest, programs))


def _assemble(
    workspace: Workspace, source_digest: str, programs: list[ProgramKind]
) -> RenderedWorkspace:
    spec = workspace.spec
    rendered = [_program(program) for program in programs]
    digests = [canonical.digest(program) for program in programs]
    return RenderedWorkspace(
        name=workspace.name,
        template=spec.template,
        source_digest=source_digest,
        digest=hashing.digest(workspace.digest, *digests),
        program_by_name={program.name: program for program in rendered},
        upstreams=frozenset(spec.upstreams),
        budget=WorkspaceBudget(
            programs=spec.budget.programs,
            turns=spec.budget.turns,
            tokens_per_hour=spec.budget.tokens_per_hour,
        ),
        weight=spec.weight,
        caller_name_by_digest={k.sha256: k.name for k in spec.caller_keys},
        limits=Limits(
            request_bytes=spec.limits.request_bytes,
            branches_per_program=spec.limits.branches_per_program,
            requests_per_s=spec.limits.requests_per_s,
        ),
    )


def _program(program: ProgramKind) -> RenderedProgram:
    body = ProgramBody(
        digest=hashing.digest(
            program.model,
            program.system_prompt,
            *program.tools,
            str(program.max_tokens),
        ),
        model=program.model,
        system_prompt=program.system_prompt,
        tools=program.tools,
        max_tokens=program.max_tokens,
    )
    budget = Budget(
        tokens=program.budget.tokens,
        calls=program.budget.calls,
        turns=program.budget.turns,
        wall_time_s=program.budget.wall_time_s,
    )
    return RenderedProgram(program.name, body, program.priority, budget)


def _upstream(upstream: Upstream) -> RenderedUpstream:
    return _render_spec(upstream.spec, upstream)


@functools.singledispatch
def _render_spec(spec: object, upstream: Upstream) -> RenderedUpstream:
    raise TypeError(f"{upstream.name}: no rendering for {type(spec)}")


@_render_spec.register
def _(spec: EngineSpec, upstream: Upstream) -> RenderedUpstream:
    return RenderedEngine(
        name=upstream.name,
        digest=upstream.digest,
        address=spec.address,
        failure_domain=spec.failure_domain,
        replica=spec.replica or upstream.name,
        obeys_fencing=spec.fencing is Fencing.OBEYED,
        draining=spec.draining,
        model=spec.model,
        slots=spec.slots,
        prefill_tokens_per_s=spec.prefill_tokens_per_s,
        restore_interval=spec.restore_interval,
        cache_tokens=spec.cache_tokens,
    )


@_render_spec.register
def _(spec: ServiceSpec, upstream: Upstream) -> RenderedUpstream:
    return RenderedService(
        name=upstream.name,
        digest=upstream.digest,
        address=spec.address,
        failure_domain=spec.failure_domain,
        replica=spec.replica or upstream.name,
        obeys_fencing=spec.fencing is Fencing.OBEYED,
        draining=spec.draining,
        repeatable_by_operation={
            name: operation.repeatable
            for name, operation in sorted(spec.operations.items())
        },
        lookup=spec.lookup,
        timeout_s=spec.timeout_s,
    )


def _table(upstreams: Iterable[RenderedUpstream]) -> UpstreamTable:
    by_name = {upstream.name: upstream for upstream in upstreams}
    by_model: dict[str, tuple[RenderedEngine, ...]] = {}
    by_operation: dict[str, tuple[RenderedService, ...]] = {}
    for upstream in by_name.values():
        if isinstance(upstream, RenderedEngine):
            engines = by_model.get(upstream.model, ())
            by_model[upstream.model] = (*engines, upstream)
            continue
        for operation in upstream.repeatable_by_operation:
            services = by_operation.get(operation, ())
            by_operation[operation] = (*services, upstream)
    return UpstreamTable(by_name, by_model, by_operation)
