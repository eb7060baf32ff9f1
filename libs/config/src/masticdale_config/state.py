"""Revisions and the state that results from applying them in order."""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, Any

import pydantic
from pydantic import Field
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, StrictModel
from masticdale_config import canonical, problems, rendering
from masticdale_config.kinds import (
    AnyDeclaration,
    Declaration,
    DeclarationKey,
    Kind,
)
from masticdale_config.rendered import RenderedConfig

ABSENT = "absent"
RECENT_CHANGES = 4096
MAX_NAMED_FIELDS = 8

_ShortText = Annotated[str, pydantic.StringConstraints(max_length=500)]


class StoredModel(StrictModel):
    """Base of the models stored on the platform, read from JSON only."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class RecordedEdit(StoredModel):
    """One declaration before and after a revision.

    Attributes:
        kind: Its kind.
        name: Its name.
        before: None if the revision created it.
        after: None if the revision deleted it.
    """

    kind: Kind
    name: str
    before: AnyDeclaration | None = None
    after: AnyDeclaration | None = None

    @property
    def key(self) -> DeclarationKey:
        """The declaration's kind and name."""
        return DeclarationKey(self.kind, self.name)


class Revision(StoredModel):
    """One accepted change, stored as one immutable object.

    Attributes:
        number: Its position in the sequence of revisions.
        change_id: Id chosen by the operator; a retry carries the same id.
        change_digest: Digest of the change requested under that id.
        author: Operator who applied it.
        reason: Reason stated by the operator.
        accepted_at_ms: Wall clock of the accepting host; informational only.
        edits: Every declaration it touched.
        digest: Digest of the rendered configuration after it.
    """

    number: int = Field(ge=1)
    change_id: str
    change_digest: str
    author: _ShortText
    reason: _ShortText
    accepted_at_ms: int
    edits: tuple[RecordedEdit, ...]
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One field that differs between two JSON values.

    Attributes:
        path: Names of the enclosing fields and the field, joined by dots.
        before: Earlier value; None if there was none.
        after: Later value; None if there is none.
    """

    path: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class TouchedDeclaration:
    """The fields that one change modified in one declaration.

    Attributes:
        key: The declaration.
        fields: Paths of the modified fields, at most a few.
    """

    key: DeclarationKey
    fields: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSummary:
    """The summary of a recent revision; see ``Revision``."""

    revision: int
    change_id: str
    change_digest: str
    author: str
    touched: tuple[TouchedDeclaration, ...]

    def touched_fields(self, key: DeclarationKey) -> tuple[str, ...] | None:
        """Returns the fields modified in a declaration; None if untouched."""
        for touched in self.touched:
            if touched.key == key:
                return touched.fields
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """The state after a revision; immutable.

    Attributes:
        declaration_by_key: Every declaration.
        recent: Summaries of the last ``RECENT_CHANGES`` revisions, oldest
            first. They detect retried changes and name the change that won a
            conflict.
        rendered: The rendered declarations.
    """

    declaration_by_key: Mapping[DeclarationKey, Declaration]
    recent: tuple[ChangeSummary, ...]
    rendered: RenderedConfig

    @property
    def number(self) -> int:
        """Number of the revision."""
        return self.rendered.revision

    def change(self, change_id: str) -> ChangeSummary | None:
        """Returns the recent change with the given id, if any."""
        for summary in reversed(self.recent):
            if summary.change_id == change_id:
                return summary
        return None

    def last_change_of(self, key: DeclarationKey) -> ChangeSummary | None:
        """Returns the latest recent change to a declaration, if any."""
        for summary in reversed(self.recent):
            if summary.touched_fields(key) is not None:
                return summary
        return None

    def digest_of(self, key: DeclarationKey) -> str:
        """Returns a declaration's digest, or ``ABSENT``."""
        declaration = self.declaration_by_key.get(key)
        return ABSENT if declaration is None else declaration.digest


EMPTY_STATE = ConfigState({}, (), rendering.EMPTY)


def encode_revision(revision: Revision) -> bytes:
    """Encodes a revision as its stored bytes."""
    return canonical.to_bytes(canonical.dump(revision))


def decode_revision(value: bytes) -> Result[Revision, Failure]:
    """Decodes a stored revision; INTERNAL if it is invalid."""
    try:
        return Success(Revision.model_validate_json(value))
    except pydantic.ValidationError as error:
        found = problems.from_validation(error, "revision")
        return internal_failure(problems.to_failure(found).detail)


def apply_revision(
    state: ConfigState, revision: Revision
) -> Result[ConfigState, Failure]:
    """Returns the state after the next revision.

    Args:
        state: The state before the revision.
        revision: The revision with the next number.

    Returns:
        The new state; OUT_OF_ORDER if the number is not the next one; INTERNAL
        if this host renders the revision to another digest than the host that
        accepted it.
    """
    if revision.number != state.number + 1:
        detail = f"revision {revision.number} does not follow {state.number}"
        return Failed(Failure(ErrorKind.OUT_OF_ORDER, detail))
    declaration_by_key = apply_edits(state.declaration_by_key, revision.edits)
    outcome = rendering.render_change(
        declaration_by_key,
        revision.number,
        state.rendered,
        [edit.key for edit in revision.edits],
    )
    if isinstance(outcome, Failed):
        return internal_failure(problems.to_failure(outcome.failure()).detail)
    rendered = outcome.unwrap()
    if rendered.digest != revision.digest:
        return internal_failure(
            f"revision {revision.number} renders to {rendered.digest},"
            f" but was accepted as {revision.digest}"
        )
    recent = (*state.recent, summarize(revision))[-RECENT_CHANGES:]
    return Success(ConfigState(declaration_by_key, recent, rendered))


def apply_edits(
    declaration_by_key: Mapping[DeclarationKey, Declaration],
    edits: tuple[RecordedEdit, ...],
) -> dict[DeclarationKey, Declaration]:
    """Returns the declarations with edits applied."""
    after_by_key = dict(declaration_by_key)
    for edit in edits:
        if edit.after is None:
            after_by_key.pop(edit.key, None)
        else:
            after_by_key[edit.key] = edit.after
    return after_by_key


def summarize(revision: Revision) -> ChangeSummary:
    """Returns the summary of a revision."""
    return ChangeSummary(
        revision.number,
        revision.change_id,
        revision.change_digest,
        revision.author,
        tuple(
            TouchedDeclaration(
                edit.key, changed_fields(edit.before, edit.after)
            )
            for edit in revision.edits
        ),
    )


def changed_fields(
    before: Declaration | None,
    after: Declaration | None,
    limit: int = MAX_NAMED_FIELDS,
) -> tuple[str, ...]:
    """Returns the paths of the fields in which two declarations differ.

    Args:
        before: The earlier declaration.
        after: The later declaration. If either is None, the only path is
            ``spec``.
        limit: Maximum number of paths.
    """
    if before is None or after is None:
        return ("spec",)
    found = differences(canonical.dump(before), canonical.dump(after))
    return tuple(difference.path for difference in found[:limit])


def differences(before: Any, after: Any) -> list[Difference]:
    """Returns the innermost fields in which two JSON values differ."""
    found: list[Difference] = []
    _collect_differences(before, after, "", found)
    return found


def _collect_differences(
    before: Any, after: Any, path: str, found: list[Difference]
) -> None:
    if before == after:
        return
    if not (isinstance(before, dict) and isinstance(after, dict)):
        found.append(Difference(path, before, after))
        return
    for name in sorted(before.keys() | after.keys()):
        inner = f"{path}.{name}" if path else name
        _collect_differences(before.get(name), after.get(name), inner, found)


def internal_failure(detail: str) -> Failed[Failure]:
    """Returns an INTERNAL failure, for invalid or mismatching stored data."""
    return Failed(Failure(ErrorKind.INTERNAL, detail))
