"""Canonical JSON and digests, the same on each host."""

from typing import Any

import orjson
import pydantic

from masticdale_common import hashing


def to_bytes(value: Any) -> bytes:
    """Returns JSON with sorted keys and no white space."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def dump(model: pydantic.BaseModel) -> Any:
    """Returns a model's JSON values without those equal to the defaults.

    A field left out and one set to its default are the same declaration, and
    a release that adds a field with a default leaves all digests as they
    were, so hosts of two releases agree while an upgrade is rolling.
    """
    return model.model_dump(mode="json", exclude_defaults=True)


def digest(model: pydantic.BaseModel) -> str:
    """Returns the digest of a model's canonical JSON."""
    return hashing.digest(to_bytes(dump(model)).decode())
