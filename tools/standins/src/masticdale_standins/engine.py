"""A fake model engine; ``masticdale_upstreams.wire`` defines its messages."""

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
from masticdale_standins.http import AsgiResponse, LineStream, abort_response
from masticdale_standins.model import EngineModel, create_call
from masticdale_standins.settings import EngineSettings
from masticdale_standins.streams import RetainedStream, StreamTable
from masticdale_upstreams import wire
from masticdale_upstreams.testing import expected_answer

_BODY_LIMIT_BYTES = 64_000_000


class EngineFaults(StrictModel):
    """Faults of the engine; each POST replaces all of them.

    Attributes:
        slow_factor: Factor by which everything is slowed down.
        freeze_streams: Open connections send nothing more.
        crash_marker: Text that crashes the engine if a prompt contains it;
            empty to disable.
        crash_now: The engine crashes once.
        cross_answers: Number of next lines with another request's id.
        truncate: Number of next streams that end without end marker.
        leaving: Whether health reports that the engine is leaving.
    """

    slow_factor: float = pydantic.Field(default=1, gt=0)
    freeze_streams: bool = False
    crash_marker: str = ""
    crash_now: bool = False
    cross_answers: int = pydantic.Field(default=0, ge=0)
    truncate: int = pydantic.Field(default=0, ge=0)
    leaving: bool = False


class EngineStats(pydantic.BaseModel):
    """Totals of the engine since its process started.

    Attributes:
        calls: Generations started.
        calls_while_leaving: Generations started after ``leaving`` was set.
        last_call_after_leaving_ms: Time from then to the last such generation.
        crashes: Crashes.
        crash_count_by_digest: Crashes by digest of the joined prompt.
        prefilled_tokens: Prompt tokens computed.
        recomputed_tokens: Prefilled tokens that had been cached before.
        cached_tokens: Prompt tokens taken from the cache.
        generated_tokens: Tokens of completed answers.
        orders: Accepted orders.
        orders_refused: Number of orders with a stale fencing token.
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
    """Cached tokens of one branch."""

    program_id: str
    branch_id: str
    tokens: int


class Engine:
    """State of the fake engine."""

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
        self._restarting_until = 0.0
        self._leaving_since = 0.0
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
        self._load_sampled_at = 0.0

    @property
    def incarnation(self) -> str:
        """Name of the current incarnation; changes with each crash."""
        return f"{self.settings.name}-{self.model.stats.crashes}"

    @property
    def is_restarting(self) -> bool:
        """Whether the engine refuses calls after a crash."""
        return _now() < self._restarting_until

    def set_faults(self, faults: EngineFaults) -> None:
        """Replaces all faults."""
        self.model.set_slow_factor(faults.slow_factor)
        self._crash_marker = faults.crash_marker
        self.streams.lines_to_mismatch = faults.cross_answers
        self.streams.streams_to_truncate = faults.truncate
        if faults.leaving and not self.leaving:
            self._leaving_since = _now()
        self.leaving = faults.leaving
        if faults.freeze_streams:
            self.streams.freeze()
        if faults.crash_now:
            self.crash()

    def crash(self) -> None:
        """Aborts all streams, drops the cache and refuses calls for a while."""
        self.model.crash()
        self.streams.clear()
        self.events.drop_all()
        self._fencing_by_program.clear()
        self._restarting_until = _now() + self.settings.restart_ms / 1000

    def crash_if_marked(self, prompt: str) -> bool:
        """Crashes if the prompt contains the marker; returns whether it did."""
        if not self._crash_marker or self._crash_marker not in prompt:
            return False
        self._crash_count_by_digest[hashing.digest(prompt)] += 1
        self.crash()
        return True

    def is_fenced(self, program_id: str, fencing: int) -> bool:
        """Records a fencing token and returns whether it is stale."""
        if not self.settings.obey_fencing:
            return False
        newest = self._fencing_by_program.get(program_id, 0)
        self._fencing_by_program[program_id] = max(newest, fencing)
        return fencing < newest

    def accept_order(self, order: wire.OrderBody) -> bool:
        """Accepts an order unless its fencing token is stale."""
        newest = max((o.fencing for o in self.orders), default=0)
        if self.settings.obey_fencing and order.fencing < newest:
            self._orders_refused += 1
            return False
        self.orders.append(order)
        return True

    def begin(self, body: wire.GenerateBody) -> RetainedStream:
        """Starts a generation."""
        if self.leaving:
            self._calls_while_leaving += 1
            self._last_call_after_leaving_s = _now() - self._leaving_since
        call = create_call(
            body.program_id,
            body.branch_id,
            body.prompt,
            body.max_tokens,
            self.settings.model.block_tokens,
        )
        stream = RetainedStream(
            body.request_id,
            self.model.submit(call),
            expected_answer(body.prompt, body.max_tokens),
        )
        self.streams.add(stream, body.deadline_ms / 1000)
        return stream

    def load(self) -> wire.LoadBody:
        """Returns the last load report with its age."""
        age_ms = int((_now() - self._load_sampled_at) * 1000)
        return self._load.model_copy(update={"age_ms": age_ms})

    async def refresh_load(self) -> None:
        """Updates the load report periodically until cancelled."""
        while True:
            load = self.model.load()
            self._load = self._load.model_copy(update=dataclasses.asdict(load))
            self._load_sampled_at = _now()
            await asyncio.sleep(self.settings.load_lag_ms / 1000)

    def stats(self) -> EngineStats:
        """Returns the totals since the start."""
        totals = self.model.stats
        return EngineStats(
            calls=totals.calls,
            calls_while_leaving=self._calls_while_leaving,
            last_call_after_leaving_ms=int(
                self._last_call_after_leaving_s * 1000
            ),
            crashes=totals.crashes,
            crash_count_by_digest=dict(self._crash_count_by_digest),
            prefilled_tokens=totals.prefilled_tokens,
            recomputed_tokens=totals.recomputed_tokens,
            cached_tokens=totals.cached_tokens,
            generated_tokens=totals.generated_tokens,
            orders=tuple(self.orders),
            orders_refused=self._orders_refused,
        )


Reply = litestar.Response[Any]


@litestar.post("/v1/generate", request_max_body_size=_BODY_LIMIT_BYTES)
async def generate(engine: Engine, data: wire.GenerateBody) -> Reply:
    """Starts a model call, or resumes it if known, and streams the answer."""
    existing = engine.streams.find(data.request_id)
    if existing is not None:
        return _create_stream_response(engine, existing, 0)
    if engine.is_fenced(data.program_id, data.fencing):
        return Reply(None, status_code=409)
    if engine.model.load().waiting > engine.settings.max_waiting:
        return Reply(None, status_code=429)
    if engine.crash_if_marked("".join(data.prompt)):
        return AsgiResponse(abort_response)
    return _create_stream_response(engine, engine.begin(data), 0)


@litestar.get("/v1/streams/{request_id:path}")
async def resume(engine: Engine, request_id: str, offset: int) -> Reply:
    """Streams a call's answer from an offset."""
    stream = engine.streams.find(_strip_slash(request_id))
    if stream is None:
        return Reply(None, status_code=404)
    return _create_stream_response(engine, stream, offset)


@litestar.delete("/v1/streams/{request_id:path}", status_code=204)
async def cancel(engine: Engine, request_id: str) -> None:
    """Cancels a call."""
    engine.streams.cancel(_strip_slash(request_id))


@litestar.get("/v1/load")
async def load(engine: Engine) -> wire.LoadBody:
    """Returns the delayed load report."""
    return engine.load()


@litestar.get("/v1/health")
async def health(engine: Engine) -> wire.HealthBody:
    """Reports the incarnation and whether the engine is leaving."""
    return wire.HealthBody(
        incarnation=engine.incarnation, leaving=engine.leaving
    )


@litestar.get("/v1/cache/events")
async def cache_events(
    engine: Engine, position: int, wait_ms: int
) -> wire.CacheEventsBody:
    """Returns cache events after a position, waiting for the first."""
    return await engine.events.read_after(position, wait_ms / 1000)


@litestar.get("/v1/cache/programs")
async def held_programs(engine: Engine) -> wire.CachedProgramsBody:
    """Returns the programs with cached tokens."""
    held = engine.model.cache.tokens_by_program()
    return wire.CachedProgramsBody(
        programs=tuple(
            wire.CachedProgramBody(program_id=program_id, tokens=tokens)
            for program_id, tokens in held.items()
        )
    )


@litestar.delete("/v1/cache/programs/{program_id:path}", status_code=204)
async def release(engine: Engine, program_id: str) -> None:
    """Drops a program's cached prefixes."""
    engine.model.cache.release(_strip_slash(program_id))


@litestar.post("/v1/cache/export", status_code=200)
async def export_cache(engine: Engine, data: wire.ExportBody) -> Reply:
    """Exports a branch's prefix."""
    branch = BranchKey(data.program_id, data.branch_id)
    hashes = await engine.model.export_blocks(branch)
    if not hashes:
        return Reply(None, status_code=404)
    handle = engine.exports.put(branch, hashes)
    tokens = len(hashes) * engine.settings.model.block_tokens
    return Reply(wire.ExportedBody(handle=handle, tokens=tokens))


@litestar.post("/v1/cache/import", status_code=200)
async def import_cache(engine: Engine, data: wire.ImportBody) -> Reply:
    """Imports an exported prefix."""
    exported = engine.exports.get(data.handle)
    if exported is None:
        return Reply(None, status_code=404)
    branch = BranchKey(exported.program_id, exported.branch_id)
    tokens = await engine.model.import_blocks(branch, exported.hashes)
    return Reply(wire.ImportedBody(tokens=tokens))


@litestar.post("/v1/orders", status_code=200)
async def order(engine: Engine, data: wire.OrderBody) -> Reply:
    """Accepts an order unless its fencing token is stale."""
    return Reply(None, status_code=200 if engine.accept_order(data) else 409)


@litestar.post("/admin/faults", status_code=204)
async def set_faults(engine: Engine, data: EngineFaults) -> None:
    """Replaces all faults."""
    engine.set_faults(data)


@litestar.get("/admin/stats")
async def stats(engine: Engine) -> EngineStats:
    """Returns the totals since the start."""
    return engine.stats()


@litestar.get("/admin/branches")
async def held_branches(engine: Engine) -> list[HeldBranch]:
    """Returns the cached tokens by branch."""
    held = engine.model.cache.tokens_by_branch()
    return [
        HeldBranch(
            program_id=branch.program_id,
            branch_id=branch.branch_id,
            tokens=tokens,
        )
        for branch, tokens in held.items()
    ]


def create_app(settings: EngineSettings) -> litestar.Litestar:
    """Creates the ASGI app of the fake engine."""
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
            asyncio.create_task(engine.refresh_load()),
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


def _strip_slash(part: str) -> str:
    # Litestar's path parameters start with a slash.
    return part.removeprefix("/")


def _create_stream_response(
    engine: Engine, stream: RetainedStream, offset: int
) -> Reply:
    lines = engine.streams.lines(stream, offset)
    return AsgiResponse(LineStream(lines, wire.NDJSON))
