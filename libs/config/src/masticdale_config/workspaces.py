"""Renders a workspace: its template with its parameters substituted."""

import dataclasses
from collections.abc import Mapping

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import hashing
from masticdale_config import canonical, placeholders, problems
from masticdale_config.kinds import (
    Declaration,
    DeclarationKey,
    Kind,
    ParameterValue,
    ProgramKind,
    Template,
    TemplateSpec,
    Workspace,
)
from masticdale_config.problems import FieldProblem
from masticdale_config.rendered import (
    Budget,
    Limits,
    ProgramBody,
    RenderedProgram,
    RenderedWorkspace,
    WorkspaceBudget,
)

DeclarationByKey = Mapping[DeclarationKey, Declaration]


@dataclasses.dataclass(frozen=True, slots=True)
class FilledProgram:
    """A program kind after substitution.

    Attributes:
        digest: Digest of the body after substitution.
        kind: The program kind.
    """

    digest: str
    kind: ProgramKind


def render_programs(
    template: TemplateSpec, value_by_name: Mapping[str, ParameterValue]
) -> tuple[list[FilledProgram], list[FieldProblem]]:
    """Substitutes parameters in a template and validates its programs.

    Args:
        template: The template.
        value_by_name: A value for each of its parameters.

    Returns:
        The valid program kinds and the problems of the invalid ones.
    """
    programs = []
    found = []
    for index, body in enumerate(template.programs):
        path = f"spec.programs.{index}"
        try:
            filled = placeholders.substitute(body, value_by_name)
        except KeyError:
            unknown = placeholders.referenced_names(body) - set(value_by_name)
            names = ", ".join(sorted(unknown))
            found.append(FieldProblem(path, f"unknown parameters: {names}"))
            continue
        text = canonical.to_bytes(filled)
        try:
            kind = ProgramKind.model_validate_json(text)
        except pydantic.ValidationError as error:
            found.extend(problems.from_validation(error, path))
            continue
        programs.append(FilledProgram(hashing.digest(text.decode()), kind))
    return programs, found


def render_workspace(
    workspace: Workspace, declaration_by_key: DeclarationByKey
) -> Result[RenderedWorkspace, list[FieldProblem]]:
    """Renders one workspace.

    Args:
        workspace: The declaration of the workspace.
        declaration_by_key: All declarations, its template among them.

    Returns:
        The workspace, or a problem for each field that cannot be rendered.
    """
    prefix = f"{Kind.WORKSPACE}/{workspace.name}"
    spec = workspace.spec
    template = declaration_by_key.get(
        DeclarationKey(Kind.TEMPLATE, spec.template)
    )
    if not isinstance(template, Template):
        message = f"there is no template {spec.template!r}"
        return Failed([FieldProblem(f"{prefix}.spec.template", message)])
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
    return Success(_assemble(workspace, programs))


def _assemble(
    workspace: Workspace, programs: list[FilledProgram]
) -> RenderedWorkspace:
    spec = workspace.spec
    rendered = [_program(program.kind) for program in programs]
    digests = [program.digest for program in programs]
    return RenderedWorkspace(
        name=workspace.name,
        template=spec.template,
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
