"""Invalid fields of declarations, collected into one failure."""

import dataclasses
from collections.abc import Iterable

import pydantic

from masticdale_common import ErrorKind, Failure

_MESSAGE_BY_TYPE = {
    "extra_forbidden": "there is no such field",
    "missing": "is missing",
}


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class FieldProblem:
    """One invalid field.

    Attributes:
        path: Declaration and field, such as ``Workspace/name.spec.weight``.
        message: What is wrong with the field.
    """

    path: str
    message: str


def to_failure(problems: Iterable[FieldProblem]) -> Failure:
    """Returns BAD_REQUEST with one line for each invalid field."""
    lines = [f"{p.path}: {p.message}" for p in sorted(set(problems))]
    return Failure(ErrorKind.BAD_REQUEST, "\n".join(lines))


def from_validation(
    error: pydantic.ValidationError,
    prefix: str,
    union_tags: frozenset[str] = frozenset(),
) -> list[FieldProblem]:
    """Converts a pydantic validation error.

    Args:
        error: The validation error.
        prefix: Path of the validated value.
        union_tags: Location parts directly below ``spec`` that name a member
            of a union rather than a field. They are left out of the paths.

    Returns:
        One problem for each invalid field.
    """
    problems = []
    for item in error.errors(include_url=False, include_input=False):
        parts = [str(part) for part in item["loc"]]
        if parts[:1] == ["spec"] and parts[1:2] and parts[1] in union_tags:
            del parts[1]
        path = ".".join([prefix, *parts])
        message = _MESSAGE_BY_TYPE.get(item["type"], item["msg"])
        problems.append(FieldProblem(path, message))
    return problems
