"""Small facts about a disk that outlive the process."""

import os
import pathlib

# The disk is complete.
COMPLETE = "complete"
# All records of the disk are on other hosts, and it may be removed.
EMPTIED = "emptied"


class DiskMarkers:
    """Files that each hold the id of the disk that they are about.

    All methods block and may raise OSError.
    """

    def __init__(self, folder: pathlib.Path, disk_id: str) -> None:
        """Creates the markers of a disk.

        Args:
            folder: Existing folder on the disk.
            disk_id: Identifies the contents of the disk.
        """
        self._folder = folder
        self._disk_id = disk_id

    def has(self, name: str) -> bool:
        """Returns whether a marker is set."""
        try:
            return self._path(name).read_bytes() == self._disk_id.encode()
        except FileNotFoundError:
            return False

    def set(self, name: str) -> None:
        """Sets a marker; returns when it is durable."""
        temporary = self._path(f"{name}.new")
        with temporary.open("w") as file:
            file.write(self._disk_id)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path(name))
        self._sync_folder()

    def clear(self, name: str) -> None:
        """Removes a marker; returns when that is durable."""
        self._path(name).unlink(missing_ok=True)
        self._sync_folder()

    def _path(self, name: str) -> pathlib.Path:
        return self._folder / name

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
