"""Plays days with one mechanism switched off at a time, beside none.

Each mechanism is a small edit of a copy of the tree, so that the code itself
needs no switches. A table of the means goes to standard output.

    scripts/ablate.py SITE_FILE trouble-1 scale-1 --seeds 1 2 --only spill
"""

import argparse
import dataclasses
import pathlib
import shutil
import sys
import tempfile

import play

_LEDGER = "libs/ledger/src/masticdale_ledger"
_ROUTING = "libs/routing/src/masticdale_routing"
_GATEWAY = "libs/gateway/src/masticdale_gateway"
_ENTRY = "apps/masticdale_entry/src/masticdale_entry"


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """Edit of a source file that disables one mechanism."""

    name: str
    path: str
    old: str
    new: str


EDITS = (
    Edit("none", "", "", ""),
    Edit(
        "spill to a second replica",
        f"{_ROUTING}/fleet.py",
        "_SPILL_SHARE = 0.5",
        "_SPILL_SHARE = 1e9",
    ),
    Edit(
        "own domain first",
        f"{_ROUTING}/fleet.py",
        "_OTHER_DOMAIN_PENALTY = 0.12",
        "_OTHER_DOMAIN_PENALTY = 0.0",
    ),
    Edit(
        "cold penalty",
        f"{_ROUTING}/fleet.py",
        "_COLD_PENALTY = 0.5",
        "_COLD_PENALTY = 0.0",
    ),
    Edit(
        "circuits",
        f"{_ROUTING}/fleet.py",
        "failures_to_open=2",
        "failures_to_open=1_000_000",
    ),
    Edit(
        "go on at the same replica",
        f"{_GATEWAY}/streaming.py",
        "if is_interrupted and state.replica.id in ids:",
        "if False and is_interrupted and state.replica.id in ids:",
    ),
    Edit(
        "lapse grace",
        f"{_ENTRY}/watched_state.py",
        "_LAPSED_GRACE_S = 1.9",
        "_LAPSED_GRACE_S = 0.0",
    ),
    Edit(
        "acting standby",
        f"{_LEDGER}/failover.py",
        "if view is None or not self._can_take_over(shard_number, view):",
        "if view is None or shard_number >= 0:",
    ),
    Edit(
        "waiting for turns",
        f"{_LEDGER}/owner.py",
        "_RESERVATION_WAIT_S = 1.0",
        "_RESERVATION_WAIT_S = 0.0",
    ),
    Edit(
        "watches through seeds",
        f"{_ENTRY}/entry.py",
        "watch_sources = self._peer_clients.watch_sources()",
        "watch_sources = self._peer_clients.watch_sources()[:0]",
    ),
    Edit(
        "records one turn ahead",
        f"{_LEDGER}/accounts.py",
        "_RECORD_AHEAD_TURNS = 1",
        "_RECORD_AHEAD_TURNS = 0",
    ),
    Edit(
        "calls by way of others",
        f"{_LEDGER}/fallback_store.py",
        "_RELAYS = 2",
        "_RELAYS = 0",
    ),
    Edit(
        "pause after changes of replicas",
        f"{_ENTRY}/entry.py",
        "_REPLICAS_DEBOUNCE_S = 0.3",
        "_REPLICAS_DEBOUNCE_S = 0.0",
    ),
    Edit(
        "half spent after a loss",
        f"{_LEDGER}/accounts.py",
        "_UNRECORDED_SHARE = 0.5",
        "_UNRECORDED_SHARE = 0.35",
    ),
)


def apply(edit: Edit, copy: pathlib.Path) -> None:
    """Applies an edit to a copy of the tree.

    Raises:
        ValueError: The text to replace is not in the file.
    """
    if not edit.path:
        return
    path = copy / edit.path
    text = path.read_text()
    if edit.old not in text:
        raise ValueError(f"{edit.name}: not found in {edit.path}")
    path.write_text(text.replace(edit.old, edit.new, 1))


def play_without(edit: Edit, args: argparse.Namespace) -> list[play.DayResult]:
    """Plays all days with one mechanism disabled."""
    copy = pathlib.Path(tempfile.mkdtemp(prefix="play-", dir=play.ROOT.parent))
    try:
        play.copy_tree(copy)
        apply(edit, copy)
        play.run_bench(copy, ["build"], "ablate-build")
        plays = [play.Play(d, s) for d in args.days for s in args.seeds]
        args.why = f"ablation: without {edit.name}"
        args.tag = f"ablate-{edit.name.replace(' ', '-')}-"
        play.play_days(copy, args.site.resolve(), plays, args)
        return play.import_journal(copy)
    finally:
        shutil.rmtree(copy)


def main() -> int:
    """Plays all days for each mechanism and prints one row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("days", nargs="+")
    parser.add_argument("--seeds", nargs="+", type=int, default=[1, 2])
    parser.add_argument("--only", nargs="*", default=[])
    parser.add_argument("--jobs", type=int, default=6)
    args = parser.parse_args()
    args.no_logs = True
    play.OUTPUT.mkdir(parents=True, exist_ok=True)
    for edit in EDITS:
        if args.only and edit.name not in args.only:
            continue
        results = play_without(edit, args)
        values = [w.score for w in results]
        broken = [f"{w.day}: {w.rules}" for w in results if not w.is_clean]
        print(
            f"{edit.name:<34}{sum(values) / len(values):7.3f}"
            f"{min(values):8.3f}{max(values):8.3f}  {'; '.join(broken)}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
