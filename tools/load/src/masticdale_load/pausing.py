"""Keeps, exports or releases prefixes during tool pauses."""

import asyncio
import dataclasses

from masticdale_load.experiments import PauseKind, Policy
from masticdale_load.exports import ExportStore
from masticdale_load.homes import ReplicaHome, cache_key
from masticdale_load.measures import Counters
from masticdale_routing import BranchKey, PauseAction, PauseKey, PauseModel


@dataclasses.dataclass(frozen=True, slots=True)
class PausedBranch:
    """A branch that waits for a tool.

    Attributes:
        branch: Key of the branch.
        kind: Kind of the program.
        tool: Name of the tool.
        tokens: Length of the branch's context in tokens.
        replica: Replica that caches the prefix.
    """

    branch: BranchKey
    kind: str
    tool: str
    tokens: int
    replica: str


class PauseManager:
    """Applies the pause model's decision at the start of each pause."""

    def __init__(
        self,
        homes: list[ReplicaHome],
        policy: Policy,
        exports: ExportStore,
        counters: Counters,
    ) -> None:
        self._home_by_replica = {home.replica: home for home in homes}
        self._kind = policy.pause
        self._reuse_share = policy.reuse_share
        self._exports = exports
        self._counters = counters
        self._model = PauseModel()
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    def begin(self, paused: PausedBranch) -> None:
        """Decides on the prefix at the start of a pause and acts on it."""
        if self._kind is PauseKind.KEEP:
            return
        home = self._home_by_replica[paused.replica]
        pressure = home.pressure(self._reuse_share)
        key = PauseKey(paused.kind, paused.tool)
        exported = self._exports.tokens(cache_key(paused.branch))
        decision = self._model.decide(
            key, paused.tokens, 0.0, pressure, exported
        )
        if decision.action is PauseAction.KEEP:
            return
        if decision.action is PauseAction.RELEASE:
            if self._kind is PauseKind.MODEL:
                home.release(paused.branch)
            return
        releases = decision.action is PauseAction.EXPORT
        if self._kind is PauseKind.COPY:
            releases = False
        task = asyncio.create_task(self._export(paused, home, releases))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_pause(self, paused: PausedBranch, pause_s: float) -> None:
        """Feeds the duration of a finished pause to the model."""
        key = PauseKey(paused.kind, paused.tool)
        self._model.observe(key, pause_s)

    def release_branch(self, branch: BranchKey) -> None:
        """Removes a branch of an ended program from caches and exports."""
        self._exports.drop(cache_key(branch))
        for home in self._home_by_replica.values():
            home.release(branch)
            home.remove_program(branch.program_id)

    async def _export(
        self, paused: PausedBranch, home: ReplicaHome, releases: bool
    ) -> None:
        key = cache_key(paused.branch)
        # Only tokens added since the last export are transferred.
        new_tokens = max(0, paused.tokens - self._exports.tokens(key))
        await home.engine.transfer(new_tokens)
        if home.engine.cache.tokens(key) <= 0:
            return
        self._exports.put(key, paused.tokens)
        self._counters.exported_tokens += new_tokens
        if releases:
            home.release(paused.branch)
