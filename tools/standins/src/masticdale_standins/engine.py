"""The stand-in of a model engine; ``masticdale_upstreams.wire`` is its wire."""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Any

import litestar
import pydantic
from litestar.di import Provide

from masticdale_common import StrictModel, hashing
from masticdale_standins.cache import BranchKey
from masticdale_standins.events import EventLog
from masticdale_standins.exports import ExportStore, create_export_store
from masticdale_standins.http import AppResponse, LineStream, cut_answer
from masticdale_standins.model import EngineModel, create_call
from masticdale_standins.settings import EngineSettings
from masticdale_standins.streams import KeptStream, StreamTable
from masticdale_upstreams import wire
from masticdale_upstreams.testing import expected_answer

_BODY_LIMIT_BYTES = 64_000_000


class EngineFaults(StrictModel):
    """What goes wrong; each POST replaces all of it.

    Attributes:
        slow_factor: Everything takes so many times as long.
        freeze_streams: Connections open now go silent for good.
        crash_marker: A prompt that contains it crashes the engine.
        crash_now: The engine crashes once.
        cross_answers: This many next lines carry another request's id.
        truncate: This many next streams end without their end marker.
        leaving: Health says that the engine leaves.
    """

    slow_factor: float = pydantic.Field(default=1, gt=0)
    freeze_streams: bool = False
    crash_marker: str = ""
    crash_now: bool = False
    cross_answers: int = pydantic.Field(default=0, ge=0)
    truncate: int = pydantic.Field(default=0, ge=0)
    leaving: bool = False


class EngineStats(pydantic.BaseModel):
    """What the stand-in has done since its process started.

    Attributes:
        calls: Generations begun.
        calls_while_leaving: Those of them begun after ``leaving`` was set.
        last_call_after_leaving_ms: How long after that the last one came.
        crashes: Crashes.
        crash_count_by_digest: Crashes by digest of the joined prompt.
        prefilled_tokens: Prompt tokens computed.
        recomputed_tokens: Those of them that had been cached before.
        cached_tokens: Prompt tokens taken from the cache.
        generated_tokens: Tokens of finished answers.
        orders: Orders obeyed.
        orders_refused: Orders with an old fencing number.
    """

    calls: int
    calls_while_leaving: int
    last_call_after_leaving_ms: int
    crashes: int
    crash_count_by_digest: dict[str, int]
    prefilled_tokens: int
    recomputed_tokens: int
    cached_tokens: int
    generated_tokens: int
    orders: tuple[wire.OrderBody, ...]
    orders_refused: int


class HeldBranch(pydantic.BaseModel):
    """Engine memory held for one branch."""

    program_id: str
    branch_id: str
    tokens: int


class Engine:
    """The state of the stand-in."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.events = EventLog(
            settings.event_delay_ms / 1000, settings.event_loss_share
        )
        self.model = EngineModel(settings.model, self.events.add)
        self.streams = StreamTable(self.model, settings)
        self.exports: ExportStore = create_export_store(settings.export_folder)
        self.leaving = False
        self.orders: list[wire.OrderBody] = []
        self._crash_marker = ""
        self._refuses_until = 0.0
        self._left_at = 0.0
        self._last_call_after_leaving_s = 0.0
        self._calls_while_leaving = 0
        self._orders_refused = 0
        self._crash_count_by_digest: collections.Counter[str] = (
            collections.Counter()
        )
        self._fencing_by_program: dict[str, int] = {}
        self._load = wire.LoadBody(
            running=0,
            waiting=0,
            cached_tokens=0,
            cache_capacity=settings.model.cache_tokens,
            age_ms=0,
        )
        self._load_taken_at = 0.0

    @property
    def incarnation(self) -> str:
        """Changes with each crash."""
        return f"{self.settings.name}-{self.model.stats.crashes}"

    @property
    def is_restarting(self) -> bool:
        """Whether the engine refuses calls after a crash."""
        return _now() < self._refuses_until

    def set_faults(self, faults: EngineFaults) -> None:
        """Replaces all faults."""
        self.model.slow_down(faults.slow_factor)
        self._crash_marker = faults.crash_marker
        self.streams.lines_to_cross = faults.cross_answers
        self.streams.streams_to_truncate = faults.truncate
        if faults.leaving and not self.leaving:
            self._left_at = _now()
        self.leaving = faults.leaving
        if faults.freeze_streams:
            self.streams.freeze()
        if faults.crash_now:
            self.crash()

    def crash(self) -> None:
        """Breaks all streams, loses the cache, refuses for a while."""
        self.model.crash()
        self.streams.clear()
        self.events.lose_all()
        self._fencing_by_program.clear()
        self._refuses_until = _now() + self.settings.restart_ms / 1000

    def crashes_on(self, prompt: str) -> bool:
        """Crashes if the prompt says so, and counts it by its digest."""
        if not self._crash_marker or self._crash_marker not in prompt:
            return False
        self._crash_count_by_digest[hashing.digest(prompt)] += 1
        self.crash()
        return True

    def is_fenced(self, program_id: str, fencing: int) -> bool:
        """Returns whether a smaller fencing number is to be refused."""
        if not self.settings.obey_fencing:
            return False
        newest = self._fencing_by_program.get(program_id, 0)
        self._fencing_by_program[program_id] = max(newest, fencing)
        return fencing < newest

    def obeys(self, order: wire.OrderBody) -> bool:
        """Takes an order unless its fencing number is old."""
        newest = max((o.fencing for o in self.orders), default=0)
        if self.settings.obey_fencing and order.fencing < newest:
            self._orders_refused += 1
            return False
        self.orders.append(order)
        return True

    def begin(self, body: wire.GenerateBody) -> KeptStream:
        """Starts a generation."""
        if self.leaving:
            self._calls_while_leaving += 1
            self._last_call_after_leaving_s = _now() - self._left_at
        call = create_call(
            body.program_id,
            body.branch_id,
            body.prompt,
            body.max_tokens,
            self.settings.model.block_tokens,
        )
        stream = KeptStream(
            body.request_id,
            self.model.submit(call),
            expected_answer(body.prompt, body.max_tokens),
        )
        self.streams.add(stream, body.deadline_ms / 1000)
        return stream

    def load(self) -> wire.LoadBody:
        """Returns the latest load report, which lags."""
        age_ms = int((_now() - self._load_taken_at) * 1000)
        return self._load.model_copy(update={"age_ms": age_ms})

    async def report_load(self) -> None:
        """Renews the load report until cancelled."""
        while True:
            load = self.model.load()
            self._load = self._load.model_copy(update=dataclasses.asdict(load))
            self._load_taken_at = _now()
            await asyncio.sleep(self.settings.load_lag_ms / 1000)

    def stats(self) -> EngineStats:
        """Returns what has been done."""
        did = self.model.stats
        return EngineStats(
            calls=did.calls,
            calls_while_leaving=self._calls_while_leaving,
            last_call_after_leaving_ms=int(
                self._last_call_after_leaving_s * 1000
            ),
            crashes=did.crashes,
            crash_count_by_digest=dict(self._crash_count_by_digest),
            prefilled_tokens=did.prefilled_tokens,
            recomputed_tokens=did.recomputed_tokens,
            cached_tokens=did.cached_tokens,
            generated_tokens=did.generated_tokens,
            orders=tuple(self.orders),
            orders_refused=self._orders_refused,
        )


Reply = litestar.Response[Any]


@litestar.post("/v1/generate", request_max_body_size=_BODY_LIMIT_BYTES)
async def generate(engine: Engine, data: wire.GenerateBody) -> Reply:
    """Runs a model call, or goes on with a known one, and streams it."""
    known = engine.streams.find(data.request_id)
    if known is not None:
        return _stream(engine, known, 0)
    if engine.is_fenced(data.program_id, data.fencing):
        return Reply(None, status_code=409)
    if engine.model.load().waiting > engine.settings.max_waiting:
        return Reply(None, status_code=429)
    if engine.crashes_on("".join(data.prompt)):
        return AppResponse(cut_answer)
    return _stream(engine, engine.begin(data), 0)


@litestar.get("/v1/streams/{request_id:path}")
async def resume(engine: Engine, request_id: str, offset: int) -> Reply:
    """Streams the rest of a call's answer."""
    stream = engine.streams.find(_plain(request_id))
    if stream is None:
        return Reply(None, status_code=404)
    return _stream(engine, stream, offset)


@litestar.delete("/v1/streams/{request_id:path}", status_code=204)
async def cancel(engine: Engine, request_id: str) -> None:
    """Ends a call that nobody waits for."""
    engine.streams.cancel(_plain(request_id))


@litestar.get("/v1/load")
async def load(engine: Engine) -> wire.LoadBody:
    """Answers the lagging load report."""
    return engine.load()


@litestar.get("/v1/health")
async def health(engine: Engine) -> wire.HealthBody:
    """Answers whether the engine serves and since which restart."""
    return wire.HealthBody(
        incarnation=engine.incarnation, leaving=engine.leaving
    )


@litestar.get("/v1/cache/events")
async def cache_events(
    engine: Engine, position: int, wait_ms: int
) -> wire.CacheEventsBody:
    """Answers cache events after a position, or waits for one."""
    return await engine.events.after(position, wait_ms / 1000)


@litestar.get("/v1/cache/programs")
async def held_programs(engine: Engine) -> wire.CachedProgramsBody:
    """Answers which programs hold memory."""
    held = engine.model.cache.held_by_program()
    return wire.CachedProgramsBody(
        programs=tuple(
            wire.CachedProgramBody(program_id=program_id, tokens=tokens)
            for program_id, tokens in held.items()
        )
    )


@litestar.delete("/v1/cache/programs/{program_id:path}", status_code=204)
async def release(engine: Engine, program_id: str) -> None:
    """Frees all memory held for a program."""
    engine.model.cache.release(_plain(program_id))


@litestar.post("/v1/cache/export", status_code=200)
async def export_cache(engine: Engine, data: wire.ExportBody) -> Reply:
    """Copies a branch's prefix out."""
    branch = BranchKey(data.program_id, data.branch_id)
    hashes = await engine.model.export_blocks(branch)
    if not hashes:
        return Reply(None, status_code=404)
    handle = engine.exports.put(branch, hashes)
    tokens = len(hashes) * engine.settings.model.block_tokens
    return Reply(wire.ExportedBody(handle=handle, tokens=tokens))


@litestar.post("/v1/cache/import", status_code=200)
async def import_cache(engine: Engine, data: wire.ImportBody) -> Reply:
    """Loads an exported prefix."""
    exported = engine.exports.get(data.handle)
    if exported is None:
        return Reply(None, status_code=404)
    branch = BranchKey(exported.program_id, exported.branch_id)
    tokens = await engine.model.import_blocks(branch, exported.hashes)
    return Reply(wire.ImportedBody(tokens=tokens))


@litestar.post("/v1/orders", status_code=200)
async def order(engine: Engine, data: wire.OrderBody) -> Reply:
    """Takes an order."""
    return Reply(None, status_code=200 if engine.obeys(data) else 409)


@litestar.post("/admin/faults", status_code=204)
async def set_faults(engine: Engine, data: EngineFaults) -> None:
    """Replaces all faults."""
    engine.set_faults(data)


@litestar.get("/admin/stats")
async def stats(engine: Engine) -> EngineStats:
    """Answers what has been done."""
    return engine.stats()


@litestar.get("/admin/branches")
async def held_branches(engine: Engine) -> list[HeldBranch]:
    """Answers the memory held by branch."""
    held = engine.model.cache.held_by_branch()
    return [
        HeldBranch(
            program_id=branch.program_id,
            branch_id=branch.branch_id,
            tokens=tokens,
        )
        for branch, tokens in held.items()
    ]


def create_app(settings: EngineSettings) -> litestar.Litestar:
    """Returns the stand-in as an ASGI app."""
    engine = Engine(settings)

    async def provide() -> Engine:
        await asyncio.sleep(0)
        return engine

    async def refuse_while_restarting(
        request: litestar.Request[Any, Any, Any],
    ) -> Reply | None:
        await asyncio.sleep(0)
        if not engine.is_restarting or request.url.path.startswith("/admin/"):
            return None
        not_run = {wire.NOT_RUN_HEADER: wire.NOT_RUN_VALUE}
        return Reply(None, status_code=503, headers=not_run)

    @contextlib.asynccontextmanager
    async def work(_: litestar.Litestar) -> AsyncIterator[None]:
        tasks = [
            asyncio.create_task(engine.model.run()),
            asyncio.create_task(engine.report_load()),
        ]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    return litestar.Litestar(
        [
            generate,
            resume,
            cancel,
            load,
            health,
            cache_events,
            held_programs,
            release,
            export_cache,
            import_cache,
            order,
            set_faults,
            stats,
            held_branches,
        ],
        dependencies={"engine": Provide(provide)},
        before_request=refuse_while_restarting,
        lifespan=[work],
        logging_config=None,
        openapi_config=None,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _plain(part: str) -> str:
    # Litestar's path parameters keep the slash before them.
    return part.removeprefix("/")


def _stream(engine: Engine, stream: KeptStream, offset: int) -> Reply:
    lines = engine.streams.lines(stream, offset)
    return AppResponse(LineStream(lines, wire.NDJSON))
