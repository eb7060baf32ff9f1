"""Command ``mastic-trace``: from log lines to what callers waited for.

Reads JSON lines of any number of hosts, also behind a time and a host's name
as the users' bench prints them. The lines say what was decided and by what.
"""

import collections
import dataclasses
import json
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import fire

# Lines that change what a host believes; see docs/OPERATIONS.md.
_STATE_CHANGES = (
    "started",
    "stopping",
    "stopped",
    "configuration_in_force",
    "replica_gone",
    "store_lost",
    "store_regained",
    "watch_failed",
    "shard_owner",
    "shard_taken",
    "shard_lost",
    "shard_alone",
    "shard_acted_for",
    "shard_not_claimed",
    "shard_handed_over",
    "standby_replaced",
    "copy_sealed",
    "copy_not_sealed",
)
# Fields that say nothing to the reader of one line.
_HIDDEN_FIELDS = (
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "host",
)
# Beliefs from this long before a refused request may be its cause, in seconds:
# as long as a host asks for a turn, and as long again.
_CAUSE_WINDOW_S = 2.4


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        at: Seconds; of the bench's clock where that stands before the line.
        host: The host that wrote it.
        kind: What it tells of.
        fields: The rest.
    """

    at: float
    host: str
    kind: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = {
            k: v for k, v in self.fields.items() if k not in _HIDDEN_FIELDS
        }
        return f"{self.at:10.3f} {self.host} {self.kind} {json.dumps(shown)}"


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yields the log lines among any text."""
    for text in texts:
        before, brace, rest = text.partition("{")
        if not brace or "message_type" not in rest:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # The last line of a process that was killed.
            continue
        words = before.split()
        at = float(words[0]) if words else float(fields.get("timestamp", 0))
        host = words[1] if len(words) > 1 else str(fields.get("host", ""))
        yield LogLine(at, host, str(fields["message_type"]), fields)


def trace(lines: list[LogLine], wanted: str) -> list[LogLine]:
    """Returns the lines of one request or program and their likely causes.

    Args:
        lines: All lines, in any order.
        wanted: A request's or a program's id.

    Returns:
        Its own lines, and for each request that was not answered what hosts
        came to believe shortly before, of its shard where one is named.
    """
    own = [
        line
        for line in lines
        if wanted
        in (line.fields.get("request_id"), line.fields.get("program_id"))
    ]
    refused = [
        line
        for line in own
        if line.kind == "request" and line.fields.get("outcome") != "answered"
    ]
    shards = {line.fields["shard"] for line in own if "shard" in line.fields}
    causes = [
        line
        for line in lines
        if line.kind in _STATE_CHANGES
        and line.fields.get("shard") in (None, *shards)
        and any(0 <= r.at - line.at <= _CAUSE_WINDOW_S for r in refused)
    ]
    return sorted((*own, *causes), key=lambda line: line.at)


def count_refusals(
    lines: Iterable[LogLine], window_s: float
) -> list[tuple[float, str, int]]:
    """Returns refused requests by window and reason, the windows in order."""
    counts: collections.Counter[tuple[float, str]] = collections.Counter()
    for line in lines:
        outcome = line.fields.get("outcome")
        if line.kind != "request" or outcome == "answered":
            continue
        window = line.at // window_s * window_s
        detail = "".join(
            "#" if c.isdigit() else c for c in str(line.fields["detail"])
        )
        counts[(window, f"{outcome}: {detail[:90]}")] += 1
    return [(at, why, n) for (at, why), n in sorted(counts.items())]


def _load(logs: tuple[str, ...]) -> list[LogLine]:
    found: list[LogLine] = []
    for name in logs:
        with pathlib.Path(name).open(errors="replace") as file:
            found.extend(read_lines(file))
    return found


class Commands:
    """From log lines to what callers waited for."""

    def id(self, wanted: str, *logs: str) -> None:
        """Prints the lines of a request or program, and their causes.

        Args:
            wanted: The request's or program's id.
            logs: Files with the lines of all hosts.
        """
        lines = trace(_load(logs), str(wanted))
        if not lines:
            print(f"no line names {wanted}", file=sys.stderr)
            sys.exit(1)
        print("\n".join(str(line) for line in lines))

    def refusals(self, *logs: str, window: float = 2.0) -> None:
        """Counts refused requests by time and reason.

        Args:
            logs: Files with the lines of all hosts.
            window: Length of one window in seconds.
        """
        for at, why, number in count_refusals(_load(logs), window):
            print(f"{at:8.1f} {number:6d}  {why}")


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="mastic-trace")
