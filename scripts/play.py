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
import dataclasses
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BENCH = ROOT / "../given/kit/more/system/more/bench-cc6490/bin/fleetbench"
OUTPUT = ROOT / "run/bench"


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day to be played.

    Attributes:
        day: Its name in the site file, or the path of a file of our own.
        seed: Its luck; None for the day's own.
    """

    day: str
    seed: int | None

    @property
    def label(self) -> str:
        """Names the play in tables and files."""
        name = pathlib.Path(self.day).stem
        return name if self.seed is None else f"{name}-s{self.seed}"


@dataclasses.dataclass(frozen=True, slots=True)
class Worth:
    """What the bench's journal says of one played day."""

    day: str
    worth: float
    rules: str
    fault: str

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not self.rules and not self.fault


def copy_tree(target: pathlib.Path) -> None:
    """Copies what git knows of the working tree, without the journal."""
    command = ["git", "ls-files", "-z", "--cached", "--others"]
    command += ["--exclude-standard", "--", ".", ":!journal"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, check=True)
    for name in filter(None, listed.stdout.decode().split("\0")):
        if not (ROOT / name).is_file():
            continue
        place = target / name
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, place)
    if (ROOT / "target").is_dir():
        shutil.copytree(ROOT / "target", target / "target")
    incidents = ROOT / "journal/incidents"
    if incidents.is_dir():
        shutil.copytree(incidents, target / "journal/incidents")


def call_bench(copy: pathlib.Path, words: list[str], name: str) -> str:
    """Runs the bench in a copy; returns its output, which is also kept."""
    output = OUTPUT / f"{name}.log"
    with output.open("w") as file:
        subprocess.run(
            [str(BENCH.resolve()), *words],
            cwd=copy,
            stdout=file,
            stderr=subprocess.STDOUT,
            check=False,
        )
    return output.read_text(errors="replace")


def read_worths(entry: pathlib.Path) -> list[Worth]:
    """Reads the days of one journal entry."""
    days = json.loads(entry.read_text()).get("days") or []
    return [
        Worth(
            day["name"],
            day["G"],
            ", ".join(str(rule) for rule in day["rules"] or []),
            day["fault"] or "",
        )
        for day in days
    ]


def take_journal(copy: pathlib.Path) -> list[Worth]:
    """Brings the copy's new journal entries back and reads them."""
    worths: list[Worth] = []
    for path in sorted((copy / "journal").rglob("*")):
        place = ROOT / "journal" / path.relative_to(copy / "journal")
        if path.is_dir() or place.exists():
            continue
        place.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(path, place)
        if path.suffix == ".json":
            worths += read_worths(path)
    return worths


def summarize(worths: list[Worth]) -> str:
    """Returns a line a day, over its seeds: mean, least, most, broken."""
    by_day: dict[str, list[Worth]] = {}
    for worth in worths:
        by_day.setdefault(worth.day.split(" --seed")[0], []).append(worth)
    rows = [f"{'day':<18}{'plays':>6}{'mean':>8}{'least':>8}{'most':>8}"]
    for day, played in sorted(by_day.items()):
        values = [w.worth for w in played]
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
    """Plays days beside each other."""

    def play(one: Play) -> None:
        words = ["run", str(site), one.day, "--why", args.why, "--jobs", "1"]
        if one.seed is not None:
            words += ["--seed", str(one.seed)]
        if not args.no_logs:
            words += ["--log", "edge,storage"]
        call_bench(copy, words, f"{args.tag}{site.stem}-{one.label}")

    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        list(pool.map(play, plays))


def read_arguments() -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("verb", choices=("days", "hunt", "score", "incident"))
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("why", help="a line for the journal")
    parser.add_argument("days", nargs="*", help="names or files of days")
    parser.add_argument("--seeds", nargs="*", type=int, default=[])
    parser.add_argument("--count", type=int, default=40, help="days to hunt")
    parser.add_argument("--jobs", type=int, default=6, help="cores to use")
    parser.add_argument("--tag", default="", help="before names of outputs")
    parser.add_argument("--no-logs", action="store_true")
    return parser.parse_args()


def main() -> int:
    """Plays, brings the journal back, prints a table."""
    args = read_arguments()
    site = args.site.resolve()
    OUTPUT.mkdir(parents=True, exist_ok=True)
    copy = pathlib.Path(tempfile.mkdtemp(prefix="play-", dir=ROOT.parent))
    try:
        copy_tree(copy)
        call_bench(copy, ["build"], f"{args.tag}build")
        if args.verb == "days":
            days = [
                str(ROOT / d) if d.endswith(".toml") else d for d in args.days
            ]
            seeds = args.seeds or [None]
            plays = [Play(day, seed) for day in days for seed in seeds]
            play_days(copy, site, plays, args)
        else:
            words = [args.verb, str(site), "--why", args.why]
            words += ["--jobs", str(args.jobs)]
            if args.verb == "hunt":
                words += ["--days", str(args.count)]
            stamp = time.strftime("%H%M%S")
            name = f"{args.tag}{site.stem}-{args.verb}-{stamp}"
            print(call_bench(copy, words, name)[-6000:])
        worths = take_journal(copy)
    finally:
        shutil.rmtree(copy)
    print(summarize(worths))
    return 0 if all(worth.is_clean for worth in worths) else 1


if __name__ == "__main__":
    sys.exit(main())
