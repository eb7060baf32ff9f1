"""In-memory ``ModelEngine`` and ``PlainService`` with injected faults."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Callable, Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing
from masticdale_upstreams.types import (
    CachedProgram,
    CacheEvent,
    CacheEvents,
    Chunk,
    Completion,
    GenerateRequest,
    Health,
    LoadReport,
    Order,
    ServiceReply,
    ServiceRequest,
)

CHARACTERS_PER_TOKEN = 4
_DIGEST_CHARACTERS = 32
_PERCENT = 100
_MIN_ANSWER_PERCENT = 50


def tokens_in(text: str) -> int:
    """Returns the number of tokens of a text, rounded up."""
    return -(-len(text) // CHARACTERS_PER_TOKEN)


def expected_answer(prompt: Sequence[str], max_tokens: int) -> str:
    """Returns the text that a test engine generates.

    Args:
        prompt: Parts of the prompt; the result depends on their joined text.
        max_tokens: Most tokens; the result has between half and all of them.

    Returns:
        The generated text, deterministic for the arguments.
    """
    seed = hashing.digest("".join(prompt))
    spread = _PERCENT - _MIN_ANSWER_PERCENT + 1
    percent = _MIN_ANSWER_PERCENT + int(seed[:8], 16) % spread
    tokens = max(1, max_tokens * percent // _PERCENT)
    length = tokens * CHARACTERS_PER_TOKEN
    repeats = -(-length // _DIGEST_CHARACTERS)
    return "".join(hashing.digest(seed, str(i)) for i in range(repeats))[
        :length
    ]


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that a ``FakeEngine`` injects until they are reset.

    Attributes:
        down: Every call fails before it is sent.
        delay_s: Duration of each call.
        broken_streams: Number of calls that fail with UPSTREAM_FAILED after
            the first chunk.
        stall_streams: Calls send the first chunk and then nothing until the
            deadline.
        lose_answers: Number of short calls (release, orders) that take effect,
            but fail with UPSTREAM_FAILED.
        crash_marker: Text in a prompt that crashes the engine.
    """

    down: bool = False
    delay_s: float = 0.0
    broken_streams: int = 0
    stall_streams: bool = False
    lose_answers: int = 0
    crash_marker: str = ""


class FakeEngine:
    """An in-memory ``ModelEngine`` that never mixes up its streams."""

    def __init__(self, cache_capacity: int = 1_000_000) -> None:
        self.faults = EngineFaults()
        self.leaving = False
        self.crash_count = 0
        self.requests: list[GenerateRequest] = []
        self.cancelled_ids: list[str] = []
        self.orders: list[Order] = []
        self.events: list[CacheEvent] = []
        self.tokens_by_program: dict[str, int] = {}
        self._cache_capacity = cache_capacity
        self._export_by_handle: dict[str, CachedProgram] = {}
        self._running = 0
        self._crashed = asyncio.Event()

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Chunk], None]
    ) -> Result[Completion, Failure]:
        """See ``ModelEngine.generate``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        self.requests.append(request)
        self._running += 1
        try:
            async with asyncio.timeout(request.deadline_s):
                return await self._generate(request, on_chunk)
        except TimeoutError:
            self.cancelled_ids.append(request.request_id)
            return _failed(ErrorKind.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            self.cancelled_ids.append(request.request_id)
            raise
        finally:
            self._running -= 1

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """See ``ModelEngine.cancel``."""
        self.cancelled_ids.append(request_id)
        return await self._acknowledge()

    async def release(self, program_id: str) -> Result[None, Failure]:
        """See ``ModelEngine.release``."""
        if not self.faults.down:
            self.tokens_by_program.pop(program_id, None)
        return await self._acknowledge()

    async def cached_programs(
        self,
    ) -> Result[tuple[CachedProgram, ...], Failure]:
        """See ``ModelEngine.cached_programs``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        cached = self.tokens_by_program.items()
        return Success(tuple(CachedProgram(*item) for item in cached))

    async def load_report(self) -> Result[LoadReport, Failure]:
        """See ``ModelEngine.load_report``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        cached_tokens = sum(self.tokens_by_program.values())
        return Success(
            LoadReport(self._running, 0, cached_tokens, self._cache_capacity, 0)
        )

    async def health(self) -> Result[Health, Failure]:
        """See ``ModelEngine.health``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        return Success(Health(f"run-{self.crash_count}", self.leaving))

    async def cache_events(
        self, position: int, wait_s: float
    ) -> Result[CacheEvents, Failure]:
        """See ``ModelEngine.cache_events``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        if position >= len(self.events):
            await asyncio.sleep(wait_s)
        newer = tuple(self.events[position:])
        return Success(CacheEvents(len(self.events), newer, gap=False))

    async def export_cache(
        self, program_id: str, branch_id: str
    ) -> Result[str, Failure]:
        """See ``ModelEngine.export_cache``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        tokens = self.tokens_by_program.get(program_id)
        if tokens is None:
            return _failed(ErrorKind.NOT_FOUND)
        handle = f"{program_id}/{branch_id}"
        self._export_by_handle[handle] = CachedProgram(program_id, tokens)
        return Success(handle)

    async def import_cache(self, handle: str) -> Result[int, Failure]:
        """See ``ModelEngine.import_cache``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        exported = self._export_by_handle.get(handle)
        if exported is None:
            return _failed(ErrorKind.NOT_FOUND)
        self.tokens_by_program[exported.program_id] = exported.tokens
        return Success(exported.tokens)

    async def order(self, order: Order) -> Result[None, Failure]:
        """See ``ModelEngine.order``."""
        if any(order.fencing < earlier.fencing for earlier in self.orders):
            return _failed(ErrorKind.CONFLICT)
        if not self.faults.down:
            self.orders.append(order)
        return await self._acknowledge()

    def crash(self) -> None:
        """Clears the cache and fails all calls in flight."""
        self.crash_count += 1
        self.tokens_by_program.clear()
        self._crashed.set()
        self._crashed = asyncio.Event()

    async def _generate(
        self, request: GenerateRequest, on_chunk: Callable[[Chunk], None]
    ) -> Result[Completion, Failure]:
        prompt = "".join(request.prompt)
        if self.faults.crash_marker and self.faults.crash_marker in prompt:
            self.crash()
            return _failed(ErrorKind.UPSTREAM_FAILED)
        answer = expected_answer(request.prompt, request.max_tokens)
        half = len(answer) // 2
        on_chunk(Chunk(0, answer[:half]))
        if self.faults.stall_streams:
            await asyncio.Event().wait()
        if await self._crashes_within(self.faults.delay_s):
            return _failed(ErrorKind.UPSTREAM_FAILED)
        if self.faults.broken_streams:
            self.faults.broken_streams -= 1
            return _failed(ErrorKind.UPSTREAM_FAILED)
        on_chunk(Chunk(half, answer[half:]))
        return Success(self._build_completion(request, prompt, answer))

    async def _crashes_within(self, seconds: float) -> bool:
        crashed = self._crashed
        try:
            async with asyncio.timeout(seconds):
                await crashed.wait()
        except TimeoutError:
            return False
        return True

    def _build_completion(
        self, request: GenerateRequest, prompt: str, answer: str
    ) -> Completion:
        prompt_tokens = tokens_in(prompt)
        cached_tokens = self.tokens_by_program.get(request.program_id, 0)
        self.tokens_by_program[request.program_id] = tokens_in(prompt + answer)
        return Completion(
            answer,
            prompt_tokens,
            min(cached_tokens, prompt_tokens),
            tokens_in(answer),
        )

    async def _acknowledge(self) -> Result[None, Failure]:
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return _failed(ErrorKind.UPSTREAM_FAILED)
        return Success(None)


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults that a ``FakeService`` injects until they are reset.

    Attributes:
        down: Calls fail before they are sent.
        delay_s: Delay before each call is executed.
        hang: Calls are executed, but return only at their timeout.
        lose_answers: Number of calls that are executed, but fail with
            OUTCOME_UNKNOWN.
        drop_calls: Number of calls that are not executed and fail with
            OUTCOME_UNKNOWN.
        lookup_down: Lookups fail.
    """

    down: bool = False
    delay_s: float = 0.0
    hang: bool = False
    lose_answers: int = 0
    drop_calls: int = 0
    lookup_down: bool = False


class FakeService:
    """An in-memory ``PlainService`` that counts executions by key."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self.leaving = False
        self.execution_count_by_key: Counter[str] = Counter()
        self._result_by_key: dict[str, str] = {}

    async def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        """See ``PlainService.call``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        if self.faults.drop_calls:
            self.faults.drop_calls -= 1
            return _failed(ErrorKind.OUTCOME_UNKNOWN)
        try:
            async with asyncio.timeout(request.timeout_s):
                return await self._run(request)
        except TimeoutError:
            return _failed(ErrorKind.OUTCOME_UNKNOWN)

    async def lookup(self, key: str) -> Result[ServiceReply | None, Failure]:
        """See ``PlainService.lookup``."""
        if self.faults.down or self.faults.lookup_down:
            return _failed(ErrorKind.NO_UPSTREAM)
        result = self._result_by_key.get(key)
        return Success(None if result is None else ServiceReply(key, result))

    async def health(self) -> Result[Health, Failure]:
        """See ``PlainService.health``."""
        if self.faults.down:
            return _failed(ErrorKind.NO_UPSTREAM)
        return Success(Health("run-0", self.leaving))

    async def _run(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        await asyncio.sleep(self.faults.delay_s)
        self.execution_count_by_key[request.key] += 1
        result = expected_result(request.operation, request.payload)
        self._result_by_key[request.key] = result
        if self.faults.hang:
            await asyncio.Event().wait()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return _failed(ErrorKind.OUTCOME_UNKNOWN)
        return Success(ServiceReply(request.key, result))


def expected_result(operation: str, payload: str) -> str:
    """Returns the JSON text that a test service returns."""
    return f'{{"done":"{hashing.digest(operation, payload)}"}}'


def _failed(kind: ErrorKind) -> Failed[Failure]:
    return Failed(Failure(kind))
