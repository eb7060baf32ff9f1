"""Editing fields of declarations and creating workspaces."""

import functools
from typing import Any

import orjson

from masticctl.declarations import parse_text
from masticctl.errors import UsageError
from masticctl.parsing import parse_assignment
from masticdale_config import (
    Declaration,
    DeclarationKey,
    Template,
    Workspace,
    caller_key_digest,
)
from masticdale_config.kinds import Parameter, ParameterType


def set_fields(declaration: Declaration, assignments: tuple[str, ...]) -> Any:
    """Returns a copy of a declaration with fields set.

    Args:
        declaration: Declaration to copy.
        assignments: ``PATH=VALUE`` each. A value that is not JSON is a
            string; an empty value removes the field, which restores its
            default.

    Raises:
        UsageError: A path does not exist or the result is invalid.
    """
    value = declaration.model_dump(mode="json", exclude_defaults=True)
    for assignment in assignments:
        path, text = parse_assignment(assignment)
        _set_field(value, path, text)
    return parse_text(orjson.dumps(value), "after the edit")


def new_workspace(
    template: Template,
    name: str,
    upstreams: tuple[str, ...],
    assignments: tuple[str, ...],
) -> Workspace:
    """Creates a workspace from a template.

    Args:
        template: The template.
        name: Name of the workspace.
        upstreams: Upstreams that the workspace may use.
        assignments: ``PARAMETER=VALUE`` each, parsed by the parameter's type.

    Raises:
        UsageError: A parameter is unknown or its value has the wrong type.
    """
    value_by_name: dict[str, Any] = {}
    for assignment in assignments:
        parameter_name, text = parse_assignment(assignment)
        parameter = template.spec.parameters.get(parameter_name)
        if parameter is None:
            known = ", ".join(sorted(template.spec.parameters)) or "none"
            raise UsageError(
                f"template {template.name!r} has no parameter"
                f" {parameter_name!r}",
                f"its parameters are: {known}.",
            )
        value_by_name[parameter_name] = _parse_parameter(
            parameter, parameter_name, text
        )
    value = {
        "kind": "Workspace",
        "name": name,
        "spec": {
            "template": template.name,
            "parameters": value_by_name,
            "upstreams": list(upstreams),
        },
    }
    declaration = parse_text(orjson.dumps(value), f"Workspace/{name}")
    if not isinstance(declaration, Workspace):
        raise TypeError(f"{declaration.kind} is not a workspace")
    return declaration


def with_caller_key(workspace: Workspace, caller: str, key: str) -> Workspace:
    """Returns a copy of a workspace with a caller key added as its digest."""
    value = workspace.model_dump(mode="json", exclude_defaults=True)
    keys = value["spec"].setdefault("caller_keys", [])
    keys.append({"name": caller, "sha256": caller_key_digest(key)})
    return Workspace.model_validate_json(orjson.dumps(value))


def not_found(key: DeclarationKey) -> UsageError:
    """Returns the error for a declaration that does not exist."""
    return UsageError(
        f"there is no {key}", f"'masticctl get {key.kind}' lists them."
    )


def _set_field(value: Any, path: str, text: str) -> None:
    names = path.split(".")
    try:
        container = functools.reduce(_descend, names[:-1], value)
        if text == "":
            _remove(container, names[-1])
            return
        container[_index(container, names[-1])] = _parse_json_or_string(text)
    except (KeyError, IndexError, TypeError, ValueError):
        raise UsageError(
            f"{path}: no such field",
            "'masticctl get KIND/NAME' shows the declaration.",
        ) from None


def _descend(container: Any, name: str) -> Any:
    if isinstance(container, dict):
        return container.setdefault(name, {})
    return container[int(name)]


def _index(container: Any, name: str) -> str | int:
    return name if isinstance(container, dict) else int(name)


def _remove(container: Any, name: str) -> None:
    if isinstance(container, dict):
        container.pop(name, None)
    else:
        del container[int(name)]


def _parse_json_or_string(text: str) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return text


def _parse_parameter(parameter: Parameter, name: str, text: str) -> Any:
    if parameter.type is ParameterType.STRING:
        return text
    value = _parse_json_or_string(text)
    if isinstance(value, str):
        raise UsageError(
            f"parameter {name}: {text!r} is not of type {parameter.type}"
        )
    return value
