"""The daemon's settings: one validated JSON file."""

import pathlib

import pydantic

from masticdale_common import StrictModel
from masticdale_peers import Address, PeerSettings, TlsSettings
from masticdaled.operators.access import TokenSettings


class StopSettings(StrictModel):
    """Timing of a graceful stop, in seconds.

    Attributes:
        unready_s: Time between reporting unready and refusing connections, in
            which the load balancer stops sending callers.
        finish_s: Maximum wait for requests in flight.
    """

    unready_s: float = pydantic.Field(default=2.0, ge=0)
    finish_s: float = pydantic.Field(default=120.0, gt=0)


class ProgramSettings(StrictModel):
    """Timeouts of programs, in seconds.

    Attributes:
        unread_cancel_s: Time after which a model turn without a reader is
            cancelled.
        idle_end_s: Time after which a program without calls is ended as
            abandoned.
        retention_s: Time for which an ended program can be read.
        commit_wait_s: Maximum wait for an intent's commit before the call is
            rejected as not run.
    """

    unread_cancel_s: float = pydantic.Field(default=15.0, gt=0)
    idle_end_s: float = pydantic.Field(default=3600.0, gt=0)
    retention_s: float = pydantic.Field(default=3600.0, gt=0)
    commit_wait_s: float = pydantic.Field(default=1.5, gt=0)


class RequestSettings(StrictModel):
    """Limits of callers' requests.

    Attributes:
        max_bytes: Maximum size of a request body.
        default_deadline_ms: Deadline of a request that sets none.
        max_deadline_ms: Maximum deadline that a request may set.
    """

    max_bytes: int = pydantic.Field(default=262_144, ge=1024)
    default_deadline_ms: int = pydantic.Field(default=120_000, ge=1)
    max_deadline_ms: int = pydantic.Field(default=900_000, ge=1)


class DaemonSettings(StrictModel):
    """The settings of a daemon.

    Attributes:
        host: Name of this host.
        domain: Failure domain of this host.
        callers: Listening address for callers.
        operators: Listening address for operators.
        peer_listener: Listening address for the other hosts.
        peers: The hosts of the cluster; may include this one.
        platform_url: Base URL of the platform's object API.
        platform_timeout_s: Timeout of a request to the platform, in seconds.
        tls: Certificates for connections between hosts; if absent, these are
            plaintext on loopback.
        operator_tokens: Tokens of the operators.
        data_folder: Folder on a local disk, if the host has one.
        stop: Timing of a graceful stop.
        programs: Timeouts of programs.
        requests: Limits of callers' requests.
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

    @property
    def other_peers(self) -> tuple[PeerSettings, ...]:
        """The hosts of the cluster except this one."""
        return tuple(peer for peer in self.peers if peer.name != self.host)
