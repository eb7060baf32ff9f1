"""Runs calls at upstreams: placement, admission, retries, at-most-once."""

import asyncio
import dataclasses
import secrets
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Executed, Failure, Metrics, logs
from masticdale_config import ConfigInForce, RenderedEngine
from masticdale_peers import ProbeReply, TicketRelease, TicketRequest
from masticdale_programs import (
    ModelCall,
    ModelResult,
    ServiceCall,
    TextSink,
    count_tokens,
)
from masticdale_routing import (
    Admission,
    FailedAttempt,
    GiveUp,
    Placement,
    RetryBudget,
    RetrySettings,
    decide_retry,
)
from masticdale_upstreams import Chunk, Completion, GenerateRequest
from masticdaled.background import Background
from masticdaled.cluster import MOVING_KINDS, Cluster
from masticdaled.directory import UpstreamDirectory
from masticdaled.execution.crash_checks import DigestDesk
from masticdaled.execution.placement import Placer
from masticdaled.execution.runs import Run, prefix_note
from masticdaled.execution.service_calls import ServiceCaller
from masticdaled.execution.tickets import TicketDesk
from masticdaled.execution.tool_pauses import CacheKeeper, Residence
from masticdaled.replicas.homes import Homes
from masticdaled.upstream_clients import UpstreamClients

_MOVING_WAIT_S = 0.1


class UpstreamExecutor:
    """The daemon's ``Executor``."""

    def __init__(
        self,
        cluster: Cluster,
        in_force: ConfigInForce,
        clients: UpstreamClients,
        desk: TicketDesk,
        homes: Homes,
        keeper: CacheKeeper,
        metrics: Metrics,
    ) -> None:
        self._keeper = keeper
        self._cluster = cluster
        self._in_force = in_force
        self._clients = clients
        self._desk = desk
        self._homes = homes
        self._metrics = metrics
        self._retry_budget_by_model: dict[str, RetryBudget] = {}
        self._background = Background()
        directory = UpstreamDirectory(in_force, homes)
        self._placer = Placer(cluster, in_force, directory, keeper)
        self._digests = DigestDesk(cluster, self._background)
        self._services = ServiceCaller(directory, clients, metrics)

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """See ``Executor.run_model``."""
        tokens = sum(count_tokens(part) for part in call.prompt)
        run = Run(call, "", tokens)
        budget = self._retry_budget_by_model.setdefault(
            call.model, RetryBudget(RetrySettings())
        )
        budget.record_first_attempt()
        self._keeper.returned(call)
        while True:
            outcome = await self._try_once(run, sink)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            now = time.monotonic()
            if failure.kind in MOVING_KINDS and now < call.deadline:
                # Waiting for a home to settle is no retry of a call: counted
                # as one, a planned stop would use the retry budget up and
                # callers would be refused.
                sink.set_wait_reason("a home that moves")
                await asyncio.sleep(_MOVING_WAIT_S)
                continue
            decision = decide_retry(
                FailedAttempt(failure, max(1, run.attempts), call.deadline),
                budget,
                now,
            )
            if isinstance(decision, GiveUp):
                return Failed(_final(decision.failure, run))
            self._metrics.count("retries_total", model=call.model)
            sink.set_wait_reason(f"retry after {failure.kind.value}")
            await asyncio.sleep(decision.delay_s)

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``."""
        return self._services.is_repeatable(workspace, operation)

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``."""
        return await self._services.call(call)

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """See ``Executor.look_up``."""
        return await self._services.look_up(call)

    async def close(self) -> None:
        """Drops what still runs in the background."""
        await self._background.close()

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """See ``Executor.release``."""
        engine = self._in_force.current.upstreams.by_name.get(replica)
        if not isinstance(engine, RenderedEngine):
            # A replica that is no longer declared takes no orders from us and
            # its memory went with it.
            return Success(None)
        outcome = await self._clients.engine(engine).release(program_id)
        if isinstance(outcome, Success):
            self._homes.released(replica, program_id)
        self._keeper.forget(program_id)
        return outcome

    async def _try_once(
        self, run: Run, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        # A new id each time: the last try's end is told off the path and
        # must not end this one.
        run.run_id = secrets.token_hex(8)
        run.asked_hosts.clear()
        action = "ended"
        try:
            outcome = await self._admit_and_send(run, sink)
            if isinstance(outcome, Success):
                action = "succeeded"
            return outcome
        finally:
            self._digests.tell(run, action)

    async def _admit_and_send(
        self, run: Run, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        sink.set_wait_reason("placement")
        started = time.monotonic()
        admission, placed = await asyncio.gather(
            self._digests.ask(run), self._placer.place(run)
        )
        self._observe("placement", started)
        if admission is Admission.WAIT:
            admission = await self._digests.wait(run, sink)
            placed = await self._placer.place(run)
        if admission is Admission.REFUSED:
            return Failed(Failure(ErrorKind.QUARANTINED))
        if admission is Admission.WAIT:
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
        run.exclusive = admission is Admission.RUN_EXCLUSIVE
        if isinstance(placed, Failed):
            return Failed(placed.failure())
        return await self._queue_and_send(run, placed.unwrap(), sink)

    async def _queue_and_send(
        self, run: Run, placement: Placement, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        engine = self._in_force.current.upstreams.by_name.get(placement.replica)
        if not isinstance(engine, RenderedEngine):
            return Failed(Failure(ErrorKind.NO_UPSTREAM, placement.replica))
        ticket = _ticket_request(run, placement, self._cluster.host)
        sink.set_wait_reason(f"queue of {engine.name}")
        started = time.monotonic()
        acquired = await self._desk.acquire(ticket, run.call.deadline)
        self._observe("queue", started)
        if isinstance(acquired, Failed):
            if acquired.failure().kind is ErrorKind.NO_UPSTREAM:
                run.failed_replicas.add(engine.name)
            return Failed(acquired.failure())
        return await self._send(run, ticket, engine, sink)

    async def _send(
        self,
        run: Run,
        ticket: TicketRequest,
        engine: RenderedEngine,
        sink: TextSink,
    ) -> Result[ModelResult, Failure]:
        attempt = _Attempt(ticket, engine, sink)
        run.attempts += 1
        sink.restart()
        sink.record_placement(engine.name)
        client = self._clients.engine(engine)
        reply = run.reply_by_replica.get(engine.name, ProbeReply())
        release = TicketRelease(ticket.ticket_id, engine.name)
        try:
            await self._keeper.bring(run.call, client, reply.cached_tokens)
            outcome = await client.generate(
                _generate_request(run.call, ticket), attempt.on_chunk
            )
            self._observe("engine", attempt.started)
            if isinstance(outcome, Failed):
                failure = outcome.failure()
                release = dataclasses.replace(
                    release, crashed=_note_failure(run, engine, failure)
                )
                return Failed(failure)
            release = attempt.release(outcome.unwrap())
            result = attempt.result(outcome.unwrap())
            residence = Residence(reply.residence_ms / 1000)
            self._keeper.finished(run.call, engine, client, result, residence)
            return Success(result)
        finally:
            await self._give_back(release)

    async def _give_back(self, release: TicketRelease) -> None:
        """Gives a ticket back; waits only where a crash must be known first.

        The retry after a crash asks the suspects' home, which the replica's
        home tells before it answers.
        """
        if release.crashed:
            await asyncio.shield(self._desk.release(release))
            return
        self._background.spawn(self._desk.release(release))

    def _observe(self, stage: str, started: float) -> None:
        seconds = time.monotonic() - started
        self._metrics.observe("turn_stage_seconds", seconds, stage=stage)


class _Attempt:
    """One send of a call: its times, and what is told of its end."""

    def __init__(
        self, ticket: TicketRequest, engine: RenderedEngine, sink: TextSink
    ) -> None:
        self.started = time.monotonic()
        self._ticket = ticket
        self._engine = engine
        self._sink = sink
        self._first_token_at = 0.0

    def on_chunk(self, chunk: Chunk) -> None:
        """Takes text as it comes."""
        self._first_token_at = self._first_token_at or time.monotonic()
        self._sink.append(chunk.text)

    def release(self, completion: Completion) -> TicketRelease:
        """Returns what the replica's home is told."""
        first_token_s = max(0.0, self._first_token_at - self.started)
        return TicketRelease(
            self._ticket.ticket_id,
            self._engine.name,
            prompt_tokens=completion.prompt_tokens,
            cached_tokens=completion.cached_tokens,
            generated_tokens=completion.generated_tokens,
            service_ms=self._service_ms(),
            first_token_ms=int(first_token_s * 1000),
        )

    def result(self, completion: Completion) -> ModelResult:
        """Returns what the owner commits."""
        return ModelResult(
            completion.text,
            self._engine.name,
            completion.prompt_tokens,
            completion.cached_tokens,
            completion.generated_tokens,
            self._service_ms(),
        )

    def _service_ms(self) -> int:
        return int((time.monotonic() - self.started) * 1000)


def _generate_request(
    call: ModelCall, ticket: TicketRequest
) -> GenerateRequest:
    return GenerateRequest(
        request_id=ticket.ticket_id,
        program_id=call.program_id,
        branch_id=call.branch_id,
        prompt=call.prompt,
        max_tokens=call.max_tokens,
        deadline_s=max(0.0, call.deadline - time.monotonic()),
        fencing=0,
    )


def _note_failure(run: Run, engine: RenderedEngine, failure: Failure) -> bool:
    """Notes a failed send; returns whether the replica may have crashed."""
    if failure.kind is ErrorKind.NO_UPSTREAM:
        run.attempts -= 1
    run.failed_replicas.add(engine.name)
    return failure.kind is ErrorKind.UPSTREAM_FAILED


def _final(failure: Failure, run: Run) -> Failure:
    """Returns the failure the caller is told.

    The last try may have been refused before it was sent, while an earlier
    one ran: "not run" would then be untrue.
    """
    if run.attempts == 0 and failure.kind is not ErrorKind.UPSTREAM_FAILED:
        return failure
    if failure.kind is ErrorKind.DEADLINE_EXCEEDED:
        return Failure(ErrorKind.TIMED_OUT, failure.detail)
    if failure.kind is ErrorKind.QUARANTINED:
        return failure
    if failure.response.ran is Executed.NO:
        logs.write("refused_after_run", kind=failure.kind.value)
        return dataclasses.replace(failure, kind=ErrorKind.UPSTREAM_FAILED)
    return failure


def _ticket_request(
    run: Run, placement: Placement, origin: str
) -> TicketRequest:
    call = run.call
    return TicketRequest(
        ticket_id=f"{run.run_id}-{run.attempts}-{secrets.token_hex(4)}",
        replica=placement.replica,
        origin=origin,
        workspace=call.workspace,
        priority=call.priority,
        attained_s=call.attained_s,
        waited_ms=0,
        deadline_ms=0,
        prompt_tokens=run.prompt_tokens,
        uncached_tokens=placement.uncached_tokens,
        max_tokens=call.max_tokens,
        program_id=call.program_id,
        content_digest=call.content_digest,
        exclusive=run.exclusive,
        prefix=prefix_note(call),
    )
