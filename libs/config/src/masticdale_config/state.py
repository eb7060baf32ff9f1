"""Revisions, and the state that following them in order gives."""

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
    """A model of what the platform stores, read from JSON only."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class RecordedEdit(StoredModel):
    """One declaration before and after a revision.

    Attributes:
        kind: Its kind.
        name: Its name.
        before: None where it was created.
        after: None where it was deleted.
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
        number: Its place in the one sequence.
        change_id: Chosen by the operator; an apply sent again carries it.
        change_digest: Digest of what was asked for under that id.
        author: Who applied it.
        reason: Why, in the operator's words.
        accepted_at_ms: Wall clock of the accepting host, for people only.
        edits: Every declaration it touched.
        digest: Digest of the whole rendered configuration after it.
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
        path: Names of the fields that lead to it, joined by dots.
        before: Its earlier value; None where there was none.
        after: Its later value; None where there is none.
    """

    path: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, slots=True)
class TouchedDeclaration:
    """What one change did to one declaration.

    Attributes:
        key: The declaration.
        fields: Paths of the fields that it changed, the first few.
    """

    key: DeclarationKey
    fields: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSummary:
    """What is remembered of a recent revision; see ``Revision``."""

    revision: int
    change_id: str
    change_digest: str
    author: str
    touched: tuple[TouchedDeclaration, ...]

    def touched_fields(self, key: DeclarationKey) -> tuple[str, ...] | None:
        """Returns the fields it changed in a declaration, if it did."""
        for touched in self.touched:
            if touched.key == key:
                return touched.fields
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """Everything known after a revision; immutable.

    Attributes:
        declaration_by_key: Every declaration.
        recent: Summaries of the last ``RECENT_CHANGES`` revisions, oldest
            first; they recognise changes sent again and name the winner of a
            conflict.
        rendered: What the declarations mean.
    """

    declaration_by_key: Mapping[DeclarationKey, Declaration]
    recent: tuple[ChangeSummary, ...]
    rendered: RenderedConfig

    @property
    def number(self) -> int:
        """The revision's number."""
        return self.rendered.revision

    def change(self, change_id: str) -> ChangeSummary | None:
        """Returns the recent change with an id."""
        for summary in reversed(self.recent):
            if summary.change_id == change_id:
                return summary
        return None

    def last_change_of(self, key: DeclarationKey) -> ChangeSummary | None:
        """Returns the latest recent change that touched a declaration."""
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
    """Returns the bytes under which a revision is stored."""
    return canonical.to_bytes(canonical.dump(revision))


def decode_revision(value: bytes) -> Result[Revision, Failure]:
    """Reads a stored revision; INTERNAL where it cannot be read."""
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
        state: The state before.
        revision: The revision with the next number.

    Returns:
        The new state; OUT_OF_ORDER unless the number is the next one;
        INTERNAL where this host renders it to another digest than the host
        that accepted it, in which case the state before stays in force.
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
            f" accepted as {revision.digest}"
        )
    recent = (*state.recent, summarize(revision))[-RECENT_CHANGES:]
    return Success(ConfigState(declaration_by_key, recent, rendered))


def apply_edits(
    declaration_by_key: Mapping[DeclarationKey, Declaration],
    edits: tuple[RecordedEdit, ...],
) -> dict[DeclarationKey, Declaration]:
    """Returns the declarations after edits."""
    after_by_key = dict(declaration_by_key)
    for edit in edits:
        if edit.after is None:
            after_by_key.pop(edit.key, None)
        else:
            after_by_key[edit.key] = edit.after
    return after_by_key


def summarize(revision: Revision) -> ChangeSummary:
    """Returns what is remembered of a revision."""
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
    """Returns the paths of the fields that differ, the first few.

    Args:
        before: The earlier declaration.
        after: The later one; where either is None the one path is ``spec``.
        limit: Most paths returned.
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
    """Returns the failure for stored bytes that make no sense."""
    return Failed(Failure(ErrorKind.INTERNAL, detail))
