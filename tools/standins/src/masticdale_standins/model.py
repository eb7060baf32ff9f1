"""Simulates the batch and the cache of a model engine, without I/O.

It waits only through asyncio, so it also runs on an event loop with virtual
time. Every rate is constant between two changes of the batch, so ``run``
sleeps until the next change rather than per token.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable

from masticdale_standins.cache import (
    Blocks,
    BranchKey,
    PrefixCache,
    split_into_blocks,
)
from masticdale_standins.settings import ModelSettings
from masticdale_upstreams import CacheEvent
from masticdale_upstreams.testing import expected_answer, tokens_in

# Tolerance for rounding errors.
_ROUNDING_TOKENS = 1e-3


class Phase(enum.StrEnum):
    """Phase of a generation."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    DONE = "done"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """A call of the model.

    Attributes:
        branch: Branch under which the prefix is cached.
        prompt: Blocks of the prompt.
        prompt_and_answer: Blocks of the prompt followed by the answer.
        answer_tokens: Number of tokens to generate.
    """

    branch: BranchKey
    prompt: Blocks
    prompt_and_answer: Blocks
    answer_tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """A call in progress.

    Attributes:
        call: The call.
        phase: Current phase.
        cached_tokens: Prompt tokens that needed no prefill.
        ended: Set in the phases DONE, CANCELLED and CRASHED.
    """

    call: ModelCall
    phase: Phase = Phase.WAITING
    cached_tokens: int = 0
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    tokens_left: float = 0.0


@dataclasses.dataclass(slots=True)
class ModelStats:
    """Totals of an engine since its start.

    Attributes:
        calls: Calls submitted.
        prefilled_tokens: Prompt tokens computed.
        recomputed_tokens: Prefilled tokens that had been cached before.
        cached_tokens: Prompt tokens taken from the cache.
        generated_tokens: Tokens of completed answers.
        crashes: Crashes.
    """

    calls: int = 0
    prefilled_tokens: int = 0
    recomputed_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    crashes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelLoad:
    """The current load."""

    running: int
    waiting: int
    cached_tokens: int


def create_call(
    program_id: str,
    branch_id: str,
    prompt: tuple[str, ...],
    max_tokens: int,
    block_tokens: int,
) -> ModelCall:
    """Creates a call whose answer is ``expected_answer``."""
    text = "".join(prompt)
    answer = expected_answer(prompt, max_tokens)
    return ModelCall(
        BranchKey(program_id, branch_id),
        split_into_blocks(text, block_tokens),
        split_into_blocks(text + answer, block_tokens),
        tokens_in(answer),
    )


class EngineModel:
    """Simulates continuous batching with a prefix cache, in FIFO order."""

    def __init__(
        self,
        settings: ModelSettings,
        on_event: Callable[[CacheEvent], None] = lambda _: None,
    ) -> None:
        self.stats = ModelStats()
        self.cache = PrefixCache(
            settings.cache_tokens,
            settings.block_tokens,
            settings.restore_interval,
            on_event,
        )
        self._settings = settings
        self._slow_factor = 1.0
        self._waiting: collections.deque[Generation] = collections.deque()
        self._running: list[Generation] = []
        self._seen_hashes: set[int] = set()
        self._changed = asyncio.Event()
        self._advanced_at = 0.0

    async def run(self) -> None:
        """Processes calls until cancelled."""
        self._advanced_at = asyncio.get_running_loop().time()
        while True:
            self._advance()
            self._admit()
            self._changed.clear()
            try:
                async with asyncio.timeout(self._next_change_s()):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def submit(self, call: ModelCall) -> Generation:
        """Adds a call to the queue."""
        generation = Generation(call)
        self.stats.calls += 1
        self._waiting.append(generation)
        self._changed.set()
        return generation

    def cancel(self, generation: Generation) -> None:
        """Cancels a call; a prompt already prefilled stays cached."""
        if generation.ended.is_set():
            return
        self._advance()
        self._end(generation, Phase.CANCELLED)
        self._changed.set()

    def generated_tokens(self, generation: Generation) -> int:
        """Returns the number of answer tokens generated so far."""
        self._advance()
        if generation.phase is Phase.DONE:
            return generation.call.answer_tokens
        if generation.phase is not Phase.DECODE:
            return 0
        left = max(0, generation.tokens_left)
        return int(generation.call.answer_tokens - left + _ROUNDING_TOKENS)

    def set_slow_factor(self, factor: float) -> None:
        """Slows everything down by a factor."""
        self._advance()
        self._slow_factor = factor
        self._changed.set()

    def crash(self) -> None:
        """Fails all calls and drops the cache."""
        self.stats.crashes += 1
        for generation in [*self._running, *self._waiting]:
            self._end(generation, Phase.CRASHED)
        self.cache.clear()
        self._changed.set()

    def load(self) -> ModelLoad:
        """Returns the current load."""
        return ModelLoad(
            len(self._running), len(self._waiting), self.cache.cached_tokens
        )

    async def export_blocks(self, branch: BranchKey) -> tuple[int, ...]:
        """Returns a branch's cached prefix after its transfer time."""
        chain = self.cache.chain(branch)
        await self._transfer(chain)
        return chain

    async def import_blocks(
        self, branch: BranchKey, hashes: tuple[int, ...]
    ) -> int:
        """Caches an exported prefix after its transfer time.

        Returns:
            Number of imported tokens.
        """
        await self._transfer(hashes)
        self.cache.store(branch, hashes)
        self._seen_hashes.update(hashes)
        return len(hashes) * self._settings.block_tokens

    async def _transfer(self, hashes: tuple[int, ...]) -> None:
        tokens = len(hashes) * self._settings.block_tokens
        speed = self._settings.transfer_tokens_per_s / self._slow_factor
        await asyncio.sleep(tokens / speed)

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        elapsed = now - self._advanced_at
        self._advanced_at = now
        for generation in self._running:
            generation.tokens_left -= elapsed * self._rate(generation.phase)
        finished = [
            g for g in self._running if g.tokens_left <= _ROUNDING_TOKENS
        ]
        for generation in finished:
            self._finish_phase(generation)

    def _finish_phase(self, generation: Generation) -> None:
        call = generation.call
        if generation.phase is Phase.PREFILL:
            self._cache_prefix(call.branch, call.prompt)
            generation.phase = Phase.DECODE
            generation.tokens_left = call.answer_tokens
            self._changed.set()
            return
        self.stats.generated_tokens += call.answer_tokens
        self._cache_prefix(call.branch, call.prompt_and_answer)
        self._end(generation, Phase.DONE)
        self._changed.set()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            generation = self._waiting.popleft()
            prompt = generation.call.prompt
            cached = self.cache.match(prompt.hashes)
            generation.cached_tokens = cached
            generation.phase = Phase.PREFILL
            generation.tokens_left = prompt.tokens - cached
            self._count_prefill(prompt, cached)
            self._running.append(generation)

    def _count_prefill(self, prompt: Blocks, cached: int) -> None:
        self.stats.cached_tokens += cached
        self.stats.prefilled_tokens += prompt.tokens - cached
        computed = prompt.hashes[cached // self._settings.block_tokens :]
        recomputed = sum(h in self._seen_hashes for h in computed)
        self.stats.recomputed_tokens += recomputed * self._settings.block_tokens

    def _cache_prefix(self, branch: BranchKey, blocks: Blocks) -> None:
        self.cache.store(branch, blocks.hashes)
        self._seen_hashes.update(blocks.hashes)

    def _end(self, generation: Generation, phase: Phase) -> None:
        if generation in self._running:
            self._running.remove(generation)
        if generation in self._waiting:
            self._waiting.remove(generation)
        generation.phase = phase
        generation.ended.set()

    def _rate(self, phase: Phase) -> float:
        in_phase = sum(g.phase is phase for g in self._running)
        if phase is Phase.PREFILL:
            total = self._settings.prefill_tokens_per_s
            return total / in_phase / self._slow_factor
        others = len(self._running) - 1
        slowdown = 1 + self._settings.decode_slowdown * others
        return self._settings.decode_tokens_per_s / slowdown / self._slow_factor

    def _next_change_s(self) -> float | None:
        if not self._running:
            return None
        return min(
            max(0, g.tokens_left) / self._rate(g.phase) for g in self._running
        )
