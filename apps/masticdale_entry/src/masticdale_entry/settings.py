"""Settings of an entry or storage process; see docs/CONFIGURATION.md."""

import enum
import pathlib
from typing import Annotated

import pydantic

from masticdale_common import StrictModel
from masticdale_rpc import Address
from masticdale_workspaces import UsageTolerance


class Role(enum.StrEnum):
    """The role of a process."""

    ENTRY = "entry"
    STORAGE = "storage"


def _parse_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    ip, _, port = value.rpartition(":")
    return {"ip": ip, "port": port}


HostPort = Annotated[Address, pydantic.BeforeValidator(_parse_address)]


class Settings(StrictModel):
    """Settings of a process.

    Attributes:
        host: Name of the host.
        role: Role of the process.
        failure_domain: Failure domain of the host.
        store: Address of the platform's store, as IP:PORT.
        grace_s: Seconds from SIGTERM until the platform kills the process.
        callers: Listening address for callers; entry hosts only.
        readiness: Listening address for readiness probes of the balancer;
            entry hosts only.
        peers: Listening address for other hosts; entry hosts only.
        peers_advertised: Address at which other hosts reach ``peers``, if
            different, as behind address translation or a proxy.
        metrics_port: Port of metrics and state dump on the address of
            ``callers``.
        seeds: Peer addresses of other hosts; may be stale.
        history: Listening address for histories of turns; storage hosts only.
        data_dir: Folder on the host's disk; None for a host without one.
        disk_mb: Size of the disk in MB.
        first_start: Accepted and not used: the list of storage hosts shows
            which of them are new.
        tolerated_losses: Number of storage hosts that may be lost at once
            without losing a turn.
        memory_mb: Memory of the process in MB; callers may make it hold a
            quarter. 32 MB in all without it.
        max_descriptors: Limit on descriptors of the process; that of the
            operating system without it.
        usage_window_s: Length of the window in which requests beyond a usage
            cap are tolerated; None for no tolerance.
        usage_excess_share: Tolerated excess as a share of what a cap allows in
            the window.
        usage_excess_requests: Tolerated excess in requests, besides the share.
    """

    host: str = pydantic.Field(min_length=1)
    role: Role
    failure_domain: str = pydantic.Field(min_length=1)
    store: HostPort
    grace_s: float = pydantic.Field(gt=0)
    callers: HostPort | None = None
    readiness: HostPort | None = None
    peers: HostPort | None = None
    peers_advertised: HostPort | None = None
    metrics_port: int | None = pydantic.Field(default=None, ge=1, le=65_535)
    seeds: tuple[HostPort, ...] = ()
    history: HostPort | None = None
    data_dir: pathlib.Path | None = None
    disk_mb: int = pydantic.Field(default=0, ge=0)
    first_start: bool = False
    tolerated_losses: int = pydantic.Field(default=0, ge=0)
    memory_mb: int | None = pydantic.Field(default=None, gt=0)
    max_descriptors: int | None = pydantic.Field(default=None, gt=0)
    usage_window_s: float | None = pydantic.Field(default=None, gt=0)
    usage_excess_share: float | None = pydantic.Field(default=None, ge=0)
    usage_excess_requests: float | None = pydantic.Field(default=None, ge=0)

    @property
    def effective_peers_address(self) -> Address | None:
        """The address for other hosts; None for a role without peers."""
        return self.peers_advertised or self.peers

    @property
    def usage_tolerance(self) -> UsageTolerance:
        """The excess over usage caps that the operator tolerates."""
        if self.usage_window_s is None:
            return UsageTolerance()
        return UsageTolerance(
            self.usage_window_s,
            self.usage_excess_share or 0.0,
            self.usage_excess_requests or 0.0,
        )

    @pydantic.model_validator(mode="before")
    @classmethod
    def _drop_nulls(cls, value: object) -> object:
        # The template writes null for what a deployment does not state.
        if not isinstance(value, dict):
            return value
        return {name: v for name, v in value.items() if v is not None}

    @pydantic.model_validator(mode="after")
    def _check_addresses(self) -> "Settings":
        is_entry = self.role is Role.ENTRY
        addresses = (self.callers, self.readiness, self.peers)
        if is_entry and None in addresses:
            raise ValueError("an entry host needs callers, readiness and peers")
        return self
