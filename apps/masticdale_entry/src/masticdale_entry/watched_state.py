"""The active configuration and the list of replicas, fed by watches."""

import asyncio
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import Failure, logs
from masticdale_platform import WatchBatch
from masticdale_routing.fleet import Fleet, Replica
from masticdale_routing.routes import Configuration

ReadConfiguration = Callable[[bytes], Result[Configuration, Failure]]
ReadReplica = Callable[[str, bytes], Result[Replica, Failure]]

# Time after the store's recovery for which a replica that is missing from its
# list is kept, so that the replica can renew an entry that lapsed in the
# outage.
_LAPSED_GRACE_S = 1.9


class ActiveConfiguration:
    """The newest configuration; never goes back to an older version."""

    def __init__(self, key: str, read: ReadConfiguration) -> None:
        self._key = key
        self._read = read
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration, or None before the first one."""
        return self._current

    def apply(self, batch: WatchBatch, after_outage: bool) -> None:
        """Applies a batch of changes."""
        del after_outage
        for stored in batch.changed:
            if stored.key == self._key:
                self._apply_value(stored.value, stored.version)

    def _apply_value(self, value: bytes, revision: int) -> None:
        outcome = self._read(value)
        if isinstance(outcome, Failed):
            logs.write(
                "configuration_unreadable",
                revision=revision,
                reason=str(outcome.failure()),
            )
            return
        new = outcome.unwrap()
        if self._current is not None and new.version <= self._current.version:
            return
        logs.write(
            "configuration_in_force",
            version=new.version,
            before=self._current.version if self._current else None,
            revision=revision,
        )
        self._current = new


class ReplicaList:
    """Applies the store's list of replicas to the fleet.

    Attributes:
        is_loaded: Whether a full list has been read.
    """

    def __init__(self, prefix: str, read: ReadReplica, fleet: Fleet) -> None:
        self.is_loaded = False
        self._prefix = prefix
        self._read = read
        self._fleet = fleet
        self._removal_timer_by_id: dict[str, asyncio.TimerHandle] = {}

    def apply(self, batch: WatchBatch, after_outage: bool) -> None:
        """Applies a batch of changes."""
        listed: set[str] = set()
        for stored in batch.changed:
            replica_id = stored.key.removeprefix(self._prefix)
            if self._put(replica_id, stored.value, stored.version):
                listed.add(replica_id)
        removed = {k.removeprefix(self._prefix) for k in batch.deleted_keys}
        if batch.is_snapshot:
            removed = {r.id for r in self._fleet.replicas()} - listed
            self.is_loaded = True
        for replica_id in removed:
            self._lapse(replica_id, after_outage)

    def _put(self, replica_id: str, value: bytes, revision: int) -> bool:
        outcome = self._read(replica_id, value)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "replica_unreadable",
                replica=replica_id,
                reason=str(outcome.failure()),
            )
            self._remove(replica_id)
            return False
        handle = self._removal_timer_by_id.pop(replica_id, None)
        if handle is not None:
            handle.cancel()
        replica = outcome.unwrap()
        state = self._fleet.put(replica, asyncio.get_running_loop().time())
        logs.write_bounded(
            "replica_listed",
            replica=replica_id,
            service=replica.service,
            state="draining" if replica.is_draining else "ready",
            draining=state.replica.is_draining,
            software_version=replica.software_version,
            revision=revision,
        )
        return True

    def _lapse(self, replica_id: str, after_outage: bool) -> None:
        if not after_outage:
            self._remove(replica_id)
            return
        if replica_id in self._removal_timer_by_id:
            return
        # Replicas can't renew their entries while the store is unavailable;
        # immediate removal would empty the fleet in every outage.
        logs.write_bounded(
            "replica_kept", replica=replica_id, kept_s=_LAPSED_GRACE_S
        )
        loop = asyncio.get_running_loop()
        self._removal_timer_by_id[replica_id] = loop.call_later(
            _LAPSED_GRACE_S, self._remove, replica_id
        )

    def _remove(self, replica_id: str) -> None:
        handle = self._removal_timer_by_id.pop(replica_id, None)
        if handle is not None:
            handle.cancel()
        self._fleet.remove(replica_id)
        logs.write_bounded("replica_gone", replica=replica_id)
