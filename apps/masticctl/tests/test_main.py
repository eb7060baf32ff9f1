"""Tests of command-line parsing, help pages and usage errors."""

import contextlib
import io
import unittest

from masticctl import main
from masticctl.errors import UsageError


def run(*argv):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.run(argv)
    return code, out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    def test_help_describes_every_option_of_every_command(self):
        code, out, _ = run("--help")
        self.assertEqual(code, 0)
        self.assertIn("5 another change came first", out)
        commands = [
            line.split()[0]
            for line in out.partition("Commands:\n")[2].splitlines()
            if line.startswith("  ") and not line.startswith("   ")
        ]
        self.assertIn("apply", commands)
        for command in commands:
            code, page, _ = run(command, "--help")
            self.assertTrue(page.startswith(f"Usage: masticctl {command}"))
            for line in page.splitlines():
                self.assertLessEqual(len(line), 80)
                if line.strip().startswith("--"):
                    self.assertGreater(len(line.split()), 2, line)

    def test_help_shows_arguments_defaults_and_renamed_options(self):
        _, page, _ = run("apply", "--help")
        self.assertIn("Usage: masticctl apply [OPTIONS] [FOLDER]", page)
        _, page, _ = run("workspace", "create", "--help")
        self.assertIn("--from TEXT", page)
        _, page, _ = run("status", "--help")
        self.assertIn("[default: 30.0]", page)

    def test_usage_errors_exit_with_2(self):
        for argv in (
            ["bogus"],
            ["program"],
            ["plan"],
            ["apply"],
            ["apply", "x", "--plan", "y"],
            ["status", "--revision", "x"],
            ["delete", "no-kind"],
            ["get", "Nothing/x", "--output", "xml"],
            ["status", "--server", "host-1"],
            ["status", "--token-file", "missing"],
        ):
            code, out, err = run(*argv)
            self.assertEqual((code, out), (2, ""), argv)
            self.assertIn("Error: ", err)

    def test_a_mistyped_option_runs_nothing(self):
        """Guards against Fire running a command before parsing all options."""
        with self.assertRaises(UsageError) as caught:
            main.parse(["takeover", "7", "--yse"])
        self.assertIn("--yse", str(caught.exception))
        self.assertIn("Usage: masticctl takeover", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
