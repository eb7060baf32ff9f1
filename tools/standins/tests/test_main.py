"""Tests of the command ``mastic-standin``."""

import pathlib
import subprocess
import sys
import tempfile
import unittest


class MainTest(unittest.TestCase):
    def test_invalid_settings_are_named_and_end_with_code_2(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            path.write_text('{"port": 99999}')
            run = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "masticdale_standins.main",
                    "engine",
                    "--settings",
                    str(path),
                ],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(run.returncode, 2)
        self.assertIn("port: Input should be less than", run.stderr)


if __name__ == "__main__":
    unittest.main()
