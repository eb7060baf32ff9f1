"""OpenAPI schema of the body of a change.

The routes validate the raw body themselves, so litestar cannot derive the
schema.
"""

import dataclasses

from litestar.openapi.spec import (
    OpenAPIMediaType,
    OpenAPIType,
    Operation,
    Reference,
    RequestBody,
    Schema,
)

_TEXT = Schema(type=OpenAPIType.STRING)
_EDITS = Schema(
    type=OpenAPIType.ARRAY,
    items=Reference(ref="#/components/schemas/EditRequest"),
)
_CHANGE = Schema(
    type=OpenAPIType.OBJECT,
    properties={"change_id": _TEXT, "reason": _TEXT, "edits": _EDITS},
    required=["change_id", "edits"],
)


@dataclasses.dataclass
class ChangeOperation(Operation):
    """An OpenAPI operation whose request body is a ``ChangeRequest``."""

    def __post_init__(self) -> None:
        self.request_body = RequestBody(
            content={"application/json": OpenAPIMediaType(schema=_CHANGE)},
            required=True,
        )
