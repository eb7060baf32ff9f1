"""Settings and opening of the disk of a storage host."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable

from masticdale_common import MasticdaleError, logs
from masticdale_entry.settings import Settings
from masticdale_history import TurnStore, open_store
from masticdale_history.completeness import DiskOrigin
from masticdale_history.markers import COMPLETE, EMPTIED, DiskMarkers
from masticdale_rpc import Address

_FOLDER = "turns"
_BYTES_PER_MB = 1_000_000
# Pause after the store could not be opened.
_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HistorySettings:
    """Settings of a host that can keep histories.

    Attributes:
        host: Name of the host.
        failure_domain: Its failure domain.
        address: Address for calls of other hosts.
        folder: Folder on the disk.
        capacity_bytes: Size of the disk.
        tolerated_losses: Number of disks that may be lost at once.
        metrics_port: Port of metrics and state dump; None for neither.
    """

    host: str
    failure_domain: str
    address: Address
    folder: pathlib.Path
    capacity_bytes: int
    tolerated_losses: int
    metrics_port: int | None = None


def read_history_settings(settings: Settings) -> HistorySettings | None:
    """Returns the settings for histories; None if the host has no disk."""
    if settings.history is None or settings.data_dir is None:
        return None
    return HistorySettings(
        host=settings.host,
        failure_domain=settings.failure_domain,
        address=settings.history,
        folder=settings.data_dir,
        capacity_bytes=settings.disk_mb * _BYTES_PER_MB,
        tolerated_losses=settings.tolerated_losses,
        metrics_port=settings.metrics_port,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryDisk:
    """An opened disk.

    Attributes:
        turns: Its records.
        origin: How its contents came about.
        markers: Facts about it that outlive the process.
        was_emptied: Whether an earlier process has completed a retirement.
    """

    turns: TurnStore
    origin: DiskOrigin
    markers: DiskMarkers
    was_emptied: bool


async def open_history_disk(
    settings: HistorySettings, wall_ms: Callable[[], int]
) -> HistoryDisk:
    """Opens the disk in a thread; retries until that succeeds.

    Args:
        settings: Settings of the host.
        wall_ms: Returns wall-clock milliseconds.
    """
    while True:
        try:
            disk = await asyncio.to_thread(
                _open_disk_blocking, settings, wall_ms
            )
        except (MasticdaleError, OSError) as error:
            logs.write("history_disk_not_opened", reason=str(error))
            await asyncio.sleep(_RETRY_S)
            continue
        stats = disk.turns.stats()
        logs.write(
            "history_disk_opened",
            disk_id=disk.turns.disk_id,
            was_created=disk.turns.was_created,
            is_complete=disk.origin.is_known_complete,
            turns=stats.records,
            torn_bytes=stats.torn_bytes,
        )
        return disk


def _open_disk_blocking(
    settings: HistorySettings, wall_ms: Callable[[], int]
) -> HistoryDisk:
    turns = open_store(
        settings.folder / _FOLDER, settings.capacity_bytes, wall_ms
    )
    stats = turns.stats()
    markers = DiskMarkers(settings.folder, turns.disk_id)
    origin = DiskOrigin(
        disk_id=turns.disk_id,
        created_at_ms=turns.created_at_ms,
        is_known_complete=markers.has(COMPLETE),
        has_data=stats.size_bytes > 0 or stats.torn_bytes > 0,
    )
    return HistoryDisk(turns, origin, markers, markers.has(EMPTIED))
