"""Encodes states as snapshots, for hosts that start or lag far behind."""

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure, hashing
from masticdale_config import canonical, problems, rendering
from masticdale_config import state as states
from masticdale_config.kinds import (
    AnyDeclaration,
    DeclarationKey,
    Kind,
    key_of,
)


class _TouchedModel(states.StoredModel):
    kind: Kind
    name: str
    fields: tuple[str, ...]


class _SummaryModel(states.StoredModel):
    revision: int
    change_id: str
    change_digest: str
    author: str
    touched: tuple[_TouchedModel, ...]


class _SnapshotModel(states.StoredModel):
    number: int
    digest: str
    declarations: tuple[AnyDeclaration, ...]
    recent: tuple[_SummaryModel, ...]


def encode(state: states.ConfigState) -> bytes:
    """Encodes a state; equal states give equal bytes on every host."""
    declarations = [
        state.declaration_by_key[key]
        for key in sorted(state.declaration_by_key)
    ]
    snapshot = _SnapshotModel(
        number=state.number,
        digest=state.rendered.digest,
        declarations=tuple(declarations),
        recent=tuple(
            _SummaryModel(
                revision=summary.revision,
                change_id=summary.change_id,
                change_digest=summary.change_digest,
                author=summary.author,
                touched=tuple(
                    _TouchedModel(
                        kind=touched.key.kind,
                        name=touched.key.name,
                        fields=touched.fields,
                    )
                    for touched in summary.touched
                ),
            )
            for summary in state.recent
        ),
    )
    return canonical.to_bytes(canonical.dump(snapshot))


def decode(value: bytes) -> Result[states.ConfigState, Failure]:
    """Decodes a state; INTERNAL if it is invalid or its digest differs."""
    try:
        snapshot = _SnapshotModel.model_validate_json(value)
    except pydantic.ValidationError as error:
        found = problems.from_validation(error, "snapshot")
        return states.internal_failure(problems.to_failure(found).detail)
    declaration_by_key = {key_of(d): d for d in snapshot.declarations}
    outcome = rendering.render(declaration_by_key, snapshot.number)
    if isinstance(outcome, Failed):
        return states.internal_failure(
            problems.to_failure(outcome.failure()).detail
        )
    rendered = outcome.unwrap()
    if rendered.digest != snapshot.digest:
        return states.internal_failure(
            f"snapshot {snapshot.number} renders to {rendered.digest},"
            f" but was written as {snapshot.digest}"
        )
    recent = tuple(
        states.ChangeSummary(
            summary.revision,
            summary.change_id,
            summary.change_digest,
            summary.author,
            tuple(
                states.TouchedDeclaration(
                    DeclarationKey(t.kind, t.name), t.fields
                )
                for t in summary.touched
            ),
        )
        for summary in snapshot.recent
    )
    return Success(states.ConfigState(declaration_by_key, recent, rendered))


def digest(value: bytes) -> str:
    """Returns the digest of stored bytes."""
    return hashing.digest(value.hex())
