"""The daemon's settings: one validated JSON file."""

import pathlib

import pydantic

from masticdale_common import StrictModel
from masticdale_peers import Address, PeerSettings, TlsSettings
from masticdaled.operators.access import TokenSettings


class StopSettings(StrictModel):
    """Timing of a graceful stop, in seconds.

    Attributes:
        unready_s: Time between being unready and refusing new connections,
            so that the balancer notices first.
        finish_s: Longest wait for what is in flight.
    """

    unready_s: float = pydantic.Field(default=2.0, ge=0)
    finish_s: float = pydantic.Field(default=120.0, gt=0)


class ProgramSettings(StrictModel):
    """Timeouts of programs, in seconds.

    Attributes:
        unread_cancel_s: A model turn that nobody reads is cancelled then.
        idle_end_s: A program without calls is ended as abandoned then.
        retention_s: An ended program can be read that long.
        commit_wait_s: Longest wait for an intent's commit before the call is
            refused as not run.
    """

    unread_cancel_s: float = pydantic.Field(default=15.0, gt=0)
    idle_end_s: float = pydantic.Field(default=3600.0, gt=0)
    retention_s: float = pydantic.Field(default=3600.0, gt=0)
    commit_wait_s: float = pydantic.Field(default=1.5, gt=0)


class RequestSettings(StrictModel):
    """Limits of callers' requests.

    Attributes:
        max_bytes: Largest request body.
        default_deadline_ms: Deadline of a request that names none.
        max_deadline_ms: Longest deadline a request may name.
    """

    max_bytes: int = pydantic.Field(default=262_144, ge=1024)
    default_deadline_ms: int = pydantic.Field(default=120_000, ge=1)
    max_deadline_ms: int = pydantic.Field(default=900_000, ge=1)


class DaemonSettings(StrictModel):
    """The settings of a daemon.

    Attributes:
        host: Name of this host.
        domain: Its failure domain.
        callers: Where callers are served.
        operators: Where operators are served.
        peer_listener: Where other hosts are served.
        peers: All hosts; this one may be among them.
        platform_url: Base URL of the platform's object API.
        platform_timeout_s: Longest wait for one of its answers.
        tls: Certificates between hosts; plaintext on loopback where absent.
        operator_tokens: Who may operate.
        data_folder: Folder on a disk, where the host has one.
        stop: How a planned stop goes.
        programs: Times of programs.
        requests: Bounds of callers' requests.
        memory_mb: Memory of the process in MB; callers and operators may make
            it hold a quarter. 32 MB in all without it.
        max_descriptors: Limit on descriptors of the process; that of the
            operating system without it.
    """

    host: str = pydantic.Field(min_length=1)
    domain: str = pydantic.Field(min_length=1)
    callers: Address
    operators: Address
    peer_listener: Address
    peers: tuple[PeerSettings, ...] = ()
    platform_url: str
    platform_timeout_s: float = pydantic.Field(default=2.0, gt=0)
    tls: TlsSettings | None = None
    operator_tokens: tuple[TokenSettings, ...] = ()
    data_folder: pathlib.Path | None = None
    stop: StopSettings = StopSettings()
    programs: ProgramSettings = ProgramSettings()
    requests: RequestSettings = RequestSettings()
    memory_mb: int | None = pydantic.Field(default=None, gt=0)
    max_descriptors: int | None = pydantic.Field(default=None, gt=0)

    @property
    def other_peers(self) -> tuple[PeerSettings, ...]:
        """The hosts of the cluster except this one."""
        return tuple(peer for peer in self.peers if peer.name != self.host)
