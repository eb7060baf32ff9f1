"""Runs calls at upstreams: placement, admission, retries, at-most-once."""

import asyncio
import dataclasses
import secrets
import time
from collections.abc import Coroutine
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, Ran, logs
from masticdale_config import (
    ConfigInForce,
    RenderedEngine,
    RenderedService,
    engines_of,
)
from masticdale_peers import (
    PrefixNote,
    ProbeReply,
    ProbeRequest,
    SuspectReply,
    SuspectRequest,
    TicketRelease,
    TicketRequest,
)
from masticdale_programs import (
    ModelCall,
    ModelResult,
    ServiceCall,
    TextSink,
    count_tokens,
)
from masticdale_routing import (
    Admission,
    Candidate,
    CostInSeconds,
    FailedAttempt,
    GiveUp,
    Location,
    Placement,
    PlacementRequest,
    RetryBudget,
    RetrySettings,
    choose_probes,
    decide_retry,
    place,
)
from masticdale_upstreams import Chunk, GenerateRequest, ServiceRequest
from masticdaled.cluster import Cluster
from masticdaled.homes import Homes
from masticdaled.pausing import CacheKeeper, Residence
from masticdaled.tickets import TicketDesk
from masticdaled.upstream_clients import UpstreamClients

_PROBE_TIMEOUT_S = 0.5
_SUSPECT_TIMEOUT_S = 1.0
_SUSPECT_WAIT_S = 0.1
_TELL_TRIES = 10
_TELL_AGAIN_S = 0.5
_GUESS = 50.0  # Tokens a second, where no probed replica has served yet.


@dataclasses.dataclass(slots=True)
class _Run:
    """One model call while it is tried.

    Attributes:
        call: The call.
        run_id: Names the present try to the digest's home.
        prompt_tokens: Tokens of the prompt, estimated.
        failed_replicas: Where it failed; not tried again.
        attempts: Times it was sent.
        reply_by_replica: What the homes last told of the probed replicas.
        exclusive: Whether it must run with nothing else in flight.
        asked_hosts: Digest homes that this try asked for admission.
    """

    call: ModelCall
    run_id: str
    prompt_tokens: int
    failed_replicas: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    reply_by_replica: dict[str, ProbeReply] = dataclasses.field(
        default_factory=dict
    )
    exclusive: bool = False
    asked_hosts: set[str] = dataclasses.field(default_factory=set)


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
        self._policy = CostInSeconds()
        self._retry_budget_by_model: dict[str, RetryBudget] = {}
        self._retry_budget_by_operation: dict[str, RetryBudget] = {}
        self._service_turn = 0
        self._background: set[asyncio.Task[Any]] = set()

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """See ``Executor.run_model``."""
        tokens = sum(count_tokens(part) for part in call.prompt)
        run = _Run(call, "", tokens)
        budget = self._retry_budget_by_model.setdefault(
            call.model, RetryBudget(RetrySettings())
        )
        budget.first_sent()
        self._keeper.returned(call)
        while True:
            outcome = await self._try_once(run, sink)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            now = time.monotonic()
            decision = decide_retry(
                FailedAttempt(failure, max(1, run.attempts), call.deadline),
                budget,
                now,
            )
            if isinstance(decision, GiveUp):
                return Failed(_final(decision.failure, run))
            self._metrics.count("retries_total", model=call.model)
            sink.waits(f"retry after {failure.kind.value}")
            await asyncio.sleep(decision.delay_s)

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``; an unknown operation is not."""
        services = self._services(workspace, operation)
        if not services:
            return False
        return all(s.repeatable_by_operation[operation] for s in services)

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``.

        An answer that was lost is asked for again only where the operation
        may be repeated.
        """
        if not self.is_repeatable(call.workspace, call.operation):
            return await self._call_once(call)
        budget = self._retry_budget_by_operation.setdefault(
            call.operation, RetryBudget(RetrySettings())
        )
        budget.first_sent()
        attempts = 0
        while True:
            attempts += 1
            outcome = await self._call_once(call)
            if isinstance(outcome, Success):
                return outcome
            failure = _repeatable(outcome.failure())
            attempt = FailedAttempt(failure, attempts, call.deadline)
            decision = decide_retry(attempt, budget, time.monotonic())
            if isinstance(decision, GiveUp):
                return Failed(decision.failure)
            self._metrics.count("retries_total", operation=call.operation)
            await asyncio.sleep(decision.delay_s)

    async def _call_once(self, call: ServiceCall) -> Result[str, Failure]:
        """Sends a call, to the next replica where one surely did not run it.

        After anything else the call is not sent again.
        """
        services = self._services(call.workspace, call.operation)
        self._service_turn += 1
        turn = self._service_turn % max(1, len(services))
        failure = Failure(ErrorKind.NO_UPSTREAM, call.operation)
        for service in (*services[turn:], *services[:turn]):
            if not self._may_get_work(service):
                continue
            timeout_s = min(service.timeout_s, call.deadline - time.monotonic())
            if timeout_s <= 0:
                return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
            request = ServiceRequest(
                call.key, call.operation, call.payload, call.fencing, timeout_s
            )
            outcome = await self._clients.service(service).call(request)
            if isinstance(outcome, Success):
                return Success(outcome.unwrap().result)
            failure = outcome.failure()
            if failure.kind is not ErrorKind.NO_UPSTREAM:
                return Failed(failure)
        return Failed(failure)

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """See ``Executor.look_up``."""
        for service in self._services(call.workspace, call.operation):
            if not service.lookup:
                continue
            outcome = await self._clients.service(service).lookup(call.key)
            if isinstance(outcome, Failed):
                continue
            reply = outcome.unwrap()
            if reply is not None:
                return Success(reply.result)
        return Success(None)

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
        self, run: _Run, sink: TextSink
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
            self._tell_digest_homes(run, action)

    async def _admit_and_send(
        self, run: _Run, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        sink.waits("placement")
        started = time.monotonic()
        admission, placed = await asyncio.gather(
            self._ask_digest_home(run), self._place(run)
        )
        self._observe("placement", started)
        if admission is Admission.WAIT:
            admission = await self._wait_for_admission(run, sink)
            placed = await self._place(run)
        if admission is Admission.REFUSED:
            return Failed(Failure(ErrorKind.QUARANTINED))
        if admission is Admission.WAIT:
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
        run.exclusive = admission is Admission.RUN_EXCLUSIVE
        if isinstance(placed, Failed):
            return Failed(placed.failure())
        return await self._queue_and_send(run, placed.unwrap(), sink)

    async def _wait_for_admission(self, run: _Run, sink: TextSink) -> Admission:
        """Asks the content digest's home again until the call may run.

        A request that crashes replicas comes again under new ids and at any
        host; its digest's home knows it and lets it run at most twice.
        """
        while time.monotonic() < run.call.deadline:
            sink.waits("a run of the same content")
            await asyncio.sleep(_SUSPECT_WAIT_S)
            admission = await self._ask_digest_home(run)
            if admission is not Admission.WAIT:
                return admission
        return Admission.WAIT

    async def _ask_digest_home(self, run: _Run) -> Admission:
        for host in self._cluster.digest_homes(run.call.content_digest):
            run.asked_hosts.add(host)
            reply = await self._suspect(host, run, "admit")
            if isinstance(reply, Success) and not reply.unwrap().failure:
                return Admission(reply.unwrap().admission)
        # Neither home answers: run apart from others rather than not at all,
        # so that a crash still has one cause.
        return Admission.RUN_EXCLUSIVE

    def _tell_digest_homes(self, run: _Run, action: str) -> None:
        """Ends the run at every home that was asked, off the answer's path.

        A home that answered too late began the run as well; left open there,
        it would hold up the same content for as long as its lease.
        """
        for host in run.asked_hosts:
            request = self._suspect_request(run, action)
            self._spawn(self._tell_until_heard(host, request))

    async def _tell_until_heard(
        self, host: str, request: SuspectRequest
    ) -> None:
        """Tells a home that a run ended, also past a silent connection.

        Lost once, the news would leave the run open, and the same content,
        also of another program, would wait for it in vain.
        """
        for _ in range(_TELL_TRIES):
            calls = self._cluster.calls(host)
            outcome = await calls.suspect(request, _SUSPECT_TIMEOUT_S)
            if isinstance(outcome, Success):
                return
            await asyncio.sleep(_TELL_AGAIN_S)
        logs.write("run_end_not_heard", home=host)

    async def _suspect(
        self, host: str, run: _Run, action: str
    ) -> Result[SuspectReply, Failure]:
        request = self._suspect_request(run, action)
        calls = self._cluster.calls(host)
        return await calls.suspect(request, _SUSPECT_TIMEOUT_S)

    def _suspect_request(self, run: _Run, action: str) -> SuspectRequest:
        digests = (run.call.content_digest,)
        return SuspectRequest(action, digests, run.run_id, self._cluster.host)

    async def _queue_and_send(
        self, run: _Run, placement: Placement, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        engine = self._in_force.current.upstreams.by_name.get(placement.replica)
        if not isinstance(engine, RenderedEngine):
            return Failed(Failure(ErrorKind.NO_UPSTREAM, placement.replica))
        ticket = _ticket_request(run, placement, self._cluster.host)
        sink.waits(f"queue of {engine.name}")
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
        run: _Run,
        ticket: TicketRequest,
        engine: RenderedEngine,
        sink: TextSink,
    ) -> Result[ModelResult, Failure]:
        started = time.monotonic()
        release = TicketRelease(ticket.ticket_id, engine.name)
        request = GenerateRequest(
            request_id=ticket.ticket_id,
            program_id=run.call.program_id,
            branch_id=run.call.branch_id,
            prompt=run.call.prompt,
            max_tokens=run.call.max_tokens,
            deadline_s=max(0.0, run.call.deadline - started),
            fencing=0,
        )
        run.attempts += 1
        sink.restart()
        sink.placed(engine.name)

        first_token_at = 0.0

        def on_chunk(chunk: Chunk) -> None:
            nonlocal first_token_at
            first_token_at = first_token_at or time.monotonic()
            sink.append(chunk.text)

        client = self._clients.engine(engine)
        reply = run.reply_by_replica.get(engine.name, ProbeReply())
        try:
            await self._keeper.bring(run.call, client, reply.cached_tokens)
            outcome = await client.generate(request, on_chunk)
            service_ms = int((time.monotonic() - started) * 1000)
            self._observe("engine", started)
            if isinstance(outcome, Failed):
                failure = outcome.failure()
                if failure.kind is ErrorKind.NO_UPSTREAM:
                    run.attempts -= 1
                run.failed_replicas.add(engine.name)
                crashed = failure.kind is ErrorKind.UPSTREAM_FAILED
                release = dataclasses.replace(release, crashed=crashed)
                return Failed(failure)
            completion = outcome.unwrap()
            release = TicketRelease(
                ticket.ticket_id,
                engine.name,
                prompt_tokens=completion.prompt_tokens,
                cached_tokens=completion.cached_tokens,
                generated_tokens=completion.generated_tokens,
                service_ms=service_ms,
                first_token_ms=int(max(0, first_token_at - started) * 1000),
            )
            result = ModelResult(
                completion.text,
                engine.name,
                completion.prompt_tokens,
                completion.cached_tokens,
                completion.generated_tokens,
                service_ms,
            )
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
        self._spawn(self._desk.release(release))

    def _observe(self, stage: str, started: float) -> None:
        seconds = time.monotonic() - started
        self._metrics.observe("turn_stage_seconds", seconds, stage=stage)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _place(self, run: _Run) -> Result[Placement, Failure]:
        engines = self._usable_engines(run)
        if not engines:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, run.call.model))
        engine_by_name = {engine.name: engine for engine in engines}
        locations = [Location(e.name, e.failure_domain) for e in engines]
        names = choose_probes(run.call.program_id, locations)
        last = run.call.replica
        if last in engine_by_name and last not in names:
            names = [last, *names]
        replies = await asyncio.gather(
            *(self._probe(run, name) for name in names)
        )
        run.reply_by_replica.update(zip(names, replies, strict=True))
        importable = self._keeper.importable_tokens(run.call)
        fastest = max(reply.decode_tokens_per_s for reply in replies)
        candidates = [
            _candidate(engine_by_name[name], reply, fastest, importable)
            for name, reply in zip(names, replies, strict=True)
        ]
        request = PlacementRequest(
            run.call.program_id,
            run.prompt_tokens,
            run.call.max_tokens,
            last if last in engine_by_name else "",
        )
        placed = place(request, candidates, self._policy)
        if isinstance(placed, Failed):
            # Those probed are full or gone; the next try probes others.
            run.failed_replicas.update(names)
        return placed

    def _usable_engines(self, run: _Run) -> list[RenderedEngine]:
        config = self._in_force.current
        workspace = config.workspace_by_name.get(run.call.workspace)
        if workspace is None:
            return []
        engines = [
            engine
            for engine in engines_of(workspace, run.call.model, config)
            if self._may_get_work(engine)
        ]
        untried = [e for e in engines if e.name not in run.failed_replicas]
        return untried or engines

    def _may_get_work(self, upstream: RenderedEngine | RenderedService) -> bool:
        is_leaving = self._homes.is_listed_leaving(upstream.replica)
        return not upstream.draining and not is_leaving

    async def _probe(self, run: _Run, replica: str) -> ProbeReply:
        call = run.call
        request = ProbeRequest(
            replica,
            call.program_id,
            call.branch_id,
            run.prompt_tokens,
            call.priority,
            _prefix_note(call),
            call.max_tokens,
            call.workspace,
            call.attained_s,
        )
        home = self._cluster.home_of(replica)
        outcome = await self._cluster.calls(home).probe(
            request, _PROBE_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return ProbeReply(failure=outcome.failure())
        return outcome.unwrap()

    def _services(
        self, workspace_name: str, operation: str
    ) -> list[RenderedService]:
        config = self._in_force.current
        workspace = config.workspace_by_name.get(workspace_name)
        if workspace is None:
            return []
        services = config.upstreams.by_operation.get(operation, ())
        return [s for s in services if s.name in workspace.upstreams]


def _repeatable(failure: Failure) -> Failure:
    """Returns the failure of a call that may be sent again.

    "Outcome unknown" tells a caller that it must decide what to do; here the
    request can simply be sent again.
    """
    if failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
        return failure
    return Failure(ErrorKind.UPSTREAM_FAILED, failure.detail)


def _final(failure: Failure, run: _Run) -> Failure:
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
    if failure.answer.ran is Ran.NO:
        logs.write("refused_after_run", kind=failure.kind.value)
        return dataclasses.replace(failure, kind=ErrorKind.UPSTREAM_FAILED)
    return failure


def _candidate(
    engine: RenderedEngine, reply: ProbeReply, fastest: float, importable: int
) -> Candidate:
    """Returns a probed replica as placement sees it.

    A replica that has served nothing yet counts as fast as the fastest: with
    a guess of its own it would look slow and never be tried.
    """
    if reply.failure is not None or not reply.usable:
        return Candidate(engine.name, engine.failure_domain, usable=False)
    return Candidate(
        engine.name,
        engine.failure_domain,
        expected_wait_s=reply.expected_wait_ms / 1000,
        cached_tokens=max(
            reply.cached_tokens, _import_worth(engine, reply, importable)
        ),
        prefill_tokens_per_s=reply.prefill_tokens_per_s,
        decode_tokens_per_s=reply.decode_tokens_per_s or fastest or _GUESS,
        in_flight=reply.in_flight,
    )


def _import_worth(
    engine: RenderedEngine, reply: ProbeReply, importable: int
) -> int:
    """Returns what an import saves, in tokens that need not be computed."""
    if engine.transfer_tokens_per_s <= 0:
        return 0
    spent = reply.prefill_tokens_per_s / engine.transfer_tokens_per_s
    return int(importable * max(0.0, 1 - spent))


def _prefix_note(call: ModelCall) -> PrefixNote:
    return PrefixNote(
        branch_id=call.branch_id,
        template_digest=call.template_digest,
        template_tokens=count_tokens(call.prompt[0]),
        parent_id=call.parent_id,
        parent_tokens=call.parent_tokens,
    )


def _ticket_request(
    run: _Run, placement: Placement, origin: str
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
        prefix=_prefix_note(call),
    )
