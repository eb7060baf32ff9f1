"""Calls of plain services: sent once, or again where that is harmless."""

import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import RenderedService
from masticdale_programs import ServiceCall
from masticdale_upstreams import ServiceRequest
from masticdaled.directory import UpstreamDirectory
from masticdaled.upstream_clients import UpstreamClients


class ServiceCaller:
    """Sends calls to the services in turn."""

    def __init__(
        self, directory: UpstreamDirectory, clients: UpstreamClients
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._turn = 0

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``; an unknown operation is not."""
        services = self._directory.services(workspace, operation)
        if not services:
            return False
        return all(s.repeatable_by_operation[operation] for s in services)

    async def call(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``.

        A replica that surely did not run the call is followed by the next
        one. After anything else only a repeatable call is sent again.
        """
        can_repeat = self.is_repeatable(call.workspace, call.operation)
        may_have_run = False
        failure = Failure(ErrorKind.NO_UPSTREAM, call.operation)
        for service in self._in_turn(call):
            outcome = await self._send(call, service)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            if failure.kind is ErrorKind.NO_UPSTREAM:
                continue
            if failure.kind is not ErrorKind.OUTCOME_UNKNOWN:
                return Failed(failure)
            if not can_repeat:
                return Failed(failure)
            may_have_run = True
        if may_have_run:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, failure.detail))
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

    def _in_turn(self, call: ServiceCall) -> list[RenderedService]:
        services = [
            service
            for service in self._directory.services(
                call.workspace, call.operation
            )
            if self._directory.may_get_work(service)
        ]
        self._turn += 1
        first = self._turn % max(1, len(services))
        return [*services[first:], *services[:first]]
