"""Generates tables in the pages of docs/ from the code.

The text between ``<!-- fields: module.Model -->`` and ``<!-- end -->`` is
replaced with a table of the model's fields, and the text between
``<!-- errors -->`` and ``<!-- end -->`` with a table of error kinds.
Descriptions come from the model's docstring; tests/test_docs.py fails if a page
is out of date.
"""

import dataclasses
import importlib
import json
import pathlib
import re
import sys
from typing import Any

import pydantic

from masticctl.docstrings import read_docstring
from masticdale_common import ERROR_RESPONSE_BY_KIND, ErrorResponse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
_BLOCK = re.compile(r"<!-- fields: ([\w.]+) -->\n.*?<!-- end -->", re.S)
MAX_COUNT = 2**53
_PATTERN_NAMES = {
    r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$": "a name",
    r"^[0-9a-f]{64}$": "64 hexadecimal digits",
}
_ERRORS = re.compile(r"<!-- errors -->\n.*?<!-- end -->", re.S)
_ERRORS_HEADER = (
    "| kind | status | ran | retry after | exit code | message |\n"
    "| --- | --- | --- | --- | --- | --- |\n"
)
_HEADER = (
    "| field | meaning | unit | default | bounds |\n"
    "| --- | --- | --- | --- | --- |\n"
)
_UNITS = (
    ("tokens_per_s", "tokens a second"),
    ("requests_per_s", "requests a second"),
    ("tokens_per_hour", "tokens an hour"),
    ("_ms", "milliseconds"),
    ("_s", "seconds"),
    ("_bytes", "bytes"),
    ("_tokens", "tokens"),
    ("tokens", "tokens"),
    ("_interval", "tokens"),
)
_BOUNDS = (
    ("minimum", "at least {}"),
    ("exclusiveMinimum", "above {}"),
    ("maximum", "at most {}"),
    ("minLength", "at least {} characters"),
    ("maxLength", "at most {} characters"),
    ("minItems", "at least {} items"),
    ("maxItems", "at most {} items"),
    ("minProperties", "at least {} entries"),
    ("pattern", "{}"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class FieldRow:
    """Table row of one field of a model."""

    name: str
    meaning: str
    unit: str
    default: str
    bounds: str

    def __str__(self) -> str:
        cells = (
            f"`{self.name}`",
            self.meaning,
            self.unit,
            self.default,
            self.bounds,
        )
        return f"| {' | '.join(_escape(cell) for cell in cells)} |"


def current_page(text: str) -> str:
    """Returns the text of a page with regenerated tables."""
    return _ERRORS.sub(_replace_errors, _BLOCK.sub(_replace, text))


def documented_models(text: str) -> set[str]:
    """Returns the names of the models whose tables a page contains."""
    return set(_BLOCK.findall(text))


def load_model(name: str) -> type[pydantic.BaseModel]:
    """Imports a model by its qualified name."""
    module_name, _, model_name = name.rpartition(".")
    model: type[pydantic.BaseModel] = getattr(
        importlib.import_module(module_name), model_name
    )
    return model


def field_rows(model: type[pydantic.BaseModel]) -> list[FieldRow]:
    """Returns the table rows of a model in field order."""
    schema = model.model_json_schema()
    meaning_by_name = _read_meanings(model)
    return [
        FieldRow(
            name=name,
            meaning=meaning_by_name.get(name, ""),
            unit=_unit(name, field),
            default=_default(name, field, schema),
            bounds=_bounds(field, schema),
        )
        for name, field in schema["properties"].items()
    ]


def _replace(match: re.Match[str]) -> str:
    rows = "\n".join(str(row) for row in field_rows(load_model(match[1])))
    return f"<!-- fields: {match[1]} -->\n\n{_HEADER}{rows}\n\n<!-- end -->"


def _replace_errors(match: re.Match[str]) -> str:
    del match
    rows = "\n".join(
        f"| `{kind.value}` | {response.status} | {response.ran.value}"
        f" | {_retry(response)} | {response.exit_code} | {response.message} |"
        for kind, response in ERROR_RESPONSE_BY_KIND.items()
    )
    return f"<!-- errors -->\n\n{_ERRORS_HEADER}{rows}\n\n<!-- end -->"


def _retry(response: ErrorResponse) -> str:
    if response.retry_after_ms is None:
        return "never"
    return f"{response.retry_after_ms} ms"


def _read_meanings(model: type[pydantic.BaseModel]) -> dict[str, str]:
    description_by_name: dict[str, str] = {}
    for base in reversed(model.__mro__):
        description_by_name |= read_docstring(
            base, "Attributes"
        ).description_by_name
    return {
        name: text.replace("``", "`")
        for name, text in description_by_name.items()
    }


def _unit(name: str, field: dict[str, Any]) -> str:
    if not _types(field) & {"integer", "number"}:
        return ""
    for suffix, unit in _UNITS:
        if name.endswith(suffix):
            return unit
    return ""


def _types(field: dict[str, Any]) -> set[str]:
    variants = field.get("anyOf", [field])
    return {variant.get("type", "") for variant in variants}


def _default(name: str, field: dict[str, Any], schema: dict[str, Any]) -> str:
    if name in schema.get("required", ()):
        return "required"
    if "default" not in field:
        return "empty"
    value = field["default"]
    if value is None:
        return "none"
    if value in ("", [], {}):
        return "empty"
    if isinstance(value, dict):
        return "see below"
    return f"`{json.dumps(value)}`"


def _bounds(field: dict[str, Any], schema: dict[str, Any]) -> str:
    bounds: list[str] = []
    for variant in field.get("anyOf", [field]):
        reference = variant.get("$ref", "").rpartition("/")[2]
        resolved = schema.get("$defs", {}).get(reference, {})
        merged = variant | {
            k: resolved[k] for k in ("enum", "pattern") if k in resolved
        }
        if "enum" in merged:
            bounds.append("one of " + ", ".join(map(str, merged["enum"])))
        if "const" in merged:
            bounds.append(f"`{merged['const']}`")
        bounds += [
            text.format(_bound(merged[key]))
            for key, text in _BOUNDS
            if key in merged
        ]
    items = field.get("items", {})
    if "pattern" in items:
        bounds.append(f"each {_pattern(items['pattern'])}")
    return ", ".join(bounds)


def _bound(value: float | str) -> str:
    if isinstance(value, str):
        return _pattern(value)
    if value == MAX_COUNT:
        return "2^53"
    return str(int(value)) if float(value).is_integer() else str(value)


def _pattern(pattern: str) -> str:
    return _PATTERN_NAMES.get(pattern, f"`{pattern}`")


def _escape(cell: str) -> str:
    return cell.replace("|", "\\|")


def main() -> int:
    """Rewrites outdated pages; with ``--check``, only reports them.

    Returns:
        The exit code: 1 if ``--check`` finds an outdated page.
    """
    check_only = "--check" in sys.argv[1:]
    stale = []
    for page in sorted(DOCS.glob("*.md")):
        text = page.read_text()
        current = current_page(text)
        if current == text:
            continue
        stale.append(page.name)
        if not check_only:
            page.write_text(current)
    print(f"{len(stale)} page(s) not current: {', '.join(stale)}")
    return 1 if check_only and stale else 0


if __name__ == "__main__":
    sys.exit(main())
