"""What the operators' listener needs of the daemon."""

from typing import Protocol

from returns.result import Result

from masticdale_common import Failure, Metrics, StateDump
from masticdale_config import ConfigInForce, ConfigStore
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
    """The daemon as the operators' listener sees it.

    Expected errors come back as failures and are answered by the table.
    """

    @property
    def host(self) -> str:
        """Name of this host."""
        ...

    @property
    def config_store(self) -> ConfigStore | None:
        """Accepts changes; None where no platform is connected."""
        ...

    @property
    def in_force(self) -> ConfigInForce:
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
        """Returns every host this one knows, itself among them."""
        ...

    def readiness(self) -> Readiness:
        """Returns whether the balancer may send callers here."""
        ...

    async def list_programs(
        self, selection: ProgramFilter
    ) -> Result[ProgramPage, Failure]:
        """Lists programs of all hosts."""
        ...

    async def inspect_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Returns one program, asking its owner; NOT_FOUND without one."""
        ...

    async def stop_program(
        self, program_id: str
    ) -> Result[ProgramDetail, Failure]:
        """Ends a program; ending it again changes nothing."""
        ...

    async def quarantined(
        self,
    ) -> Result[tuple[QuarantinedRequest, ...], Failure]:
        """Lists the requests refused for crashing their replicas."""
        ...

    async def release_quarantined(self, digest: str) -> Result[None, Failure]:
        """Lets a quarantined request be tried again; NOT_FOUND without."""
        ...

    async def force_takeover(
        self, shard: int
    ) -> Result[TakeoverReport, Failure]:
        """Takes a shard over without its copy holders' consent."""
        ...

    async def drain_upstream(self, name: str) -> Result[DrainReport, Failure]:
        """Starts draining ahead of the revision that says so, and reports.

        Sent again, it reports how far the upstream is.
        """
        ...
