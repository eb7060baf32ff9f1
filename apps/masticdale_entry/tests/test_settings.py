"""Tests of the settings file and the command line."""

import contextlib
import io
import json
import pathlib
import re
import tempfile
import unittest
from unittest import mock

from masticdale_entry.main import Commands, check_settings
from masticdale_entry.settings import Settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
TEMPLATE = ROOT / "deploy" / "settings.json.tmpl"
VALUE_BY_PLACEHOLDER = {
    "node_name": "edge-a-1",
    "role": "entry",
    "zone": "a",
    "platform.address": "10.200.1.7:8142",
    "bounds.grace_s": 8,
    "listen.front": "10.1.0.38:8149",
    "listen.ready": "10.1.0.38:8141",
    "listen.control": "10.1.0.38:8144",
    "internal_ports.0": 7380,
    "internal_ports.1": 7395,
    "ip": "10.1.0.38",
    "seeds": ["10.1.0.38:8144", "10.2.0.40:8144"],
}


def fill_in(template, value_by_placeholder):
    """Renders the template as the platform does."""
    as_json = re.sub(
        r"\{\{([\w.]+)\|json\}\}",
        lambda match: json.dumps(value_by_placeholder.get(match[1])),
        template,
    )
    return re.sub(
        r"\{\{([\w.]+)\}\}",
        lambda match: str(value_by_placeholder.get(match[1], "")),
        as_json,
    )


class ChangedSettingsTest(unittest.TestCase):
    """Guards against a log that claims a reload which did not happen."""

    def check(self, text):
        """Returns the fields of the log line for a changed file."""
        active = Settings.model_validate_json(
            fill_in(TEMPLATE.read_text(), VALUE_BY_PLACEHOLDER)
        )
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(text)
            with mock.patch("masticdale_common.logs.write") as write:
                check_settings(str(path), active)
        self.assertEqual(write.call_args.args, ("settings_checked",))
        return write.call_args.kwargs

    def test_changes_that_need_a_restart_are_named(self):
        changed = VALUE_BY_PLACEHOLDER | {"bounds.grace_s": 20}
        fields = self.check(fill_in(TEMPLATE.read_text(), changed))
        self.assertEqual(fields["pending"], ["grace_s"])

    def test_an_unchanged_file_has_nothing_pending(self):
        text = fill_in(TEMPLATE.read_text(), VALUE_BY_PLACEHOLDER)
        self.assertEqual(self.check(text)["pending"], [])

    def test_an_invalid_file_is_reported(self):
        self.assertTrue(self.check("{")["failure"])


class SettingsTest(unittest.TestCase):
    def check(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_text(text)
            printed = io.StringIO()
            with contextlib.redirect_stderr(printed):
                try:
                    return 0, Commands().check(str(path))
                except SystemExit as error:
                    return error.code, printed.getvalue()

    def test_the_template_gives_valid_settings(self):
        text = fill_in(TEMPLATE.read_text(), VALUE_BY_PLACEHOLDER)
        code, printed = self.check(text)
        self.assertEqual(code, 0, printed)

    def test_a_storage_host_needs_no_addresses(self):
        values = VALUE_BY_PLACEHOLDER | {"role": "storage"}
        for name in ("listen.front", "listen.ready", "listen.control"):
            values = values | {name: None}
        code, printed = self.check(fill_in(TEMPLATE.read_text(), values))
        self.assertEqual(code, 0, printed)

    def test_wrong_fields_end_the_process(self):
        """Guards against a process that serves with invalid settings."""
        good = json.loads(fill_in(TEMPLATE.read_text(), VALUE_BY_PLACEHOLDER))
        for name, value, expected in (
            ("grace_s", "long", "grace_s"),
            ("role", "leader", "role"),
            ("store", "store.example:80", "store"),
            ("metrics_port", 70_000, "metrics_port"),
            ("callers", None, "needs callers"),
            ("speed", 9, "speed"),
        ):
            with self.subTest(field=name):
                code, printed = self.check(json.dumps(good | {name: value}))
                self.assertEqual(code, 2)
                self.assertIn(expected, printed)
                self.assertEqual(len(printed.strip().splitlines()), 1)

    def test_a_missing_file_is_named(self):
        printed = io.StringIO()
        with (
            contextlib.redirect_stderr(printed),
            self.assertRaises(SystemExit) as raised,
        ):
            Commands().check("/nowhere/settings.json")
        self.assertEqual(raised.exception.code, 2)
        self.assertIn("/nowhere/settings.json", printed.getvalue())

    def test_every_setting_is_in_the_template(self):
        named = set(json.loads(fill_in(TEMPLATE.read_text(), {})))
        self.assertEqual(named, set(Settings.model_fields))


if __name__ == "__main__":
    unittest.main()
