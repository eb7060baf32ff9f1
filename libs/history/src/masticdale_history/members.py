"""The storage hosts that the platform's store lists."""

import enum
from collections.abc import Callable

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs, settings
from masticdale_history.placement import Member
from masticdale_platform import WatchBatch

MEMBER_PREFIX = "history-hosts/"
_MAX_PORT = 65535


class MemberState(enum.StrEnum):
    """State of a storage host in its object."""

    SERVING = "serving"
    EMPTYING = "emptying"


class MemberRecord(pydantic.BaseModel):
    """The JSON of a storage host's object in the store.

    Unknown fields are ignored, so that hosts of two versions can run side by
    side during a rolling restart.

    Attributes:
        address: IP address on which it serves histories.
        port: Port of the address.
        failure_domain: Its failure domain.
        disk_id: Identifies the contents of its disk.
        state: Whether it takes records.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    address: pydantic.IPvAnyAddress
    port: int = pydantic.Field(ge=1, le=_MAX_PORT)
    failure_domain: str
    disk_id: str = pydantic.Field(min_length=1)
    state: MemberState


def member_key(host: str) -> str:
    """Returns the key of a storage host's object in the store."""
    return f"{MEMBER_PREFIX}{host}"


def encode_member(member: Member) -> bytes:
    """Returns the value of a storage host's object in the store.

    Raises:
        pydantic.ValidationError: The member has no valid address, port or disk.
    """
    is_emptying = member.is_emptying
    record = MemberRecord.model_validate(
        {
            "address": member.address,
            "port": member.port,
            "failure_domain": member.failure_domain,
            "disk_id": member.disk_id,
            "state": (
                MemberState.EMPTYING if is_emptying else MemberState.SERVING
            ),
        }
    )
    return record.model_dump_json().encode()


def parse_member(host: str, value: bytes) -> Result[Member, Failure]:
    """Parses the value of a storage host's object.

    Args:
        host: Name of the host, from the key.
        value: The JSON.

    Returns:
        The member, or BAD_REQUEST if the value is invalid.
    """
    try:
        record = MemberRecord.model_validate_json(value)
    except pydantic.ValidationError as error:
        detail = settings.describe_errors(error, member_key(host))
        return Failed(Failure(ErrorKind.BAD_REQUEST, detail))
    return Success(
        Member(
            host,
            str(record.address),
            record.port,
            record.failure_domain,
            record.disk_id,
            record.state is MemberState.EMPTYING,
        )
    )


class MemberDirectory:
    """The known storage hosts, fed by a watch of ``MEMBER_PREFIX``.

    Attributes:
        is_loaded: Whether a full list has been read.
        on_change: Called without arguments after each change of the members.
    """

    def __init__(self) -> None:
        self.is_loaded = False
        self.on_change: list[Callable[[], None]] = []
        self._member_by_host: dict[str, Member] = {}

    def members(self) -> list[Member]:
        """Returns the known storage hosts, emptying ones included, by name."""
        return [m for _, m in sorted(self._member_by_host.items())]

    def apply(self, batch: WatchBatch, after_outage: bool) -> None:
        """Applies a batch of changes.

        Args:
            batch: The changes.
            after_outage: Whether the store was unavailable before. The objects
                have no lease, so one that is missing then was deleted.
        """
        del after_outage
        previous = self._member_by_host
        member_by_host = {} if batch.is_snapshot else dict(previous)
        for key in batch.deleted_keys:
            member_by_host.pop(key.removeprefix(MEMBER_PREFIX), None)
        for stored in batch.changed:
            host = stored.key.removeprefix(MEMBER_PREFIX)
            outcome = parse_member(host, stored.value)
            if isinstance(outcome, Failed):
                member_by_host.pop(host, None)
                logs.write_bounded(
                    "history_host_unreadable",
                    storage_host=host,
                    revision=stored.version,
                    reason=str(outcome.failure()),
                )
                continue
            member_by_host[host] = outcome.unwrap()
        self.is_loaded = self.is_loaded or batch.is_snapshot
        if member_by_host == previous:
            return
        self._member_by_host = member_by_host
        _log_changes(previous, member_by_host)
        for notify in self.on_change:
            notify()


def _log_changes(before: dict[str, Member], after: dict[str, Member]) -> None:
    for host in sorted(before.keys() | after.keys()):
        member = after.get(host)
        if before.get(host) == member:
            continue
        if member is None:
            logs.write_bounded("history_host_gone", storage_host=host)
            continue
        logs.write_bounded(
            "history_host_listed",
            storage_host=host,
            address=f"{member.address}:{member.port}",
            disk_id=member.disk_id,
            is_emptying=member.is_emptying,
        )
