"""The stand-in of a plain service, which records every execution."""

import asyncio
import collections
import dataclasses
from typing import Annotated, Any

import litestar
import pydantic
from litestar.di import Provide
from litestar.params import Parameter

from masticdale_common import StrictModel
from masticdale_standins.http import AppResponse, cut_answer, hang
from masticdale_standins.settings import ServiceSettings
from masticdale_upstreams import wire
from masticdale_upstreams.testing import expected_result

_CROSSED_KEY = "crossed"
_Key = Annotated[
    str, Parameter(header=wire.IDEMPOTENCY_KEY_HEADER, min_length=1)
]
_Fencing = Annotated[int, Parameter(header=wire.FENCING_HEADER, ge=0)]


class ServiceFaults(StrictModel):
    """What goes wrong; each POST replaces all of it.

    Attributes:
        delay_ms: Each operation takes this much longer before it runs.
        lose_answers: This many operations run, and their connection breaks.
        hang: Operations run and never answer.
        refuse_before_running: This many operations answer 503 and don't run.
        cross_answers: This many operations run and answer another's key.
        leaving: Health says that the service leaves.
    """

    delay_ms: int = pydantic.Field(default=0, ge=0)
    lose_answers: int = pydantic.Field(default=0, ge=0)
    hang: bool = False
    refuse_before_running: int = pydantic.Field(default=0, ge=0)
    cross_answers: int = pydantic.Field(default=0, ge=0)
    leaving: bool = False


class Execution(pydantic.BaseModel):
    """How often one key was executed.

    Attributes:
        key: The idempotency key.
        operation: The operation.
        count: Executions under that key.
    """

    key: str
    operation: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyedOperation:
    key: str
    operation: str


class Service:
    """The state of the stand-in."""

    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.delay_ms = 0
        self.hangs = False
        self.leaving = False
        self.result_by_key: dict[str, str] = {}
        self._answers_to_lose = 0
        self._refusals = 0
        self._answers_to_cross = 0
        self._count_by_operation: collections.Counter[_KeyedOperation] = (
            collections.Counter()
        )

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replaces all faults."""
        self.delay_ms = faults.delay_ms
        self.hangs = faults.hang
        self.leaving = faults.leaving
        self._answers_to_lose = faults.lose_answers
        self._refusals = faults.refuse_before_running
        self._answers_to_cross = faults.cross_answers

    def execute(self, key: str, operation: str, payload: str) -> str:
        """Runs an operation and records that it ran."""
        if self.settings.deduplicates and key in self.result_by_key:
            return self.result_by_key[key]
        self._count_by_operation[_KeyedOperation(key, operation)] += 1
        self.result_by_key[key] = expected_result(operation, payload)
        return self.result_by_key[key]

    def executions(self) -> list[Execution]:
        """Returns every execution by key and operation."""
        return [
            Execution(key=did.key, operation=did.operation, count=count)
            for did, count in self._count_by_operation.items()
        ]

    def takes_refusal(self) -> bool:
        """Returns whether this call is one to refuse."""
        self._refusals -= 1
        return self._refusals >= 0

    def takes_loss(self) -> bool:
        """Returns whether this call's answer is one to lose."""
        self._answers_to_lose -= 1
        return self._answers_to_lose >= 0

    def takes_crossing(self) -> bool:
        """Returns whether this call's answer is one to cross."""
        self._answers_to_cross -= 1
        return self._answers_to_cross >= 0


Reply = litestar.Response[Any]


@litestar.post("/v1/operations/{operation:str}", status_code=200)
async def run_operation(
    service: Service,
    operation: str,
    data: wire.OperationBody,
    idempotency_key: _Key,
    fencing: _Fencing,
) -> Reply:
    """Runs one operation."""
    del fencing
    if service.takes_refusal():
        return Reply(
            None,
            status_code=503,
            headers={wire.NOT_RUN_HEADER: wire.NOT_RUN_VALUE},
        )
    duration_ms = service.settings.duration_ms + service.delay_ms
    await asyncio.sleep(duration_ms / 1000)
    result = service.execute(idempotency_key, operation, data.payload)
    if service.hangs:
        return AppResponse(hang)
    if service.takes_loss():
        return AppResponse(cut_answer)
    key = _CROSSED_KEY if service.takes_crossing() else idempotency_key
    return Reply(wire.OutcomeBody(key=key, result=result))


@litestar.get("/v1/operations/by-key/{key:path}")
async def look_up(service: Service, key: str) -> Reply:
    """Answers what was done under a key."""
    # Litestar's path parameters keep the slash before them.
    plain_key = key.removeprefix("/")
    result = service.result_by_key.get(plain_key)
    if result is None:
        return Reply(wire.UnknownKeyBody(key=plain_key), status_code=404)
    return Reply(wire.OutcomeBody(key=plain_key, result=result))


@litestar.get("/v1/health")
async def health(service: Service) -> wire.HealthBody:
    """Answers whether the service leaves."""
    return wire.HealthBody(
        incarnation=service.settings.name, leaving=service.leaving
    )


@litestar.post("/admin/faults", status_code=204)
async def set_faults(service: Service, data: ServiceFaults) -> None:
    """Replaces all faults."""
    service.set_faults(data)


@litestar.get("/admin/executions")
async def executions(service: Service) -> list[Execution]:
    """Answers every execution by key and operation."""
    return service.executions()


def create_app(settings: ServiceSettings) -> litestar.Litestar:
    """Returns the stand-in as an ASGI app."""
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
