"""Loads a process's JSON settings file into a validated model."""

import pathlib
from typing import TypeVar

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common.exceptions import ErrorKind, Failure

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


class StrictModel(pydantic.BaseModel):
    """An immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def describe_errors(error: pydantic.ValidationError, source: str) -> str:
    """Returns one line per invalid field: source, path, error and value.

    Args:
        error: The failed validation.
        source: Name of the file or object that was validated.
    """
    lines = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"]) or "(whole)"
        value = item["input"]
        lines.append(f"{source}: {path}: {item['msg']} (got {value!r:.80})")
    return "\n".join(lines)


def load(path: pathlib.Path, model: type[ModelT]) -> Result[ModelT, Failure]:
    """Reads and validates a settings file.

    Args:
        path: The JSON file.
        model: The model to validate against.

    Returns:
        The settings, or INVALID_SETTINGS with one line per invalid field.
    """
    try:
        text = path.read_text()
    except OSError as error:
        detail = f"{path}: {error.strerror}. Hint: give an existing JSON file."
        return Failed(Failure(ErrorKind.INVALID_SETTINGS, detail))
    try:
        return Success(model.model_validate_json(text))
    except pydantic.ValidationError as error:
        detail = describe_errors(error, str(path))
        return Failed(Failure(ErrorKind.INVALID_SETTINGS, detail))
