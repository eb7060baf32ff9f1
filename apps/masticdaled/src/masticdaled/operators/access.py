"""Authenticates operators by token and writes the audit log."""

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
    """The permissions of an operator; ``operate`` includes ``read``."""

    READ = "read"
    OPERATE = "operate"


class TokenSettings(StrictModel):
    """An operator's token in the daemon's settings.

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
    """An operator authenticated by a token.

    Attributes:
        name: Name of the token.
        role: Role that the token grants.
    """

    name: str
    role: Role

    def has_role(self, role: Role) -> bool:
        """Returns whether the operator's role includes the given role."""
        return self.role is Role.OPERATE or role is Role.READ


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """An accepted change or a rejected request.

    Attributes:
        operator: Name of the token; ``unknown`` if the request had no valid
            one.
        action: Method and path of the request.
        outcome: ``accepted``, or the error kind of the rejection.
        detail: The target and the result; never a token.
        client: Client address of the connection.
    """

    operator: str
    action: str
    outcome: str
    detail: str
    client: str


class Access:
    """The operators' tokens of a daemon."""

    def __init__(self, operator_by_digest: Mapping[str, Operator]) -> None:
        self._operator_by_digest = dict(operator_by_digest)

    def authenticate(self, authorization: str) -> Result[Operator, Failure]:
        """Returns the operator who sent a request.

        Args:
            authorization: The ``Authorization`` header, or an empty string.

        Returns:
            The operator, or UNAUTHENTICATED.
        """
        if not authorization.lower().startswith(_SCHEME):
            detail = "send the header 'Authorization: Bearer TOKEN'"
            return Failed(Failure(ErrorKind.UNAUTHENTICATED, detail))
        presented = token_digest(authorization[len(_SCHEME) :].strip())
        # Digests are compared, so that the timing reveals nothing about a
        # token.
        for digest, operator in self._operator_by_digest.items():
            if hmac.compare_digest(digest, presented):
                return Success(operator)
        detail = "the token is not in this host's settings"
        return Failed(Failure(ErrorKind.UNAUTHENTICATED, detail))


def create_access(tokens: Iterable[TokenSettings]) -> Access:
    """Creates the access control from the tokens of the settings.

    Raises:
        MasticdaleError: INVALID_SETTINGS, if two tokens have the same name or
            digest, since the audit log could not tell them apart.
    """
    operator_by_digest: dict[str, Operator] = {}
    names: set[str] = set()
    for token in tokens:
        if token.sha256 in operator_by_digest or token.name in names:
            detail = f"operator_tokens: {token.name!r}: duplicate name or token"
            raise MasticdaleError(Failure(ErrorKind.INVALID_SETTINGS, detail))
        operator_by_digest[token.sha256] = Operator(token.name, token.role)
        names.add(token.name)
    return Access(operator_by_digest)


def token_digest(token: str) -> str:
    """Returns the digest of a token, as the settings hold it.

    Tokens are long random strings, so an unsalted hash resists a search.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def write_audit_entry(entry: AuditEntry) -> None:
    """Writes an entry to the audit log."""
    logs.write(AUDIT, **dataclasses.asdict(entry))
