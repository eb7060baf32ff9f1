"""Changing single fields of a declaration."""

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


def assign(declaration: Declaration, assignments: tuple[str, ...]) -> Any:
    """Returns a declaration with fields set.

    Args:
        declaration: The declaration as it is.
        assignments: ``PATH=VALUE`` each; the value is JSON or else a string,
            an empty one takes the field away, so that its default holds.

    Raises:
        UsageError: A path leads nowhere or the result is wrong.
    """
    value = declaration.model_dump(mode="json", exclude_defaults=True)
    for assignment in assignments:
        path, text = parse_assignment(assignment)
        _set(value, path, text)
    return parse_text(orjson.dumps(value), "after the edit")


def new_workspace(
    template: Template,
    name: str,
    upstreams: tuple[str, ...],
    assignments: tuple[str, ...],
) -> Workspace:
    """Returns a workspace that fills a template in.

    Args:
        template: The template.
        name: Name of the workspace.
        upstreams: Upstreams it may use.
        assignments: ``PARAMETER=VALUE`` each, read by the parameter's type.

    Raises:
        UsageError: A parameter is unknown or a value does not fit its type.
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
        value_by_name[parameter_name] = _typed(parameter, parameter_name, text)
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
        raise TypeError(f"{declaration.kind} is no workspace")
    return declaration


def with_caller_key(workspace: Workspace, caller: str, key: str) -> Workspace:
    """Returns a workspace with one caller key more, stored as its digest."""
    value = workspace.model_dump(mode="json", exclude_defaults=True)
    keys = value["spec"].setdefault("caller_keys", [])
    keys.append({"name": caller, "sha256": caller_key_digest(key)})
    return Workspace.model_validate_json(orjson.dumps(value))


def missing(key: DeclarationKey) -> UsageError:
    """Returns the error for a declaration that is not in force."""
    return UsageError(
        f"there is no {key}", f"'masticctl get {key.kind}' lists what there is."
    )


def _set(value: Any, path: str, text: str) -> None:
    names = path.split(".")
    try:
        holder = functools.reduce(_step, names[:-1], value)
        if text == "":
            _remove(holder, names[-1])
            return
        holder[_index(holder, names[-1])] = _loads(text)
    except (KeyError, IndexError, TypeError, ValueError):
        raise UsageError(
            f"{path}: there is no such field",
            "'masticctl get KIND/NAME' shows the declaration.",
        ) from None


def _step(holder: Any, name: str) -> Any:
    if isinstance(holder, dict):
        return holder.setdefault(name, {})
    return holder[int(name)]


def _index(holder: Any, name: str) -> str | int:
    return name if isinstance(holder, dict) else int(name)


def _remove(holder: Any, name: str) -> None:
    if isinstance(holder, dict):
        holder.pop(name, None)
    else:
        del holder[int(name)]


def _loads(text: str) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        return text


def _typed(parameter: Parameter, name: str, text: str) -> Any:
    if parameter.type is ParameterType.STRING:
        return text
    value = _loads(text)
    if isinstance(value, str):
        raise UsageError(f"parameter {name}: {text!r} is no {parameter.type}")
    return value
