"""Tests that examples in docs/ work and that its tables are complete.

Examples are fenced blocks. ``console`` blocks contain ``$ masticctl`` commands
with their expected output, where ``...`` matches any text. The commands of a
page run in order against an in-memory host, and ``exit=N`` in the fence is the
exit code of the last command. ``json declaration``, ``json settings`` and
``json error`` blocks are validated by the models; ``http STATUS`` blocks are
requests with their expected status.
"""

import dataclasses
import doctest
import itertools
import os
import pathlib
import re
import shlex
import shutil
import sys
import tempfile
import unittest
from unittest import mock

import pydantic
from litestar.testing import AsyncTestClient

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
sys.path[:0] = [str(ROOT / "scripts"), str(ROOT / "apps/masticctl/tests")]

import hosts  # noqa: E402
import write_field_tables  # noqa: E402

from masticctl import help as help_pages  # noqa: E402
from masticctl import session  # noqa: E402
from masticdale_config import parse  # noqa: E402
from masticdale_config.messages import ErrorBody  # noqa: E402
from masticdaled.operators import listener  # noqa: E402
from masticdaled.operators.access import create_access  # noqa: E402
from masticdaled.operators.testing import (  # noqa: E402
    OPERATE_TOKEN,
    QUARANTINED_DIGEST,
    TOKENS,
    create_context,
    program,
)
from masticdaled.settings import DaemonSettings  # noqa: E402

FENCE = re.compile(r"^```(\w+) ?([^\n]*)\n(.*?)^```$", re.M | re.S)
PROMPT = "$ masticctl "
CHECK_OPTIONS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE
PROGRAM_ID = "5f2c9a77"
DOCUMENTED_METRIC = re.compile(r"`(\w+_total|config_revision|hosts_live)")
# Guards against a page that lost its examples.
CONSOLE_PAGE = "OPERATIONS.md"


@dataclasses.dataclass(frozen=True)
class Block:
    """Fenced block of a page."""

    page: str
    language: str
    info: str
    text: str


def read_blocks(*languages):
    return [
        Block(page.name, *match)
        for page in sorted(DOCS.glob("*.md"))
        for match in FENCE.findall(page.read_text())
        if match[0] in languages
    ]


def read_page(name):
    return (DOCS / name).read_text()


def split_commands(text):
    """Returns the commands of a console block with their expected output."""
    commands = []
    for line in text.splitlines(keepends=True):
        if line.startswith(PROMPT):
            commands.append([line.removeprefix(PROMPT), ""])
        else:
            commands[-1][1] += line
    return commands


class ExamplesTest(unittest.IsolatedAsyncioTestCase):
    def enter_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(folder.name)
        shutil.copytree(ROOT / "examples", "examples")
        pathlib.Path("altai.key").write_text("altai-guide-key")

    async def test_console_examples_print_what_the_page_shows(self):
        self.enter_folder()
        tool = hosts.ToolHarness()
        tool.context.program_by_id[PROGRAM_ID] = program(PROGRAM_ID)
        tool.context.quarantined_digests.add(QUARANTINED_DIGEST)
        blocks = read_blocks("console")
        self.assertEqual({b.page for b in blocks}, {CONSOLE_PAGE})
        with mock.patch.object(session, "confirm", return_value=True):
            for block in blocks:
                await self.run_block(tool, block)

    async def run_block(self, tool, block):
        last_code = int(block.info.removeprefix("exit=") or 0)
        commands = split_commands(block.text)
        for index, (command, expected) in enumerate(commands):
            done = await tool.run(*shlex.split(command))
            is_last = index == len(commands) - 1
            transcript = f"$ masticctl {command}{done.out}{done.err}"
            self.assertEqual(done.code, last_code if is_last else 0, transcript)
            matches = doctest.OutputChecker().check_output(
                expected, done.out + done.err, CHECK_OPTIONS
            )
            self.assertTrue(matches, f"{transcript}\nexpected:\n{expected}")

    async def test_http_examples_are_answered_as_the_page_says(self):
        app = listener.create_operator_app(
            create_context(), create_access(TOKENS)
        )
        headers = {"Authorization": f"Bearer {OPERATE_TOKEN}"}
        blocks = read_blocks("http")
        self.assertTrue(blocks)
        async with AsyncTestClient(app) as client:
            for block in blocks:
                request_line, _, body = block.text.partition("\n\n")
                method, path = request_line.split()
                response = await client.request(
                    method, path, content=body, headers=headers
                )
                self.assertEqual(str(response.status_code), block.info, body)

    def test_json_examples_are_valid(self):
        readers = {
            "declaration": lambda text: parse(text).unwrap(),
            "settings": DaemonSettings.model_validate_json,
            "error": pydantic.TypeAdapter(ErrorBody).validate_json,
        }
        blocks = read_blocks("json")
        self.assertEqual({b.info for b in blocks}, set(readers))
        for block in blocks:
            readers[block.info](block.text)


class CompletenessTest(unittest.TestCase):
    def test_tables_from_the_code_are_current(self):
        for page in DOCS.glob("*.md"):
            text = page.read_text()
            self.assertEqual(
                write_field_tables.current_page(text),
                text,
                "run scripts/write_field_tables.py",
            )

    def test_every_field_of_the_settings_and_declarations_has_a_table(self):
        documented = write_field_tables.documented_models(
            read_page("CONFIGURATION.md")
        )
        names = {name.rpartition(".")[2] for name in documented}
        for name in documented:
            model = write_field_tables.load_model(name)
            referred = model.model_json_schema().get("$defs", {})
            objects = {k for k, v in referred.items() if "properties" in v}
            self.assertEqual(objects - names, set(), name)
            for row in write_field_tables.field_rows(model):
                self.assertTrue(row.meaning, f"{name}.{row.name}")

    def test_every_route_and_command_is_on_its_page(self):
        app = listener.create_operator_app(
            create_context(), create_access(TOKENS)
        )
        page = read_page("API.md")
        for route in app.routes:
            path = re.sub(r":\w+}", "}", route.path)
            if path.startswith("/schema"):
                continue
            for handler in route.route_handlers:
                for method in handler.http_methods - {"OPTIONS"}:
                    self.assertIn(f"| {method} | `{path}` | ", page)
        page = read_page("OPERATIONS.md")
        for words in help_pages.command_names():
            self.assertIn(f"masticctl {words}", page)

    def test_every_metric_that_an_alert_names_exists(self):
        named = set(DOCUMENTED_METRIC.findall(read_page("OPERATIONS.md")))
        sources = itertools.chain(
            ROOT.glob("libs/*/src"), ROOT.glob("apps/*/src")
        )
        code = "".join(
            file.read_text() for s in sources for file in s.rglob("*.py")
        )
        self.assertTrue(named)
        missing = {name for name in named if f'"{name}"' not in code}
        self.assertEqual(missing, set())


if __name__ == "__main__":
    unittest.main()
