"""Canonical JSON and its digests, identical on every host."""

from typing import Any

import orjson
import pydantic

from masticdale_common import hashing


def to_bytes(value: Any) -> bytes:
    """Encodes a value as JSON with sorted keys and no white space."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def dump(model: pydantic.BaseModel) -> Any:
    """Returns a model's JSON values, without fields at their defaults.

    A declaration with an omitted field therefore equals one with the default
    written out. A release that adds a field with a default changes no digest,
    so hosts of two releases agree during a rolling upgrade.
    """
    return model.model_dump(mode="json", exclude_defaults=True)


def digest(model: pydantic.BaseModel) -> str:
    """Returns the digest of a model's canonical JSON."""
    return hashing.digest(to_bytes(dump(model)).decode())
