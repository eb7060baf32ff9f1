"""Calls to services, with retries of repeatable operations."""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_config import RenderedService
from masticdale_programs import ServiceCall
from masticdale_routing import (
    FailedAttempt,
    GiveUp,
    RetryBudget,
    RetrySettings,
    decide_retry,
)
from masticdale_upstreams import ServiceRequest
from masticdaled.directory import UpstreamDirectory
from masticdaled.upstream_clients import UpstreamClients


class ServiceCaller:
    """Sends service calls round-robin over the services of an operation."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        clients: UpstreamClients,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._retry_budget_by_operation: dict[str, RetryBudget] = {}
        self._directory = directory
        self._clients = clients
        self._rotation = 0

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``; False for an unknown operation."""
        services = self._directory.services(workspace, operation)
        if not services:
            return False
        return all(s.repeatable_by_operation[operation] for s in services)

    async def call(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``.

        A call whose answer was lost is retried only if its operation is
        repeatable.
        """
        if not self.is_repeatable(call.workspace, call.operation):
            return await self._call_once(call)
        budget = self._retry_budget_by_operation.setdefault(
            call.operation, RetryBudget(RetrySettings())
        )
        budget.record_first_attempt()
        attempts = 0
        while True:
            attempts += 1
            outcome = await self._call_once(call)
            if isinstance(outcome, Success):
                return outcome
            failure = _as_retryable(outcome.failure())
            attempt = FailedAttempt(failure, attempts, call.deadline)
            decision = decide_retry(attempt, budget, time.monotonic())
            if isinstance(decision, GiveUp):
                return Failed(decision.failure)
            self._metrics.count("retries_total", operation=call.operation)
            await asyncio.sleep(decision.delay_s)

    async def _call_once(self, call: ServiceCall) -> Result[str, Failure]:
        """Sends a call, failing over only where it certainly did not run.

        Only NO_UPSTREAM says so; any other failure is returned.
        """
        failure = Failure(ErrorKind.NO_UPSTREAM, call.operation)
        for service in self._round_robin(call):
            outcome = await self._send(call, service)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            if failure.kind is not ErrorKind.NO_UPSTREAM:
                return Failed(failure)
        return Failed(failure)

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """See ``Executor.look_up``."""
        services = self._directory.services(call.workspace, call.operation)
        for service in services:
            if not service.lookup:
                continue
            outcome = await self._clients.service(service).lookup(call.key)
            if isinstance(outcome, Failed):
                continue
            reply = outcome.unwrap()
            if reply is not None:
                return Success(reply.result)
        return Success(None)

    async def _send(
        self, call: ServiceCall, service: RenderedService
    ) -> Result[str, Failure]:
        timeout_s = min(service.timeout_s, call.deadline - time.monotonic())
        if timeout_s <= 0:
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
        request = ServiceRequest(
            call.key, call.operation, call.payload, call.fencing, timeout_s
        )
        outcome = await self._clients.service(service).call(request)
        return outcome.map(lambda reply: reply.result)

    def _round_robin(self, call: ServiceCall) -> list[RenderedService]:
        services = [
            service
            for service in self._directory.services(
                call.workspace, call.operation
            )
            if self._directory.accepts_work(service)
        ]
        self._rotation += 1
        first = self._rotation % max(1, len(services))
        return [*services[first:], *services[:first]]


def _as_retryable(failure: Failure) -> Failure:
    """Maps OUTCOME_UNKNOWN to UPSTREAM_FAILED for a repeatable call.

    OUTCOME_UNKNOWN leaves the decision to the caller, whereas a repeatable call
    can be retried here.
    """
    if failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
        return failure
    return Failure(ErrorKind.UPSTREAM_FAILED, failure.detail)
