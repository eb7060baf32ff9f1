"""Offloading of cached prefixes during tool pauses.

At the end of each turn, the routing library's pause model estimates the cost of
the pause. A prefix that is likely to be evicted before its program returns is
exported, and imported into the replica of the next turn in place of recomputing
it.
"""

import collections
import dataclasses
import time

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Metrics, logs
from masticdale_config import RenderedEngine
from masticdale_programs import ModelCall, ModelResult
from masticdale_routing import (
    BranchKey,
    CachePressure,
    PauseAction,
    PauseKey,
    PauseModel,
)
from masticdale_upstreams import ModelEngine
from masticdaled.background import BackgroundTasks

_MAX_BRANCHES = 20_000
_ANY_TOOL = ""
# Weight of the cost that a kept prefix causes by displacing other prefixes; 0
# leaves that cost out.
_REUSE_SHARE = 0.0


@dataclasses.dataclass(slots=True)
class _PausedBranch:
    """A branch between two turns.

    Attributes:
        finished_at: Monotonic time at which its last turn ended.
        handle: Handle of its exported prefix; empty for none.
        tokens: Tokens of the exported prefix.
    """

    finished_at: float
    handle: str = ""
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Residence:
    """How long an unused token stays cached; 0 while nothing is evicted."""

    seconds: float = 0.0


class PrefixOffloader:
    """Exports and imports the prefixes of the branches that this host runs."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._pause_model = PauseModel()
        self._paused_by_branch: collections.OrderedDict[
            BranchKey, _PausedBranch
        ] = collections.OrderedDict()
        self._background = BackgroundTasks()

    def record_return(self, call: ModelCall) -> None:
        """Records the length of the pause that ends with a call."""
        paused = self._paused_by_branch.get(_branch_key(call))
        if paused is not None:
            pause_s = time.monotonic() - paused.finished_at
            self._pause_model.observe(PauseKey(call.kind, _ANY_TOOL), pause_s)

    def exported_tokens(self, call: ModelCall) -> int:
        """Returns the tokens of a branch's exported prefix; 0 for none."""
        paused = self._paused_by_branch.get(_branch_key(call))
        return paused.tokens if paused is not None else 0

    async def import_prefix(
        self, call: ModelCall, engine: ModelEngine, cached_tokens: int
    ) -> None:
        """Imports a branch's prefix if the export is longer than the cache.

        Args:
            call: The call about to be sent.
            engine: Client of the replica that it is sent to.
            cached_tokens: Tokens that the replica's home expects to be cached.
        """
        paused = self._paused_by_branch.get(_branch_key(call))
        if paused is None or paused.tokens <= cached_tokens:
            return
        outcome = await engine.import_cache(paused.handle)
        if isinstance(outcome, Failed):
            # The export is gone or the engine does not support imports. The
            # engine recomputes the prefix.
            paused.handle, paused.tokens = "", 0
            return
        self._metrics.count("cache_imports_total")
        self._metrics.count("cache_imported_tokens_total", outcome.unwrap())

    def record_finished(
        self,
        call: ModelCall,
        engine: RenderedEngine,
        client: ModelEngine,
        result: ModelResult,
        residence: Residence,
    ) -> None:
        """Starts a branch's pause and exports its prefix if that is cheaper."""
        branch = _branch_key(call)
        earlier = self._paused_by_branch.pop(branch, None)
        paused = earlier or _PausedBranch(0.0)
        paused.finished_at = time.monotonic()
        self._paused_by_branch[branch] = paused
        while len(self._paused_by_branch) > _MAX_BRANCHES:
            self._paused_by_branch.popitem(last=False)
        if engine.transfer_tokens_per_s <= 0 or residence.seconds <= 0:
            return
        pressure = CachePressure(
            residence.seconds,
            engine.prefill_tokens_per_s,
            engine.transfer_tokens_per_s,
            _REUSE_SHARE,
        )
        tokens = result.prompt_tokens + result.generated_tokens
        decision = self._pause_model.decide(
            PauseKey(call.kind, _ANY_TOOL), tokens, 0.0, pressure, paused.tokens
        )
        if decision.action not in (PauseAction.COPY, PauseAction.EXPORT):
            return
        self._background.spawn(self._export(branch, paused, client, tokens))

    def remove_program(self, program_id: str) -> None:
        """Removes the branches of an ended program."""
        ended = [
            b for b in self._paused_by_branch if b.program_id == program_id
        ]
        for branch in ended:
            del self._paused_by_branch[branch]

    async def _export(
        self,
        branch: BranchKey,
        paused: _PausedBranch,
        client: ModelEngine,
        tokens: int,
    ) -> None:
        outcome = await client.export_cache(branch.program_id, branch.branch_id)
        if isinstance(outcome, Failed):
            kind = outcome.failure().kind
            if kind is not ErrorKind.NOT_FOUND:
                logs.write("cache_export_failed", kind=kind.value)
            return
        paused.handle, paused.tokens = outcome.unwrap(), tokens
        self._metrics.count("cache_exports_total")
        self._metrics.count("cache_exported_tokens_total", tokens)


def _branch_key(call: ModelCall) -> BranchKey:
    return BranchKey(call.program_id, call.branch_id)
