"""Tests of the comparison of scores by ``scripts/regression.py``."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "scripts"))

import regression


def score(*worths, broken=()):
    by_day = {f"day-{n}": worth for n, worth in enumerate(worths)}
    return regression.Score(by_day, broken)


class FindProblemsTest(unittest.TestCase):
    def test_cases(self):
        cases = (
            ("as before", score(0.9, 0.8), score(0.9, 0.8), 0),
            ("within the noise", score(0.88, 0.78), score(0.9, 0.8), 0),
            ("fallen", score(0.85, 0.75), score(0.9, 0.8), 1),
            (
                "one day fallen, the mean not",
                score(0.82, 0.9),
                score(0.9, 0.8),
                0,
            ),
            ("broken", score(0.9, broken=("day-0: BUDGET",)), score(0.9), 1),
            ("broken and fallen", score(0.5, broken=("x",)), score(0.9), 2),
            ("a day was not played", score(0.9), score(0.9, 0.9), 1),
            ("nothing was played", score(), score(0.9), 1),
            ("no earlier score", score(0.1), None, 0),
        )
        for name, now, before, count in cases:
            with self.subTest(name):
                problems = regression.find_problems("site", now, before)
                self.assertEqual(len(problems), count, problems)
                self.assertTrue(all("site" in p for p in problems))

    def test_days_drawn_for_one_score_are_not_compared(self):
        entry = {
            "days": [
                {"name": "quiet-1", "G": 0.9, "rules": [], "fault": ""},
                {"name": "fresh-1", "G": 0.1, "rules": [], "fault": ""},
                {"name": "fresh-2", "G": 0.1, "rules": ["LOST"], "fault": ""},
            ]
        }
        read = regression.read_score(entry)
        self.assertEqual(read.worth_by_day, {"quiet-1": 0.9})
        self.assertEqual(len(read.broken), 1)


class SitesTest(unittest.TestCase):
    def test_the_large_site_is_a_regression_site(self):
        names = {site.name for site in regression.REGRESSION_SITES}
        self.assertIn("tengri-permits-large", names)
        self.assertEqual(len(names), len(regression.REGRESSION_SITES))


if __name__ == "__main__":
    unittest.main()
