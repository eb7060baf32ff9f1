"""Substitutes ``${parameter}`` placeholders and checks parameter values."""

import re
from collections.abc import Mapping

import pydantic

from masticdale_config.kinds import (
    Parameter,
    ParameterType,
    ParameterValue,
    TemplateSpec,
)
from masticdale_config.problems import FieldProblem

# ``$${name}`` is an escape for the literal text ``${name}``.
_PLACEHOLDER = re.compile(r"(\$?)\$\{([^}]*)\}")
# A cheap test before the regular expression, which is slow on the prompts of
# thousands of workspaces.
_OPENING = "${"
_SAMPLE_BY_TYPE: dict[ParameterType, ParameterValue] = {
    ParameterType.STRING: "sample",
    ParameterType.INTEGER: 1,
    ParameterType.NUMBER: 1.0,
    ParameterType.BOOLEAN: True,
}


def referenced_names(value: pydantic.JsonValue) -> set[str]:
    """Returns the names of the parameters that a value refers to."""
    if isinstance(value, str):
        if _OPENING not in value:
            return set()
        found = _PLACEHOLDER.finditer(value)
        return {match[2] for match in found if not match[1]}
    if isinstance(value, list):
        return set().union(*(referenced_names(item) for item in value))
    if isinstance(value, dict):
        return set().union(*(referenced_names(item) for item in value.values()))
    return set()


def substitute(
    value: pydantic.JsonValue, value_by_name: Mapping[str, ParameterValue]
) -> pydantic.JsonValue:
    """Returns a value with its placeholders substituted.

    Args:
        value: A value of a template's body. A string that consists of one
            placeholder becomes the parameter's value, with its type. Within a
            longer string the parameter's value is inserted as text.
        value_by_name: A value for each parameter that is referred to.

    Raises:
        KeyError: If a parameter that is referred to has no value.
    """
    if isinstance(value, list):
        return [substitute(item, value_by_name) for item in value]
    if isinstance(value, dict):
        return {k: substitute(v, value_by_name) for k, v in value.items()}
    if not isinstance(value, str) or _OPENING not in value:
        return value
    single = _PLACEHOLDER.fullmatch(value)
    if single and not single[1]:
        return value_by_name[single[2]]

    def replace(match: re.Match[str]) -> str:
        if match[1]:
            return match[0][1:]
        return _as_text(value_by_name[match[2]])

    return _PLACEHOLDER.sub(replace, value)


def check_parameter(name: str, parameter: Parameter) -> list[FieldProblem]:
    """Returns the problems of a parameter's default, choices and bounds."""
    path = f"spec.parameters.{name}"
    found = []
    values = [("default", parameter.default)] if _has_default(parameter) else []
    values += [("choices", choice) for choice in parameter.choices]
    for field, value in values:
        message = check_value(parameter, value, field == "choices")
        if message:
            found.append(FieldProblem(f"{path}.{field}", message))
    bounds = (parameter.minimum, parameter.maximum)
    if None not in bounds and bounds[0] > bounds[1]:  # type: ignore[operator]
        found.append(FieldProblem(f"{path}.minimum", "exceeds maximum"))
    if parameter.type is ParameterType.BOOLEAN and bounds != (None, None):
        found.append(FieldProblem(path, "a boolean cannot have bounds"))
    return found


def check_value(
    parameter: Parameter,
    value: ParameterValue | None,
    ignore_choices: bool = False,
) -> str:
    """Checks a value against a parameter.

    Args:
        parameter: The parameter.
        value: The value.
        ignore_choices: True to skip the check against ``choices``.

    Returns:
        The problem, or an empty string if the value is valid.
    """
    if not _has_type(parameter.type, value):
        return f"must be of type {parameter.type}"
    if (
        parameter.choices
        and not ignore_choices
        and value not in parameter.choices
    ):
        return f"must be one of {list(parameter.choices)}"
    if isinstance(value, bool) or value is None:
        return ""
    size = len(value) if isinstance(value, str) else value
    if parameter.minimum is not None and size < parameter.minimum:
        return f"must not be below {parameter.minimum:g}"
    if parameter.maximum is not None and size > parameter.maximum:
        return f"must not be above {parameter.maximum:g}"
    return ""


def resolve(
    template: TemplateSpec, given_by_name: Mapping[str, ParameterValue]
) -> tuple[dict[str, ParameterValue], list[FieldProblem]]:
    """Merges a workspace's values with the template's defaults.

    Args:
        template: The template.
        given_by_name: The values that the workspace sets.

    Returns:
        The value of each parameter, and the problems found.
    """
    value_by_name: dict[str, ParameterValue] = {}
    found = [
        FieldProblem(
            f"spec.parameters.{name}", "the template has no such parameter"
        )
        for name in given_by_name
        if name not in template.parameters
    ]
    for name, parameter in template.parameters.items():
        value = given_by_name.get(name, parameter.default)
        path = f"spec.parameters.{name}"
        if value is None:
            found.append(FieldProblem(path, "is missing and has no default"))
            continue
        message = check_value(parameter, value)
        if message:
            found.append(FieldProblem(path, message))
        value_by_name[name] = value
    return value_by_name, found


def sample_values(template: TemplateSpec) -> dict[str, ParameterValue]:
    """Returns a value of the right type, valid if possible, per parameter."""
    return {
        name: _sample_value(parameter)
        for name, parameter in template.parameters.items()
    }


def _sample_value(parameter: Parameter) -> ParameterValue:
    if parameter.default is not None:
        return parameter.default
    if parameter.choices:
        return parameter.choices[0]
    if parameter.minimum is not None:
        if parameter.type is ParameterType.INTEGER:
            return int(parameter.minimum)
        if parameter.type is ParameterType.NUMBER:
            return parameter.minimum
    return _SAMPLE_BY_TYPE[parameter.type]


def _has_default(parameter: Parameter) -> bool:
    return parameter.default is not None


def _has_type(kind: ParameterType, value: ParameterValue | None) -> bool:
    if kind is ParameterType.STRING:
        return isinstance(value, str)
    if kind is ParameterType.BOOLEAN:
        return isinstance(value, bool)
    if isinstance(value, bool):
        return False
    if kind is ParameterType.INTEGER:
        return isinstance(value, int)
    return isinstance(value, int | float)


def _as_text(value: ParameterValue) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
