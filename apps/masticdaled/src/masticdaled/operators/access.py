"""Who may use the operators' listener, and the audit log of what they did."""

import dataclasses
import enum
import hashlib
import hmac
from collections.abc import Iterable, Mapping
from typing import Annotated

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ErrorKind,
    Failure,
    MasticdaleError,
    StrictModel,
    logs,
)

AUDIT = "audit"
UNKNOWN_OPERATOR = "unknown"
_SCHEME = "bearer "


class Role(enum.StrEnum):
    """What an operator may do; ``operate`` includes ``read``."""

    READ = "read"
    OPERATE = "operate"


class TokenSettings(StrictModel):
    """One operator's token in the daemon's settings.

    Attributes:
        name: Stands in the audit log in place of the token.
        role: What the token allows.
        sha256: Digest of the token, as ``token_digest`` returns it.
    """

    name: Annotated[str, pydantic.StringConstraints(pattern=r"^[\w.@-]{1,64}$")]
    role: Role
    sha256: Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator who showed a known token.

    Attributes:
        name: Name of the token.
        role: What the token allows.
    """

    name: str
    role: Role

    def has_role(self, role: Role) -> bool:
        """Returns whether the operator may do what a role allows."""
        return self.role is Role.OPERATE or role is Role.READ


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change or refused attempt.

    Attributes:
        operator: Name of the token; ``unknown`` without a known one.
        action: Method and path of the request.
        outcome: ``accepted``, or the error kind of the refusal.
        detail: The target and what came of it; never a token.
        client: Address of the operator's connection.
    """

    operator: str
    action: str
    outcome: str
    detail: str
    client: str


class Access:
    """The tokens known to a daemon."""

    def __init__(self, operator_by_digest: Mapping[str, Operator]) -> None:
        self._operator_by_digest = dict(operator_by_digest)

    def identify(self, authorization: str) -> Result[Operator, Failure]:
        """Finds the operator who sent a request.

        Args:
            authorization: The ``Authorization`` header, or empty.

        Returns:
            The operator, or UNAUTHENTICATED.
        """
        if not authorization.lower().startswith(_SCHEME):
            detail = "send the header 'Authorization: Bearer TOKEN'"
            return Failed(Failure(ErrorKind.UNAUTHENTICATED, detail))
        presented = token_digest(authorization[len(_SCHEME) :].strip())
        # The digest is compared, not the token, so the time this takes tells
        # nothing that helps to guess one.
        for digest, operator in self._operator_by_digest.items():
            if hmac.compare_digest(digest, presented):
                return Success(operator)
        detail = "the token is not among this host's settings"
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, detail))


def create_access(tokens: Iterable[TokenSettings]) -> Access:
    """Returns the access that settings grant.

    Args:
        tokens: The tokens of the settings.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where two have the same name or
            digest: the audit log could not tell who did something.
    """
    operator_by_digest: dict[str, Operator] = {}
    names: set[str] = set()
    for token in tokens:
        if token.sha256 in operator_by_digest or token.name in names:
            detail = f"operator_tokens: {token.name!r} stands twice"
            raise MasticdaleError(Failure(ErrorKind.INVALID_SETTINGS, detail))
        operator_by_digest[token.sha256] = Operator(token.name, token.role)
        names.add(token.name)
    return Access(operator_by_digest)


def token_digest(token: str) -> str:
    """Returns the digest under which a token stands in the settings.

    Tokens are long random strings, so a plain hash cannot be searched.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def write_audit_entry(entry: AuditEntry) -> None:
    """Writes one line of the audit log."""
    logs.write(AUDIT, **dataclasses.asdict(entry))
