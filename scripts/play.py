"""Plays days of a site on the users' bench and sums up what they were worth.

Plays run on a copy of the working tree, so that editing goes on meanwhile.
Output lies under ``run/bench/``; the bench's journal entries come back into
``journal/``.

    scripts/play.py days SITE_FILE "WHY" quiet-1 trouble-3 --seeds 1 2 3
    scripts/play.py hunt SITE_FILE "WHY" --count 40
    scripts/play.py score SITE_FILE "WHY"
    scripts/play.py incident SITE_FILE "WHY"
"""

import argparse
import concurrent.futures
import contextlib
import dataclasses
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
BENCH = ROOT / "../given/kit/more/system/more/bench-d17393/bin/fleetbench"
OUTPUT = ROOT / "run/bench"


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One run of a day.

    Attributes:
        day: Name of the day in the site file, or path of a day file.
        seed: Random seed; None for the seed of the day.
    """

    day: str
    seed: int | None

    @property
    def label(self) -> str:
        """Label of the play in tables and file names."""
        name = pathlib.Path(self.day).stem
        return name if self.seed is None else f"{name}-s{self.seed}"


@dataclasses.dataclass(frozen=True, slots=True)
class DayResult:
    """Result of one played day, from the bench's journal."""

    day: str
    score: float
    rules: str
    fault: str

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not self.rules and not self.fault


def copy_tree(target: pathlib.Path) -> None:
    """Copies the files of the working tree that git does not ignore.

    The journal is left out, except for its incidents.
    """
    command = ["git", "ls-files", "-z", "--cached", "--others"]
    command += ["--exclude-standard", "--", ".", ":!journal"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    for name in filter(None, listed.stdout.decode().split("\0")):
        if not (ROOT / name).is_file():
            continue
        destination = target / name
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, destination)
    if (ROOT / "target").is_dir():
        shutil.copytree(ROOT / "target", target / "target")
    incidents = ROOT / "journal/incidents"
    if incidents.is_dir():
        shutil.copytree(incidents, target / "journal/incidents")


@contextlib.contextmanager
def copied_tree() -> Iterator[pathlib.Path]:
    """Yields a copy of the working tree, which is deleted afterwards."""
    copy = pathlib.Path(tempfile.mkdtemp(prefix="play-", dir=ROOT.parent))
    try:
        copy_tree(copy)
        yield copy
    finally:
        shutil.rmtree(copy)


def run_bench(copy: pathlib.Path, arguments: list[str], name: str) -> str:
    """Runs the bench in a copy, writes its output to a log and returns it."""
    output = OUTPUT / f"{name}.log"
    with output.open("w") as file:
        subprocess.run(
            [str(BENCH.resolve()), *arguments],
            cwd=copy,
            stdout=file,
            stderr=subprocess.STDOUT,
            check=False,
        )
    return output.read_text(errors="replace")


def read_results(entry: pathlib.Path) -> list[DayResult]:
    """Reads the results of the days in one journal entry."""
    days = json.loads(entry.read_text()).get("days") or []
    return [
        DayResult(
            day["name"],
            day["G"],
            ", ".join(str(rule) for rule in day["rules"] or []),
            day["fault"] or "",
        )
        for day in days
    ]


def import_journal(copy: pathlib.Path) -> list[DayResult]:
    """Copies new journal entries from a copy and reads their results."""
    results: list[DayResult] = []
    for path in sorted((copy / "journal").rglob("*")):
        destination = ROOT / "journal" / path.relative_to(copy / "journal")
        if path.is_dir() or destination.exists():
            continue
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(path, destination)
        if path.suffix == ".json":
            results += read_results(path)
    return results


def summarize(results: list[DayResult]) -> str:
    """Formats a table with one row per day: mean, bounds and violations."""
    by_day: dict[str, list[DayResult]] = {}
    for result in results:
        by_day.setdefault(result.day.split(" --seed")[0], []).append(result)
    rows = [f"{'day':<18}{'plays':>6}{'mean':>8}{'least':>8}{'most':>8}"]
    for day, played in sorted(by_day.items()):
        values = [w.score for w in played]
        broken = [
            f"{w.day}: {w.rules}{w.fault}" for w in played if not w.is_clean
        ]
        rows.append(
            f"{day:<18}{len(values):>6}{statistics.mean(values):>8.3f}"
            f"{min(values):>8.3f}{max(values):>8.3f}  {'; '.join(broken)}"
        )
    return "\n".join(rows)


def play_days(
    copy: pathlib.Path,
    site: pathlib.Path,
    plays: list[Play],
    args: argparse.Namespace,
) -> None:
    """Plays days in parallel."""

    def play(one: Play) -> None:
        arguments = [
            "run",
            str(site),
            one.day,
            "--why",
            args.why,
            "--jobs",
            "1",
        ]
        if one.seed is not None:
            arguments += ["--seed", str(one.seed)]
        if not args.no_logs:
            arguments += ["--log", "edge,storage"]
        run_bench(copy, arguments, f"{args.tag}{site.stem}-{one.label}")

    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        list(pool.map(play, plays))


def read_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("verb", choices=("days", "hunt", "score", "incident"))
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("why", help="a line for the journal")
    parser.add_argument("days", nargs="*", help="names or files of days")
    parser.add_argument("--seeds", nargs="*", type=int, default=[])
    parser.add_argument("--count", type=int, default=40, help="days to hunt")
    parser.add_argument("--jobs", type=int, default=3, help="cores to use")
    parser.add_argument("--tag", default="", help="before names of outputs")
    parser.add_argument("--no-logs", action="store_true")
    return parser.parse_args()


def main() -> int:
    """Plays days, imports their journal entries and prints a table."""
    args = read_arguments()
    site = args.site.resolve()
    OUTPUT.mkdir(parents=True, exist_ok=True)
    with copied_tree() as copy:
        run_bench(copy, ["build"], f"{args.tag}build")
        if args.verb == "days":
            days = [
                str(ROOT / d) if d.endswith(".toml") else d for d in args.days
            ]
            seeds = args.seeds or [None]
            plays = [Play(day, seed) for day in days for seed in seeds]
            play_days(copy, site, plays, args)
        else:
            arguments = [args.verb, str(site), "--why", args.why]
            arguments += ["--jobs", str(args.jobs)]
            if args.verb == "hunt":
                arguments += ["--days", str(args.count)]
            stamp = time.strftime("%H%M%S")
            name = f"{args.tag}{site.stem}-{args.verb}-{stamp}"
            print(run_bench(copy, arguments, name)[-6000:])
        results = import_journal(copy)
    print(summarize(results))
    return 0 if all(result.is_clean for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
