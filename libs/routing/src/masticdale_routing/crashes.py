"""Evidence on requests that crash replicas, merged from all hosts.

A request may crash each replica that begins to run it, and its caller repeats
it under a new id, at any host. Hosts therefore report under which contents a
replica ended. Everything that was in flight there is suspected. A content that
is then run whole is cleared; one that keeps ending replicas is held back.

Reports are sets of replicas, named by their incarnation, and add up by union.
They may thus arrive late, twice or in any order, and each ended replica counts
once, however many hosts had sent the content to it.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable

# Ended replicas from which on a content is held back, unless all had begun to
# run it before the first one ended. Content that is in flight by chance is
# seldom hit as often before it is run whole once.
CRASHES_TO_HOLD = 3
# Time for which a held content is refused before one more run, a trial, may
# show whether it still ends replicas, in seconds, by the number of trials
# before. The first is short, since a loss of all replicas also hits harmless
# requests.
_HOLD_S_BY_TRIALS = (5.0, 60.0, 600.0, 3600.0)
# The same for a target. The first trial is due at once: the contents that have
# crashed may be few among many that are asked for under the target.
_TARGET_HOLD_S_BY_TRIALS = (0.0, 20.0, 60.0, 600.0, 3600.0)
_TARGET_PREFIX = "target-"
# Time after which a report that has not changed is compacted, in seconds. Until
# then those of other hosts on the same replica arrive.
_COMPACTION_DELAY_S = 5.0
# Time after which a content without new crashes is forgotten, in seconds.
RETENTION_S = 3600.0
# Contents that a host reports. Without a bound, a fleet of replicas that keeps
# crashing for another reason would fill the memory of all hosts.
_MAX_OWN_REPORTS = 100
# Replicas named for one content in the report of a host.
_MAX_REPLICAS = 8
# Time from the loss of a run within which a sign that its replica has ended is
# taken for the cause, in seconds. Later it may have been replaced as planned.
_LOSS_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What one host has seen of one content.

    Attributes:
        content: Digest of the content.
        ended: Incarnations of replicas that ended while they ran it, sorted.
        ended_again: Those of them that began to run it when the host that sent
            it knew that it was suspected.
        cleared: Incarnations for which it is no longer blamed, since it was
            run whole after they had ended; sorted.
    """

    content: str
    ended: tuple[str, ...]
    ended_again: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is known of a suspected content.

    Attributes:
        crashes: Number of replicas that ended while they ran it.
        heard_at: Time of the last crash or of its report, in loop seconds.
        has_crashed_again: Whether one of them began to run it when it was
            suspected already. Copies of a popular content may be in flight at
            all replicas of a service when these end for another reason.
    """

    crashes: int
    heard_at: float
    has_crashed_again: bool

    @property
    def is_held(self) -> bool:
        """Whether the content is refused, but for single runs as a trial."""
        return self.has_crashed_again and self.crashes >= CRASHES_TO_HOLD

    def held_for_s(self, key: str, now: float) -> float:
        """Returns the time until a first trial is due, in seconds.

        Args:
            key: Digest of the content, or a ``target_key``.
            now: Event loop time in seconds.
        """
        if not self.is_held:
            return 0.0
        return trial_wait_s(key, 0, now - self.heard_at)


def target_key(digest: str) -> str:
    """Returns the key under which a target is suspected, whatever content."""
    return _TARGET_PREFIX + digest


def is_target_key(key: str) -> bool:
    """Returns whether a key is a ``target_key``."""
    return key.startswith(_TARGET_PREFIX)


def trial_wait_s(key: str, trials: int, since_s: float) -> float:
    """Returns the time until a held content or target may have another trial.

    Args:
        key: Digest of the content, or a ``target_key``.
        trials: Number of trials that it has had.
        since_s: Time since the last one, or else since its last crash, in
            seconds.
    """
    hold_s_by_trials: tuple[float, ...] = _HOLD_S_BY_TRIALS
    if is_target_key(key):
        hold_s_by_trials = _TARGET_HOLD_S_BY_TRIALS
    last = len(hold_s_by_trials) - 1
    return max(0.0, hold_s_by_trials[min(trials, last)] - since_s)


@dataclasses.dataclass(slots=True)
class _OwnReport:
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    ended_again: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)
    changed_at: float = 0.0

    def to_report(self, content: str) -> CrashReport:
        return CrashReport(
            content,
            tuple(sorted(self.ended)),
            tuple(sorted(self.ended_again.intersection(self.ended))),
            tuple(sorted(self.cleared)),
        )


@dataclasses.dataclass(slots=True)
class _Merged:
    """The reports of all hosts on one content."""

    ended: set[str] = dataclasses.field(default_factory=set)
    ended_again: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)

    def add(self, report: CrashReport) -> None:
        self.ended.update(report.ended)
        self.ended_again.update(report.ended_again)
        self.cleared.update(report.cleared)


class CrashEvidence:
    """The reports of all hosts, and what follows from them.

    Attributes:
        on_urgent_change: Called when this host's own reports blame a content,
            or clear one that is held back.
        on_change: Called at any other change of them.
    """

    def __init__(self) -> None:
        self.on_urgent_change: Callable[[], None] | None = None
        self.on_change: Callable[[], None] | None = None
        self._own_by_content: dict[str, _OwnReport] = {}
        self._reports_by_host: dict[str, dict[str, CrashReport]] = {}
        self._changed_at_by_host: dict[str, float] = {}
        self._hosts_by_content: dict[str, set[str]] = collections.defaultdict(
            set
        )
        self._suspicion_by_content: dict[str, Suspicion] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspected at all."""
        return bool(self._suspicion_by_content)

    def suspicion(self, content: str) -> Suspicion | None:
        """Returns what is known of a content; None if it is not suspected."""
        return self._suspicion_by_content.get(content)

    def suspicions(self) -> dict[str, Suspicion]:
        """Returns all suspected contents by their digest."""
        return dict(self._suspicion_by_content)

    def own_reports(self) -> tuple[CrashReport, ...]:
        """Returns the reports of this host, to be passed on to all others."""
        return tuple(
            own.to_report(content)
            for content, own in self._own_by_content.items()
        )

    def record_crash(
        self,
        content: str,
        incarnation: str,
        now: float,
        *,
        was_suspected: bool,
    ) -> Suspicion | None:
        """Records that a replica ended while it ran a content.

        Args:
            content: Digest of the content.
            incarnation: The replica's process.
            now: Event loop time in seconds.
            was_suspected: Whether the content was suspected as the run began.

        Returns:
            What is then known of the content.
        """
        own = self._own(content)
        if incarnation not in own.ended:
            own.ended[incarnation] = None
            if was_suspected:
                own.ended_again.add(incarnation)
            own.changed_at = now
            while len(own.ended) > _MAX_REPLICAS:
                oldest = next(iter(own.ended))
                del own.ended[oldest]
                own.ended_again.discard(oldest)
            self._update(content, now)
            self._drop_surplus(now)
            _notify(self.on_urgent_change)
        return self.suspicion(content)

    def record_success(self, content: str, now: float) -> None:
        """Clears a content that a replica has run whole, if it is suspected."""
        before = self.suspicion(content)
        if before is None:
            return
        own = self._own(content)
        own.cleared |= self._merged(content).ended
        own.changed_at = now
        self._update(content, now)
        _notify(self.on_urgent_change if before.is_held else self.on_change)

    def apply(
        self, host: str, reports: Iterable[CrashReport], now: float
    ) -> None:
        """Replaces the reports of another host."""
        before = self._reports_by_host.get(host, {})
        after = {report.content: report for report in reports}
        self._reports_by_host[host] = after
        self._changed_at_by_host[host] = now
        for content in before.keys() - after.keys():
            self._hosts_by_content[content].discard(host)
        for content in after:
            self._hosts_by_content[content].add(host)
        for content in before.keys() | after.keys():
            if before.get(content) != after.get(content):
                self._update(content, now)

    def add(
        self, host: str, reports: Iterable[CrashReport], now: float
    ) -> bool:
        """Adds to the reports of another host, in whatever order they arrive.

        Returns:
            Whether they say anything new.
        """
        known = self._reports_by_host.get(host, {})
        merged = dict(known)
        for report in reports:
            before = known.get(report.content)
            merged[report.content] = _union(before, report)
        if merged == known:
            return False
        self.apply(host, merged.values(), now)
        return True

    def add_own(self, reports: Iterable[CrashReport], now: float) -> None:
        """Adds what this host had reported before it was started again."""
        for report in reports:
            own = self._own(report.content)
            own.ended |= dict.fromkeys(report.ended)
            own.ended_again.update(report.ended_again)
            own.cleared.update(report.cleared)
            own.changed_at = now
            self._update(report.content, now)

    def replace_own(self, reports: Iterable[CrashReport], now: float) -> None:
        """Replaces the reports of this host, as an operator has edited them."""
        contents = set(self._own_by_content)
        self._own_by_content.clear()
        self.add_own(reports, now)
        for content in contents:
            self._update(content, now)

    def forget_host(self, host: str, now: float) -> None:
        """Drops the reports of a host whose reports were removed."""
        self.apply(host, (), now)
        del self._reports_by_host[host]
        del self._changed_at_by_host[host]

    def hosts(self) -> set[str]:
        """Returns the other hosts whose reports are known."""
        return set(self._reports_by_host)

    def changed_at(self, host: str) -> float:
        """Returns when the reports of another host last changed."""
        return self._changed_at_by_host[host]

    def expire(self, now: float) -> None:
        """Drops what this host need not report any more.

        Those are old reports, and cleared ones: first all hosts drop the
        replicas for which a content is no longer blamed, then the host that
        cleared it says so no more. Otherwise the reports, which all hosts read
        at each change, would grow with each replica that ends.
        """
        has_changed = False
        for content, own in list(self._own_by_content.items()):
            age_s = now - own.changed_at
            if age_s > RETENTION_S:
                self._drop_own(content, now)
                has_changed = True
            elif age_s > _COMPACTION_DELAY_S:
                has_changed |= self._compact(content, own, now)
        if has_changed:
            _notify(self.on_change)

    def _own(self, content: str) -> _OwnReport:
        return self._own_by_content.setdefault(content, _OwnReport())

    def _merged(self, content: str) -> _Merged:
        merged = _Merged()
        own = self._own_by_content.get(content)
        if own is not None:
            merged.add(own.to_report(content))
        for host in self._hosts_by_content.get(content, ()):
            merged.add(self._reports_by_host[host][content])
        return merged

    def _update(self, content: str, now: float) -> None:
        merged = self._merged(content)
        crashes = len(merged.ended - merged.cleared)
        if not self._hosts_by_content.get(content):
            self._hosts_by_content.pop(content, None)
        if not crashes:
            self._suspicion_by_content.pop(content, None)
            return
        before = self._suspicion_by_content.get(content)
        heard_at = now
        if before is not None and crashes <= before.crashes:
            heard_at = before.heard_at
        self._suspicion_by_content[content] = Suspicion(
            crashes, heard_at, bool(merged.ended_again - merged.cleared)
        )

    def _compact(self, content: str, own: _OwnReport, now: float) -> bool:
        blamed_by_others = set().union(
            *(
                self._reports_by_host[host][content].ended
                for host in self._hosts_by_content.get(content, ())
            )
        )
        cleared = self._merged(content).cleared
        ended = {i: None for i in own.ended if i not in cleared}
        still_cleared = own.cleared & blamed_by_others
        if len(ended) == len(own.ended) and still_cleared == own.cleared:
            return False
        own.ended = ended
        own.ended_again.intersection_update(ended)
        own.cleared = still_cleared
        if not ended and not still_cleared:
            self._drop_own(content, now)
        return True

    def _drop_surplus(self, now: float) -> None:
        while len(self._own_by_content) > _MAX_OWN_REPORTS:
            self._drop_own(min(self._own_by_content, key=self._weight), now)

    def _weight(self, content: str) -> tuple[int, float]:
        suspicion = self._suspicion_by_content.get(content)
        crashes = suspicion.crashes if suspicion else 0
        return crashes, self._own_by_content[content].changed_at

    def _drop_own(self, content: str, now: float) -> None:
        del self._own_by_content[content]
        self._update(content, now)


def _union(first: CrashReport | None, second: CrashReport) -> CrashReport:
    if first is None:
        return second
    return CrashReport(
        second.content,
        tuple(sorted({*first.ended, *second.ended})),
        tuple(sorted({*first.ended_again, *second.ended_again})),
        tuple(sorted({*first.cleared, *second.cleared})),
    )


def _notify(listener: Callable[[], None] | None) -> None:
    if listener is not None:
        listener()


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run of which the response was lost or given up.

    Attributes:
        content: Digest of the content.
        was_suspected: Whether the content was suspected as the run began.
    """

    content: str
    was_suspected: bool


class LostRuns:
    """Lost runs, until it is known what became of their replicas.

    A lost connection alone does not show that its replica ended: connections
    are reset, responses are lost, and faulty replicas break off.
    """

    def __init__(self) -> None:
        self._lost_at_by_run: dict[tuple[str, LostRun], float] = {}

    def add(self, incarnation: str, run: LostRun, now: float) -> None:
        """Records a run that was lost at a replica."""
        self._forget_old(now)
        self._lost_at_by_run[incarnation, run] = now

    def take(self, incarnation: str, now: float) -> list[LostRun]:
        """Removes and returns the runs that were lost at a replica."""
        self._forget_old(now)
        runs = [run for i, run in self._lost_at_by_run if i == incarnation]
        for run in runs:
            del self._lost_at_by_run[incarnation, run]
        return runs

    def _forget_old(self, now: float) -> None:
        for run, lost_at in list(self._lost_at_by_run.items()):
            if now - lost_at > _LOSS_WINDOW_S:
                del self._lost_at_by_run[run]
