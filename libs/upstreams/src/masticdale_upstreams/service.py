"""A ``PlainService`` over HTTP; ``wire`` defines the messages."""

import dataclasses
import urllib.parse

import httpx
import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_upstreams import wire
from masticdale_upstreams.connections import (
    NOT_SENT_ERRORS,
    Connections,
    create_connections,
)
from masticdale_upstreams.types import Health, ServiceReply, ServiceRequest

_INVALID_CALL_STATUSES = frozenset(
    {httpx.codes.BAD_REQUEST, httpx.codes.UNPROCESSABLE_ENTITY}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Address and timeout of one replica.

    Attributes:
        base_url: Scheme, IP address and port.
        call_timeout_s: Longest wait for the response to a lookup or a health
            check.
    """

    base_url: str
    call_timeout_s: float = 5.0


class ServiceClient:
    """One replica of a plain service, over HTTP."""

    def __init__(
        self,
        options: ServiceOptions,
        connections: Connections,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._connections = connections
        self._metrics = metrics

    async def close(self) -> None:
        """Closes all connections."""
        await self._connections.close()

    async def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        """See ``PlainService.call``."""
        # The request is never retried here: the operation may not be safe to
        # execute twice, and once a byte is sent it may have been executed.
        try:
            response = await self._connections.send(
                "POST",
                f"/v1/operations/{_quote(request.operation)}",
                request.timeout_s,
                headers={
                    wire.IDEMPOTENCY_KEY_HEADER: request.key,
                    wire.FENCING_HEADER: str(request.fencing),
                },
                content=wire.OperationBody(
                    payload=request.payload
                ).model_dump_json(),
            )
        except NOT_SENT_ERRORS as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return Failed(Failure(ErrorKind.OUTCOME_UNKNOWN, repr(error)))
        if response.is_success:
            return self._parse_reply(response, request.key).lash(
                lambda failure: Failed(
                    Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
                )
            )
        return Failed(_refusal_failure(response))

    async def lookup(self, key: str) -> Result[ServiceReply | None, Failure]:
        """See ``PlainService.lookup``."""
        outcome = await self._get(f"/v1/operations/by-key/{_quote(key)}")
        if isinstance(outcome, Failed):
            return outcome
        response = outcome.unwrap()
        if response.status_code == httpx.codes.NOT_FOUND:
            return self._parse_unknown_key(response, key)
        if response.is_success:
            return self._parse_reply(response, key)
        return Failed(_status_failure(response))

    async def health(self) -> Result[Health, Failure]:
        """See ``PlainService.health``."""
        outcome = await self._get("/v1/health")
        if isinstance(outcome, Failed):
            return outcome
        response = outcome.unwrap()
        if not response.is_success:
            return Failed(_status_failure(response))
        try:
            body = wire.HealthBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed_failure(response))
        return Success(Health(body.incarnation, body.leaving))

    def _parse_reply(
        self, response: httpx.Response, key: str
    ) -> Result[ServiceReply, Failure]:
        try:
            body = wire.OutcomeBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed_failure(response))
        if body.key != key:
            return Failed(self._key_mismatch())
        return Success(ServiceReply(body.key, body.result))

    def _parse_unknown_key(
        self, response: httpx.Response, key: str
    ) -> Result[ServiceReply | None, Failure]:
        # A proxy that does not know the path also answers 404. Without the key
        # in the body, such a 404 would report an executed call as not run.
        try:
            body = wire.UnknownKeyBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed_failure(response))
        if body.key != key:
            return Failed(self._key_mismatch())
        return Success(None)

    def _key_mismatch(self) -> Failure:
        self._metrics.count("service_answers_crossed_total")
        return Failure(
            ErrorKind.UPSTREAM_FAILED, "the response is for another key"
        )

    async def _get(self, path: str) -> Result[httpx.Response, Failure]:
        try:
            return Success(
                await self._connections.send(
                    "GET", path, self._options.call_timeout_s
                )
            )
        except NOT_SENT_ERRORS as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, repr(error)))


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _refusal_failure(response: httpx.Response) -> Failure:
    detail = f"status {response.status_code}"
    not_run = response.headers.get(wire.NOT_RUN_HEADER) == wire.NOT_RUN_VALUE
    is_unavailable = response.status_code == httpx.codes.SERVICE_UNAVAILABLE
    if is_unavailable and not_run:
        return Failure(ErrorKind.NO_UPSTREAM, detail)
    if response.status_code in _INVALID_CALL_STATUSES:
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


def _status_failure(response: httpx.Response) -> Failure:
    detail = f"status {response.status_code}"
    return Failure(ErrorKind.UPSTREAM_FAILED, detail)


def _malformed_failure(response: httpx.Response) -> Failure:
    detail = f"malformed response with status {response.status_code}"
    return Failure(ErrorKind.UPSTREAM_FAILED, detail)


def create_service_client(
    options: ServiceOptions, metrics: Metrics
) -> ServiceClient:
    """Returns a client of one replica.

    Args:
        options: Its address and timeout.
        metrics: Counts responses for another key.
    """
    connections = create_connections(options.base_url, options.call_timeout_s)
    return ServiceClient(options, connections, metrics)
