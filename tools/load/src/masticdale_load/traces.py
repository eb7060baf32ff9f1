"""Command ``mastic-trace``: finds the causes of refused requests in logs.

Reads the JSON log lines of any number of hosts. A time and a host name may
precede each line, as in the output of the users' benchmark.
"""

import collections
import dataclasses
import json
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import fire

_ID_FIELDS = ("request_id", "program_id", "content")
# Lines that tell what hosts know of a content that ended its replicas.
_CRASH_LINES = frozenset({"crash_suspect", "suspect_trial", "suspect_cleared"})
# Log lines that report a state change of a host; see docs/OPERATIONS.md.
_STATE_CHANGES = (
    "started",
    "listening",
    "stopping",
    "listener_closed",
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
# Fields omitted from printed lines.
_HIDDEN_FIELDS = (
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "host",
)
# State changes up to this many seconds before a refused request may be its
# cause: twice as long as a host asks for a turn.
_CAUSE_WINDOW_S = 2.4


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        at: Time in seconds; the benchmark's time if it precedes the line.
        host: Host that wrote the line.
        kind: Name of the line (``message_type``).
        fields: All fields of the line.
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
    """Yields the log lines in a text and skips everything else."""
    for text in texts:
        prefix, brace, rest = text.partition("{")
        if not brace or "message_type" not in rest:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # A killed process may leave a truncated last line.
            continue
        words = prefix.split()
        at = float(words[0]) if words else float(fields.get("timestamp", 0))
        host = words[1] if len(words) > 1 else str(fields.get("host", ""))
        yield LogLine(at, host, str(fields["message_type"]), fields)


def trace(lines: list[LogLine], wanted: str) -> list[LogLine]:
    """Returns the lines of one request or program and their likely causes.

    Args:
        lines: All lines, in any order.
        wanted: Id of a request or program, or digest of a content.

    Returns:
        The lines with this id, all that hosts have learned of a content that
        ended its replicas, and the state changes shortly before each refused
        request, sorted by time. State changes of other shards are left out.
    """
    own_lines = [
        line
        for line in lines
        if wanted in (line.fields.get(name) for name in _ID_FIELDS)
    ]
    contents = {line.fields.get("content") for line in own_lines} - {None, ""}
    own_lines += [
        line
        for line in lines
        if line.kind in _CRASH_LINES
        and line.fields.get("content") in contents
        and line not in own_lines
    ]
    refused = [
        line
        for line in own_lines
        if line.kind == "request" and line.fields.get("outcome") != "answered"
    ]
    shards = {
        line.fields["shard"] for line in own_lines if "shard" in line.fields
    }
    causes = [
        line
        for line in lines
        if line.kind in _STATE_CHANGES
        and line.fields.get("shard") in (None, *shards)
        and any(0 <= r.at - line.at <= _CAUSE_WINDOW_S for r in refused)
    ]
    return sorted((*own_lines, *causes), key=lambda line: line.at)


def count_refusals(
    lines: Iterable[LogLine], window_s: float
) -> list[tuple[float, str, int]]:
    """Counts refused requests by time window and reason, sorted by time."""
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


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceCounts:
    """Requests of one workspace.

    Attributes:
        workspace: Name of the workspace; empty for requests without one.
        requests: Number of requests.
        answered: Those that a replica answered.
        over_cap: Those refused because of the usage cap.
        over_budget: Those refused because a program's budget was spent.
    """

    workspace: str
    requests: int
    answered: int
    over_cap: int
    over_budget: int

    @property
    def served_share(self) -> float:
        """Share of the requests within cap and budgets that were answered."""
        within = self.requests - self.over_cap - self.over_budget
        return self.answered / within if within else 1.0


def count_by_workspace(lines: Iterable[LogLine]) -> list[WorkspaceCounts]:
    """Counts requests by workspace, the worst served first."""
    outcomes_by_workspace: dict[str, collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    for line in lines:
        if line.kind == "request":
            workspace = str(line.fields.get("workspace", ""))
            outcomes_by_workspace[workspace][str(line.fields["outcome"])] += 1
    counts = [
        WorkspaceCounts(
            workspace,
            outcomes.total(),
            outcomes["answered"],
            outcomes["limit_reached"],
            outcomes["budget_exceeded"],
        )
        for workspace, outcomes in outcomes_by_workspace.items()
    ]
    return sorted(counts, key=lambda c: (c.served_share, c.workspace))


def _load(logs: tuple[str, ...]) -> list[LogLine]:
    found: list[LogLine] = []
    for name in logs:
        with pathlib.Path(name).open(errors="replace") as file:
            found.extend(read_lines(file))
    return found


class Commands:
    """Finds the causes of refused requests in logs."""

    def id(self, wanted: str, *logs: str) -> None:
        """Prints the lines of a request or program and their likely causes.

        Args:
            wanted: Id of the request or program, or digest of a content.
            logs: Paths of the log files of all hosts.
        """
        lines = trace(_load(logs), str(wanted))
        if not lines:
            print(f"no log line has the id {wanted}", file=sys.stderr)
            sys.exit(1)
        print("\n".join(str(line) for line in lines))

    def refusals(self, *logs: str, window: float = 2.0) -> None:
        """Counts refused requests by time window and reason.

        Args:
            logs: Paths of the log files of all hosts.
            window: Length of a time window in seconds.
        """
        for at, why, number in count_refusals(_load(logs), window):
            print(f"{at:8.1f} {number:6d}  {why}")

    def workspaces(self, *logs: str) -> None:
        """Counts requests by workspace, the worst served first.

        Args:
            logs: Paths of the log files of all hosts.
        """
        print("served  requests  over cap  workspace")
        for counts in count_by_workspace(_load(logs)):
            print(
                f"{counts.served_share:6.3f}{counts.requests:10d}"
                f"{counts.over_cap:10d}  {counts.workspace or '-'}"
            )


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="mastic-trace")
