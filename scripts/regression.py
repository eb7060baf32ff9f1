"""Scores the regression sites and compares them with their last scores.

    scripts/regression.py "WHY"
    scripts/regression.py "WHY" --only cedarline-hq

The journal's newest earlier score of each site is the reference. Exits with 1
and names the site if its mean worth falls by more than the noise or a rule is
broken.
"""

import argparse
import dataclasses
import json
import pathlib
import statistics
import sys

import play

SITES = play.ROOT / "../given/kit/more/system"
# Difference between two scores of the same code that plays alone explain.
NOISE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class RegressionSite:
    """A site that is scored before each landing.

    Attributes:
        path: Its site file, below the kit's folder and without its ending.
        jobs: Days to play at a time, so that half of the memory suffices.
    """

    path: str
    jobs: int

    @property
    def name(self) -> str:
        """Name of the site."""
        return pathlib.Path(self.path).name


REGRESSION_SITES = (
    RegressionSite("sites/tengri-permits", 3),
    RegressionSite("sites/halvorsen-lens", 3),
    RegressionSite("further/cedarline-hq", 3),
    RegressionSite("further-grown/cedarline-hq-grown", 2),
    RegressionSite("grown/tengri-permits-grown", 2),
    RegressionSite("grown/halvorsen-lens-grown", 2),
    RegressionSite("shifted/tengri-permits-now-grown", 3),
    RegressionSite("large/tengri-permits-large", 2),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """A whole score of a site.

    Attributes:
        worth_by_day: Worth of each standard day; days drawn for one score are
            left out, since they differ from score to score.
        broken: The broken rules and faults, with the day of each.
    """

    worth_by_day: dict[str, float]
    broken: tuple[str, ...]


def read_score(entry: dict[str, object]) -> Score:
    """Reads the score in a journal entry."""
    days = entry.get("days")
    worth_by_day: dict[str, float] = {}
    broken: list[str] = []
    for day in days if isinstance(days, list) else []:
        if not day["name"].startswith("fresh-"):
            worth_by_day[day["name"]] = day["G"]
        if day["rules"] or day["fault"]:
            broken.append(f"{day['name']}: {day['rules'] or day['fault']}")
    return Score(worth_by_day, tuple(broken))


def find_problems(
    site: str, score: Score, reference: Score | None
) -> list[str]:
    """Returns why a score is no pass; empty if it is one.

    Args:
        site: Name of the site.
        score: The new score.
        reference: The last earlier score of the site; None without one.
    """
    problems = [f"{site}: broken on {broken}" for broken in score.broken]
    if not score.worth_by_day:
        return [*problems, f"{site}: no day was played"]
    if reference is None:
        return problems
    missing = sorted(reference.worth_by_day.keys() - score.worth_by_day.keys())
    if missing:
        problems.append(f"{site}: not played: {', '.join(missing)}")
    common = score.worth_by_day.keys() & reference.worth_by_day.keys()
    if common:
        now = statistics.mean(score.worth_by_day[d] for d in common)
        before = statistics.mean(reference.worth_by_day[d] for d in common)
        if now < before - NOISE:
            problems.append(f"{site}: fell from {before:.3f} to {now:.3f}")
    return problems


def scores_of(site: str) -> list[Score]:
    """Returns the journal's scores of a site, oldest first."""
    entries = []
    for path in (play.ROOT / "journal").glob("*.json"):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "score" and entry.get("site") == site:
            entries.append((entry["at"], entry))
    return [read_score(e) for _, e in sorted(entries, key=lambda e: e[0])]


def play_score(site: RegressionSite, why: str) -> None:
    """Scores a site on a copy of the working tree; imports its journal."""
    with play.copied_tree() as copy:
        arguments = ["score", str((SITES / f"{site.path}.toml").resolve())]
        arguments += ["--why", why, "--jobs", str(site.jobs)]
        play.run_bench(copy, arguments, f"regression-{site.name}")
        play.import_journal(copy)


def main() -> int:
    """Scores the sites and prints the problems found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("why", help="a line for the journal")
    parser.add_argument("--only", nargs="*", default=[], help="names of sites")
    args = parser.parse_args()
    play.OUTPUT.mkdir(parents=True, exist_ok=True)
    problems: list[str] = []
    for site in REGRESSION_SITES:
        if args.only and site.name not in args.only:
            continue
        earlier = scores_of(site.name)
        play_score(site, args.why)
        scores = scores_of(site.name)
        if len(scores) == len(earlier):
            problems.append(f"{site.name}: no score was written")
            continue
        days = ", ".join(
            f"{d} {w:.3f}" for d, w in scores[-1].worth_by_day.items()
        )
        print(f"{site.name}: {days}", flush=True)
        reference = earlier[-1] if earlier else None
        problems += find_problems(site.name, scores[-1], reference)
    print("\n".join(problems) or "no site fell")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
