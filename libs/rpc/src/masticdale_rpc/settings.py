"""Settings of the traffic between hosts."""

import ipaddress
import pathlib
from typing import NoReturn

import pydantic

from masticdale_common import ErrorKind, Failure, MasticdaleError, StrictModel

_MAX_PORT = 65535


class Address(StrictModel):
    """Where a host listens for its peers.

    Attributes:
        ip: An IP number.
        port: A TCP port.
    """

    ip: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=_MAX_PORT)

    @property
    def is_loopback(self) -> bool:
        """True where only this machine can reach it."""
        return ipaddress.ip_address(str(self.ip)).is_loopback

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class PeerSettings(StrictModel):
    """One host of the system.

    Attributes:
        name: Its name; with TLS, the name its certificate is issued for.
        address: Where it listens for its peers.
        domain: Its failure domain.
    """

    name: str = pydantic.Field(min_length=1)
    address: Address
    domain: str = pydantic.Field(min_length=1)


class TlsSettings(StrictModel):
    """PEM files for TLS with client certificates between hosts.

    Attributes:
        certificate: This host's certificate, issued for its name.
        key: The certificate's private key.
        authorities: Certificates that sign the peers' certificates.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authorities: pathlib.Path


def invalid(detail: str) -> NoReturn:
    """Raises INVALID_SETTINGS.

    Args:
        detail: What is wrong and a hint how to mend it.

    Raises:
        MasticdaleError: Always.
    """
    raise MasticdaleError(Failure(ErrorKind.INVALID_SETTINGS, detail))


def require_loopback(address: Address) -> None:
    """Refuses plaintext on an address that other machines can reach.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where it is not a loopback address.
    """
    if address.is_loopback:
        return
    invalid(
        f"{address}: plaintext between hosts is allowed on loopback addresses"
        " only. Hint: set tls with certificate, key and authorities."
    )
