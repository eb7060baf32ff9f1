"""Executes model and service calls: admission, placement, queues, retries."""

import asyncio
import dataclasses
import secrets
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Executed, Failure, Metrics, logs
from masticdale_config import ActiveConfig, RenderedEngine
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
from masticdaled.background import BackgroundTasks
from masticdaled.cluster import FAILOVER_KINDS, Cluster
from masticdaled.directory import UpstreamDirectory
from masticdaled.execution.crash_checks import DigestHomeClient
from masticdaled.execution.placement import Placer
from masticdaled.execution.runs import Run, prefix_note
from masticdaled.execution.service_calls import ServiceCaller
from masticdaled.execution.tickets import TicketClient
from masticdaled.execution.tool_pauses import PrefixOffloader, Residence
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.upstream_clients import UpstreamClients

_MOVE_RETRY_S = 0.1


class UpstreamExecutor:
    """Implements ``Executor`` by calls to the declared upstreams."""

    def __init__(
        self,
        cluster: Cluster,
        in_force: ActiveConfig,
        clients: UpstreamClients,
        tickets: TicketClient,
        homes: ReplicaHomes,
        offloader: PrefixOffloader,
        metrics: Metrics,
    ) -> None:
        self._offloader = offloader
        self._cluster = cluster
        self._in_force = in_force
        self._clients = clients
        self._tickets = tickets
        self._homes = homes
        self._metrics = metrics
        self._retry_budget_by_model: dict[str, RetryBudget] = {}
        self._background = BackgroundTasks()
        directory = UpstreamDirectory(in_force, homes)
        self._placer = Placer(cluster, in_force, directory, offloader)
        self._digest_homes = DigestHomeClient(cluster, self._background)
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
        self._offloader.record_return(call)
        while True:
            outcome = await self._run_attempt(run, sink)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            now = time.monotonic()
            if failure.kind in FAILOVER_KINDS and now < call.deadline:
                # A home is moving to another host. This wait does not count
                # as a retry: a planned stop would otherwise exhaust the retry
                # budget and fail calls.
                sink.set_wait_reason("a home that is moving to another host")
                await asyncio.sleep(_MOVE_RETRY_S)
                continue
            decision = decide_retry(
                FailedAttempt(failure, max(1, run.attempts), call.deadline),
                budget,
                now,
            )
            if isinstance(decision, GiveUp):
                return Failed(_failure_for_caller(decision.failure, run))
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
        """Stops the background tasks."""
        await self._background.close()

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """See ``Executor.release``."""
        engine = self._in_force.current.upstreams.by_name.get(replica)
        if not isinstance(engine, RenderedEngine):
            # The replica is no longer declared, so there is nothing to release.
            return Success(None)
        outcome = await self._clients.engine(engine).release(program_id)
        if isinstance(outcome, Success):
            self._homes.record_released(replica, program_id)
        self._offloader.remove_program(program_id)
        return outcome

    async def _run_attempt(
        self, run: Run, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        # A new id for each attempt: the end of the previous attempt is reported
        # in the background and must not end this one.
        run.run_id = secrets.token_hex(8)
        run.asked_hosts.clear()
        action = "ended"
        try:
            outcome = await self._admit_and_send(run, sink)
            if isinstance(outcome, Success):
                action = "succeeded"
            return outcome
        finally:
            self._digest_homes.report_end(run, action)

    async def _admit_and_send(
        self, run: Run, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        sink.set_wait_reason("placement")
        started = time.monotonic()
        admission, placed = await asyncio.gather(
            self._digest_homes.request_admission(run), self._placer.place(run)
        )
        self._observe_stage("placement", started)
        if admission is Admission.WAIT:
            admission = await self._digest_homes.wait_until_admitted(run, sink)
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
        acquired = await self._tickets.acquire(ticket, run.call.deadline)
        self._observe_stage("queue", started)
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
            await self._offloader.import_prefix(
                run.call, client, reply.cached_tokens
            )
            outcome = await client.generate(
                _generate_request(run.call, ticket), attempt.on_chunk
            )
            self._observe_stage("engine", attempt.started)
            if isinstance(outcome, Failed):
                failure = outcome.failure()
                release = dataclasses.replace(
                    release, crashed=_record_failure(run, engine, failure)
                )
                return Failed(failure)
            release = attempt.release(outcome.unwrap())
            result = attempt.result(outcome.unwrap())
            residence = Residence(reply.residence_ms / 1000)
            self._offloader.record_finished(
                run.call, engine, client, result, residence
            )
            return Success(result)
        finally:
            await self._release_ticket(release)

    async def _release_ticket(self, release: TicketRelease) -> None:
        """Releases a ticket, in the background unless the replica crashed.

        After a crash it waits: the replica's home reports the crash to the
        digest homes before it answers, and the retry asks those for admission.
        """
        if release.crashed:
            await asyncio.shield(self._tickets.release(release))
            return
        self._background.spawn(self._tickets.release(release))

    def _observe_stage(self, stage: str, started: float) -> None:
        seconds = time.monotonic() - started
        self._metrics.observe("turn_stage_seconds", seconds, stage=stage)


class _Attempt:
    """One request to an engine, with its times."""

    def __init__(
        self, ticket: TicketRequest, engine: RenderedEngine, sink: TextSink
    ) -> None:
        self.started = time.monotonic()
        self._ticket = ticket
        self._engine = engine
        self._sink = sink
        self._first_token_at = 0.0

    def on_chunk(self, chunk: Chunk) -> None:
        """Appends the streamed text to the sink."""
        self._first_token_at = self._first_token_at or time.monotonic()
        self._sink.append(chunk.text)

    def release(self, completion: Completion) -> TicketRelease:
        """Returns the release that reports the usage to the replica's home."""
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
        """Returns the result that the owner commits."""
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


def _record_failure(run: Run, engine: RenderedEngine, failure: Failure) -> bool:
    """Records a failed request; returns whether the replica may have crashed.

    A request that reached no upstream does not count as an attempt.
    """
    if failure.kind is ErrorKind.NO_UPSTREAM:
        run.attempts -= 1
    run.failed_replicas.add(engine.name)
    return failure.kind is ErrorKind.UPSTREAM_FAILED


def _failure_for_caller(failure: Failure, run: Run) -> Failure:
    """Returns the failure to report to the caller.

    A failure that says the call did not run is replaced if an earlier attempt
    was sent, since that one may have run.
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
