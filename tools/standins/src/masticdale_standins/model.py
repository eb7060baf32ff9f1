"""A model engine's batch and cache as a model in time, without I/O.

It waits only through asyncio, so it also runs on an event loop whose time is
virtual. Between two changes of the batch every rate is constant; ``run``
sleeps from change to change, whatever number of tokens lies between.
"""

import asyncio
import collections
import dataclasses
import enum
from collections.abc import Callable

from masticdale_standins.cache import Blocks, BranchKey, PrefixCache, blocks_of
from masticdale_standins.settings import ModelSettings
from masticdale_upstreams import CacheEvent
from masticdale_upstreams.testing import expected_answer, tokens_in

# Rates times times leave rounding errors far below a token.
_ROUNDING_TOKENS = 1e-3


class Phase(enum.StrEnum):
    """Where a generation stands."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    DONE = "done"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """One call as the model sees it.

    Attributes:
        branch: Whose prefix the call leaves behind.
        prompt: Blocks of the prompt.
        whole: Blocks of the prompt with the answer after it.
        answer_tokens: Tokens that will be generated.
    """

    branch: BranchKey
    prompt: Blocks
    whole: Blocks
    answer_tokens: int


@dataclasses.dataclass(slots=True, eq=False)
class Generation:
    """A call under way.

    Attributes:
        call: The call.
        phase: Where it stands.
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
    """What an engine has done since its start.

    Attributes:
        calls: Calls submitted.
        prefilled_tokens: Prompt tokens computed.
        recomputed_tokens: Those of them that had been cached before.
        cached_tokens: Prompt tokens taken from the cache.
        generated_tokens: Tokens of finished answers.
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
    """The load now."""

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
    """Returns a call whose answer is ``expected_answer``."""
    text = "".join(prompt)
    answer = expected_answer(prompt, max_tokens)
    return ModelCall(
        BranchKey(program_id, branch_id),
        blocks_of(text, block_tokens),
        blocks_of(text + answer, block_tokens),
        tokens_in(answer),
    )


class EngineModel:
    """Continuous batching with a prefix cache; first come, first served."""

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
        """Works until cancelled."""
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
        """Ends a call early; its computed prompt stays cached."""
        if generation.ended.is_set():
            return
        self._advance()
        self._end(generation, Phase.CANCELLED)
        self._changed.set()

    def generated_tokens(self, generation: Generation) -> int:
        """Returns how many tokens of an answer exist now."""
        self._advance()
        if generation.phase is Phase.DONE:
            return generation.call.answer_tokens
        if generation.phase is not Phase.DECODE:
            return 0
        left = max(0, generation.tokens_left)
        return int(generation.call.answer_tokens - left + _ROUNDING_TOKENS)

    def slow_down(self, factor: float) -> None:
        """Makes everything take ``factor`` times as long as set."""
        self._advance()
        self._slow_factor = factor
        self._changed.set()

    def crash(self) -> None:
        """Breaks all calls and loses the cache."""
        self.stats.crashes += 1
        for generation in [*self._running, *self._waiting]:
            self._end(generation, Phase.CRASHED)
        self.cache.clear()
        self._changed.set()

    def load(self) -> ModelLoad:
        """Returns the load now."""
        return ModelLoad(
            len(self._running), len(self._waiting), self.cache.held_tokens
        )

    async def export_blocks(self, branch: BranchKey) -> tuple[int, ...]:
        """Copies a branch's prefix out, in its time."""
        chain = self.cache.chain(branch)
        await self._transfer(chain)
        return chain

    async def import_blocks(
        self, branch: BranchKey, hashes: tuple[int, ...]
    ) -> int:
        """Loads a copied prefix, in its time, and returns its tokens."""
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
            self._remember(call.branch, call.prompt)
            generation.phase = Phase.DECODE
            generation.tokens_left = call.answer_tokens
            self._changed.set()
            return
        self.stats.generated_tokens += call.answer_tokens
        self._remember(call.branch, call.whole)
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

    def _remember(self, branch: BranchKey, blocks: Blocks) -> None:
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
