"""Reading declarations from JSON files and computing edits from them."""

import pathlib
import uuid
from collections.abc import Iterable

import orjson
from returns.result import Failure as Failed

from masticctl.errors import UsageError
from masticdale_config import (
    ABSENT,
    Declaration,
    DeclarationKey,
    key_of,
    parse,
)
from masticdale_config.messages import (
    ChangeRequest,
    DeclarationPage,
    EditRequest,
)

DeclarationByKey = dict[DeclarationKey, Declaration]


def read_folder(folder: str) -> DeclarationByKey:
    """Reads all declarations from a folder or a file.

    Args:
        folder: Folder that is searched recursively for ``*.json``, or a single
            file. Each file holds one declaration or a list of them.

    Raises:
        UsageError: A file cannot be read or a declaration is invalid; the
            message lists every invalid field of every file.
    """
    path = pathlib.Path(folder)
    if not path.exists():
        raise UsageError(
            f"{folder}: no such file or folder",
            "give the folder that holds your declarations.",
        )
    files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
    if not files:
        raise UsageError(
            f"{folder}: contains no *.json file",
            "give the folder that holds your declarations.",
        )
    declaration_by_key: DeclarationByKey = {}
    problems: list[str] = []
    for file in files:
        _read_file(file, declaration_by_key, problems)
    if problems:
        raise UsageError(
            "\n".join(problems),
            "correct the fields; docs/CONFIGURATION.md lists them all.",
        )
    return declaration_by_key


def to_edits(
    desired_by_key: DeclarationByKey,
    active: DeclarationPage,
    prune: bool = False,
) -> tuple[EditRequest, ...]:
    """Returns the edits that lead from the active to the desired state.

    Args:
        desired_by_key: Desired declarations, from the files.
        active: Active declarations, from the daemon.
        prune: Whether to delete active declarations that are not desired.
    """
    digest_by_key = {
        key_of(item.declaration): item.digest for item in active.items
    }
    edits = [
        EditRequest(
            kind=key.kind,
            name=key.name,
            seen=digest_by_key.get(key, ABSENT),
            after=desired,
        )
        for key, desired in sorted(desired_by_key.items(), key=lambda i: i[0])
        if digest_by_key.get(key) != desired.digest
    ]
    if not prune:
        return tuple(edits)
    edits += [
        EditRequest(kind=key.kind, name=key.name, seen=digest)
        for key, digest in sorted(digest_by_key.items())
        if key not in desired_by_key
    ]
    return tuple(edits)


def new_change(edits: Iterable[EditRequest], reason: str = "") -> ChangeRequest:
    """Creates a change with a unique id."""
    return ChangeRequest(
        change_id=uuid.uuid4().hex, reason=reason, edits=tuple(edits)
    )


def to_text(declaration: Declaration) -> str:
    """Serializes a declaration in the format of declaration files."""
    value = declaration.model_dump(mode="json", exclude_defaults=True)
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode() + "\n"


def parse_text(text: bytes | str, source: str) -> Declaration:
    """Parses one declaration.

    Raises:
        UsageError: The declaration is invalid; the message names the source and
            the fields.
    """
    outcome = parse(text)
    if isinstance(outcome, Failed):
        lines = outcome.failure().detail.splitlines()
        raise UsageError("\n".join(f"{source}: {line}" for line in lines))
    return outcome.unwrap()


def _read_file(
    file: pathlib.Path,
    declaration_by_key: DeclarationByKey,
    problems: list[str],
) -> None:
    try:
        value = orjson.loads(file.read_bytes())
    except OSError as error:
        problems.append(f"{file}: {error.strerror}")
        return
    except orjson.JSONDecodeError as error:
        problems.append(f"{file}: not JSON: {error}")
        return
    items = value if isinstance(value, list) else [value]
    for index, item in enumerate(items):
        source = f"{file}[{index}]" if isinstance(value, list) else str(file)
        try:
            declaration = parse_text(orjson.dumps(item), source)
        except UsageError as error:
            problems.append(str(error))
            continue
        key = key_of(declaration)
        if key in declaration_by_key:
            problems.append(f"{source}: {key} is declared twice")
        declaration_by_key[key] = declaration
