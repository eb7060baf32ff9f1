"""Simulated model engine with continuous batching and a prefix cache.

Like real engines it ignores priorities, admits calls in order of arrival, and
slows down as its batch grows.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools

from masticdale_load.cache import PrefixCache

_EPSILON = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity and speed of an engine.

    Attributes:
        slots: Maximum batch size in calls.
        step_base_s: Fixed duration of a decode step in seconds.
        step_per_call_s: Seconds that each call in the batch adds to a step.
        prefill_tokens_per_s: Prefill speed; prompts run one at a time.
        decode_share: Share of the decode speed left during a prefill.
        restore_interval: Cached prefixes are usable in multiples of this
            many tokens.
        transfer_tokens_per_s: Speed of export and import; 0 if unsupported.
    """

    slots: int
    step_base_s: float
    step_per_call_s: float
    prefill_tokens_per_s: float
    decode_share: float
    restore_interval: int
    transfer_tokens_per_s: float

    def decode_tokens_per_s(self, batch: int) -> float:
        """Returns the generation speed of each call in a batch."""
        return 1 / (self.step_base_s + self.step_per_call_s * batch)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCall:
    """A model call as sent to the engine.

    Attributes:
        branch: Cache key of the branch.
        template: Cache key of the template, the shared prompt prefix.
        template_tokens: Tokens of the template.
        prompt_tokens: Tokens of the whole prompt.
        generated_tokens: Tokens to generate.
        imported_tokens: Prompt tokens available for import; the engine
            imports only those that are not cached.
    """

    branch: str
    template: str
    template_tokens: int
    prompt_tokens: int
    generated_tokens: int
    imported_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineResult:
    """Result of a call.

    Attributes:
        crashed: Whether the engine crashed during the call or was down.
        cached_tokens: Prompt tokens served from the cache.
        first_token_at: Time when generation began, in seconds.
    """

    crashed: bool
    cached_tokens: int = 0
    first_token_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _ActiveCall:
    call: EngineCall
    done: asyncio.Future[EngineResult]
    cached_tokens: int = 0
    prefill_left: float = 0.0
    first_token_at: float = 0.0


class EngineModel:
    """Runs calls on the event loop's clock.

    All decoding calls progress at the same rate, so one counter of decoded
    tokens per call serves the whole batch.
    """

    def __init__(self, spec: EngineSpec, cache: PrefixCache) -> None:
        self.spec = spec
        self.cache = cache
        self.up = True
        self.speed = 1.0
        self._loop = asyncio.get_running_loop()
        self._waiting: collections.deque[_ActiveCall] = collections.deque()
        self._prefill: collections.deque[_ActiveCall] = collections.deque()
        self._decode: list[tuple[float, int, _ActiveCall]] = []
        self._counter = itertools.count()
        self._decoded_tokens = 0.0
        self._advanced_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._link_free_at = 0.0

    @property
    def running(self) -> int:
        """Number of calls in the batch."""
        return len(self._prefill) + len(self._decode)

    @property
    def waiting(self) -> int:
        """Number of calls waiting for a slot."""
        return len(self._waiting)

    async def run(self, call: EngineCall) -> EngineResult:
        """Runs a call to completion.

        Returns:
            The result, with ``crashed`` set if the engine is down or crashes.
        """
        await self._import(call)
        if not self.up:
            return EngineResult(crashed=True)
        self._advance()
        active = _ActiveCall(call, self._loop.create_future())
        self._waiting.append(active)
        self._admit()
        self._schedule()
        return await active.done

    async def transfer(self, tokens: int) -> None:
        """Exports or imports tokens; transfers share one link in turn."""
        now = self._loop.time()
        begin = max(now, self._link_free_at)
        rate = self.spec.transfer_tokens_per_s
        self._link_free_at = begin + tokens / rate
        await asyncio.sleep(self._link_free_at - now)

    def crash(self) -> None:
        """Fails every call, clears the cache and stops the engine."""
        self._advance()
        active = [*self._waiting, *self._prefill, *(x[2] for x in self._decode)]
        self._waiting.clear()
        self._prefill.clear()
        self._decode.clear()
        self.cache.clear()
        self.up = False
        self._schedule()
        for each in active:
            each.done.set_result(EngineResult(crashed=True))

    def restart(self) -> None:
        """Starts the engine again with an empty cache."""
        self.up = True

    def set_speed(self, speed: float) -> None:
        """Sets the speed as a share of the normal speed."""
        self._advance()
        self.speed = speed
        self._schedule()

    async def _import(self, call: EngineCall) -> None:
        branch_tokens = call.imported_tokens - call.template_tokens
        if branch_tokens <= 0:
            return
        wanted = {
            call.branch: branch_tokens,
            call.template: call.template_tokens,
        }
        missing = sum(
            max(0, tokens - self.cache.tokens(key))
            for key, tokens in wanted.items()
        )
        if missing == 0:
            return
        for key in wanted:
            self.cache.pin(key)
        await self.transfer(missing)
        for key, tokens in wanted.items():
            self.cache.store(key, tokens)
        for key in wanted:
            self.cache.unpin(key)

    def _decode_rate(self) -> float:
        rate = self.spec.decode_tokens_per_s(len(self._decode)) * self.speed
        return rate * self.spec.decode_share if self._prefill else rate

    def _prefill_rate(self) -> float:
        return self.spec.prefill_tokens_per_s * self.speed

    def _advance(self) -> None:
        now = self._loop.time()
        passed = now - self._advanced_at
        self._advanced_at = now
        if self._decode:
            self._decoded_tokens += passed * self._decode_rate()
        if self._prefill:
            self._prefill[0].prefill_left -= passed * self._prefill_rate()

    def _admit(self) -> None:
        while self._waiting and self.running < self.spec.slots:
            active = self._waiting.popleft()
            self._begin(active)
            self._prefill.append(active)

    def _begin(self, active: _ActiveCall) -> None:
        call, cache = active.call, self.cache
        cached = min(cache.tokens(call.template), call.template_tokens)
        if cached == call.template_tokens:
            cached += cache.tokens(call.branch)
        cached = min(cached, call.prompt_tokens - 1)
        active.cached_tokens = cached - cached % self.spec.restore_interval
        active.prefill_left = float(call.prompt_tokens - active.cached_tokens)
        for key in (call.template, call.branch):
            cache.pin(key)
        cache.store(call.branch, call.prompt_tokens - call.template_tokens)
        cache.store(call.template, call.template_tokens)

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        delays = []
        if self._prefill:
            delays.append(self._prefill[0].prefill_left / self._prefill_rate())
        if self._decode:
            left = self._decode[0][0] - self._decoded_tokens
            delays.append(left / self._decode_rate())
        if delays:
            delay = max(0.0, min(delays))
            self._timer = self._loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._advance()
        while self._prefill and self._prefill[0].prefill_left <= _EPSILON:
            self._start_decode(self._prefill.popleft())
        while (
            self._decode
            and self._decode[0][0] <= self._decoded_tokens + _EPSILON
        ):
            self._finish(heapq.heappop(self._decode)[2])
        self._admit()
        self._schedule()

    def _start_decode(self, active: _ActiveCall) -> None:
        finish_at = self._decoded_tokens + active.call.generated_tokens
        active.first_token_at = self._loop.time()
        entry = (finish_at, next(self._counter), active)
        heapq.heappush(self._decode, entry)

    def _finish(self, active: _ActiveCall) -> None:
        call = active.call
        tokens = call.prompt_tokens + call.generated_tokens
        self.cache.store(call.branch, tokens - call.template_tokens)
        for key in (call.template, call.branch):
            self.cache.unpin(key)
        active.done.set_result(
            EngineResult(False, active.cached_tokens, active.first_token_at)
        )
