"""The interface between the operators' listener and the daemon."""

from typing import Protocol

from returns.result import Result

from masticdale_common import Failure, Metrics, StateDump
from masticdale_config import ActiveConfig, ConfigStore
from masticdale_config.messages import (
    DrainReport,
    HostStatus,
    ProgramDetail,
    ProgramFilter,
    ProgramPage,
    QuarantinedRequest,
    Readiness,
    TakeoverReport,
)

__all__ = [
    "DrainReport",
    "HostStatus",
    "OperatorContext",
    "ProgramDetail",
    "ProgramFilter",
    "ProgramPage",
    "QuarantinedRequest",
    "Readiness",
    "TakeoverReport",
]


class OperatorContext(Protocol):
    """The daemon's data and actions that the operators' listener uses.

    Expected errors are returned as failures, which the listener converts to
    HTTP responses.
    """

    @property
    def host(self) -> str:
        """Name of this host."""
        ...

    @property
    def config_store(self) -> ConfigStore | None:
        """Accepts changes; None if no platform is connected."""
        ...

    @property
    def in_force(self) -> ActiveConfig:
        """The configuration in force on this host."""
        ...

    @property
    def metrics(self) -> Metrics:
        """The process's metrics."""
        ...

    @property
    def state_dump(self) -> StateDump:
        """The process's state dump."""
        ...

    def hosts(self) -> tuple[HostStatus, ...]:
        """Returns all known hosts, including this one."""
        ...

    def readiness(self) -> Readiness:
        """Returns whether the load balancer may send callers here."""
        ...

    async def list_programs(
        self, selection: ProgramFilter
    ) -> Result[ProgramPage, Failure]:
        """Lists the programs of all hosts."""
        ...

    async def inspect_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Asks a program's owner for its details; NOT_FOUND if unknown."""
        ...

    async def stop_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Ends a program; idempotent."""
        ...

    async def quarantined(
        self,
    ) -> Result[tuple[QuarantinedRequest, ...], Failure]:
        """Lists the requests quarantined for crashing replicas."""
        ...

    async def release_quarantined(self, digest: str) -> Result[None, Failure]:
        """Releases a request from quarantine; NOT_FOUND if not in it."""
        ...

    async def force_takeover(
        self, shard: int
    ) -> Result[TakeoverReport, Failure]:
        """Takes over a shard without the consent of its copy holders."""
        ...

    async def drain_upstream(self, name: str) -> Result[DrainReport, Failure]:
        """Reports if an upstream is declared draining and what it holds."""
        ...
