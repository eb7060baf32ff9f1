"""A fake service that records every execution."""

import asyncio
import collections
import dataclasses
from typing import Annotated, Any

import litestar
import pydantic
from litestar.di import Provide
from litestar.params import Parameter

from masticdale_common import StrictModel
from masticdale_standins.http import AsgiResponse, abort_response, never_respond
from masticdale_standins.settings import ServiceSettings
from masticdale_upstreams import wire
from masticdale_upstreams.testing import expected_result

_WRONG_KEY = "crossed"
_Key = Annotated[
    str, Parameter(header=wire.IDEMPOTENCY_KEY_HEADER, min_length=1)
]
_Fencing = Annotated[int, Parameter(header=wire.FENCING_HEADER, ge=0)]


class ServiceFaults(StrictModel):
    """Faults of the service; each POST replaces all of them.

    Attributes:
        delay_ms: Additional delay before each operation runs.
        lose_answers: Number of operations that run and then lose their
            connection.
        hang: Operations run and are never answered.
        refuse_before_running: Number of operations that get 503 and don't run.
        cross_answers: Number of operations that run and return another key.
        leaving: Whether health reports that the service is leaving.
    """

    delay_ms: int = pydantic.Field(default=0, ge=0)
    lose_answers: int = pydantic.Field(default=0, ge=0)
    hang: bool = False
    refuse_before_running: int = pydantic.Field(default=0, ge=0)
    cross_answers: int = pydantic.Field(default=0, ge=0)
    leaving: bool = False


class Execution(pydantic.BaseModel):
    """Number of executions of an operation under one key.

    Attributes:
        key: The idempotency key.
        operation: The operation.
        count: Number of executions.
    """

    key: str
    operation: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyedOperation:
    key: str
    operation: str


class Service:
    """State of the fake service."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.delay_ms = 0
        self.hangs = False
        self.leaving = False
        self.result_by_key: dict[str, str] = {}
        self._responses_to_lose = 0
        self._remaining_refusals = 0
        self._responses_to_mismatch = 0
        self._count_by_operation: collections.Counter[_KeyedOperation] = (
            collections.Counter()
        )

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replaces all faults."""
        self.delay_ms = faults.delay_ms
        self.hangs = faults.hang
        self.leaving = faults.leaving
        self._responses_to_lose = faults.lose_answers
        self._remaining_refusals = faults.refuse_before_running
        self._responses_to_mismatch = faults.cross_answers

    def execute(self, key: str, operation: str, payload: str) -> str:
        """Executes an operation and records the execution.

        With ``deduplicates`` a known key returns the recorded result.
        """
        if self.settings.deduplicates and key in self.result_by_key:
            return self.result_by_key[key]
        self._count_by_operation[_KeyedOperation(key, operation)] += 1
        self.result_by_key[key] = expected_result(operation, payload)
        return self.result_by_key[key]

    def executions(self) -> list[Execution]:
        """Returns the number of executions by key and operation."""
        return [
            Execution(
                key=executed.key, operation=executed.operation, count=count
            )
            for executed, count in self._count_by_operation.items()
        ]

    def consume_refusal(self) -> bool:
        """Returns whether to refuse this call, and counts it."""
        self._remaining_refusals -= 1
        return self._remaining_refusals >= 0

    def consume_loss(self) -> bool:
        """Returns whether to lose this response, and counts it."""
        self._responses_to_lose -= 1
        return self._responses_to_lose >= 0

    def consume_mismatch(self) -> bool:
        """Returns whether to return a wrong key, and counts the response."""
        self._responses_to_mismatch -= 1
        return self._responses_to_mismatch >= 0


Reply = litestar.Response[Any]


@litestar.post("/v1/operations/{operation:str}", status_code=200)
async def run_operation(
    service: Service,
    operation: str,
    data: wire.OperationBody,
    idempotency_key: _Key,
    fencing: _Fencing,
) -> Reply:
    """Executes an operation."""
    del fencing
    if service.consume_refusal():
        return Reply(
            None,
            status_code=503,
            headers={wire.NOT_RUN_HEADER: wire.NOT_RUN_VALUE},
        )
    duration_ms = service.settings.duration_ms + service.delay_ms
    await asyncio.sleep(duration_ms / 1000)
    result = service.execute(idempotency_key, operation, data.payload)
    if service.hangs:
        return AsgiResponse(never_respond)
    if service.consume_loss():
        return AsgiResponse(abort_response)
    key = _WRONG_KEY if service.consume_mismatch() else idempotency_key
    return Reply(wire.OutcomeBody(key=key, result=result))


@litestar.get("/v1/operations/by-key/{key:path}")
async def look_up(service: Service, key: str) -> Reply:
    """Returns the result recorded under a key."""
    # Litestar's path parameters start with a slash.
    plain_key = key.removeprefix("/")
    result = service.result_by_key.get(plain_key)
    if result is None:
        return Reply(wire.UnknownKeyBody(key=plain_key), status_code=404)
    return Reply(wire.OutcomeBody(key=plain_key, result=result))


@litestar.get("/v1/health")
async def health(service: Service) -> wire.HealthBody:
    """Reports whether the service is leaving."""
    return wire.HealthBody(
        incarnation=service.settings.name, leaving=service.leaving
    )


@litestar.post("/admin/faults", status_code=204)
async def set_faults(service: Service, data: ServiceFaults) -> None:
    """Replaces all faults."""
    service.set_faults(data)


@litestar.get("/admin/executions")
async def executions(service: Service) -> list[Execution]:
    """Returns the number of executions by key and operation."""
    return service.executions()


def create_app(settings: ServiceSettings) -> litestar.Litestar:
    """Creates the ASGI app of the fake service."""
    service = Service(settings)

    async def provide() -> Service:
        await asyncio.sleep(0)
        return service

    return litestar.Litestar(
        [run_operation, look_up, health, set_faults, executions],
        dependencies={"service": Provide(provide)},
        logging_config=None,
        openapi_config=None,
    )
