"""Settings for connections between hosts."""

import ipaddress
import pathlib
from typing import NoReturn

import pydantic

from masticdale_common import ErrorKind, Failure, MasticdaleError, StrictModel

_MAX_PORT = 65535


class Address(StrictModel):
    """The address on which a host listens for its peers.

    Attributes:
        ip: IPv4 or IPv6 address.
        port: TCP port.
    """

    ip: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=_MAX_PORT)

    @property
    def is_loopback(self) -> bool:
        """Whether only this machine can reach the address."""
        return ipaddress.ip_address(str(self.ip)).is_loopback

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class PeerSettings(StrictModel):
    """A host of the cluster.

    Attributes:
        name: Host name; with TLS, the name in its certificate.
        address: Address on which it listens for its peers.
        domain: Failure domain of the host.
    """

    name: str = pydantic.Field(min_length=1)
    address: Address
    domain: str = pydantic.Field(min_length=1)


class TlsSettings(StrictModel):
    """PEM files for mutual TLS between hosts.

    Attributes:
        certificate: This host's certificate, issued for its name.
        key: Private key of the certificate.
        authorities: CA certificates that peers' certificates must chain to.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authorities: pathlib.Path


def raise_invalid_settings(detail: str) -> NoReturn:
    """Raises INVALID_SETTINGS.

    Args:
        detail: The error and a hint for fixing it.

    Raises:
        MasticdaleError: Always.
    """
    raise MasticdaleError(Failure(ErrorKind.INVALID_SETTINGS, detail))


def require_loopback(address: Address) -> None:
    """Rejects plaintext on an address that other machines can reach.

    Raises:
        MasticdaleError: INVALID_SETTINGS if the address is not loopback.
    """
    if address.is_loopback:
        return
    raise_invalid_settings(
        f"{address}: plaintext between hosts is allowed on loopback addresses"
        " only. Hint: set tls with certificate, key and authorities."
    )
