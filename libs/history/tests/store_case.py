"""A disk that loses power, and records for the tests of the store."""

import os
import pathlib
import random
import shutil
import tempfile
import unittest
from unittest import mock

from returns.result import Failure as Failed

from masticdale_history import TurnRecord, open_store

RETENTION_MS = 60_000
CAPACITY_BYTES = 450 * 1024 * 1024


def turn(
    turn_id,
    previous_id="",
    workspace="w",
    ended_at_ms=0,
    size_bytes=20,
    seed=0,
):
    """Returns a record whose contents depend on its key and the seed."""
    source = random.Random(f"{workspace}/{turn_id}/{seed}")
    return TurnRecord(
        turn_id=turn_id,
        workspace=workspace,
        previous_id=previous_id,
        chain_key="chain",
        input=source.randbytes(size_bytes),
        output=source.randbytes(size_bytes // 2) + b"\n",
        ended_at_ms=ended_at_ms,
        retention_ms=RETENTION_MS,
    )


class PowerCutError(Exception):
    """Ends the writes of a process whose machine has lost power."""


class CrashingDisk:
    """Notes what was synced, and makes the folder that a power loss leaves.

    A hard link of each file whose name was synced is kept, so that a deletion
    that was not synced can be undone.
    """

    def __init__(self, root):
        self._root = pathlib.Path(root).resolve()
        self.folder = self._root / "0"
        self._losses = 0
        self._synced_size_by_inode = {}
        self._durable_names = set()
        self._is_failing = False
        self._syncs_left = None
        self._sync = os.fdatasync
        self._make_links()

    def fail_syncs(self):
        """Makes all further syncs fail."""
        self._is_failing = True

    def cut_power_after(self, syncs):
        """Ends the process at a later sync; call ``lose_power`` then."""
        self._syncs_left = syncs

    def patched(self):
        """Returns a context in which syncs of the process are noted."""
        return mock.patch.multiple(
            os, fdatasync=self._note_sync, fsync=self._note_sync
        )

    def restore_power(self):
        """Lets syncs succeed again; unsynced data stays readable."""
        self._is_failing = False
        self._syncs_left = None

    def lose_power(self, source):
        """Moves to a folder with the synced data and a part of the rest.

        Args:
            source: Random source that decides what else is present.
        """
        self.restore_power()
        self._losses += 1
        folder = self._root / str(self._losses)
        folder.mkdir()
        unsynced_names = set()
        if self.folder.exists():
            unsynced_names = {p.name for p in self.folder.iterdir()}
        for name in self._durable_names:
            path = self.folder / name
            # The deletion or replacement of a file may be undone.
            is_undone = not path.exists() or source.random() < 0.5
            kept = self._links / name if is_undone else path
            if path.exists() or source.random() < 0.5:
                self._copy(kept, folder / name, source)
        for name in unsynced_names - self._durable_names:
            if source.random() < 0.5:
                self._copy(self.folder / name, folder / name, source)
        self.folder = folder
        self._durable_names = {p.name for p in folder.iterdir()}
        self._synced_size_by_inode = {
            p.stat().st_ino: p.stat().st_size for p in folder.iterdir()
        }
        self._make_links()

    def _copy(self, path, target, source):
        data = path.read_bytes()
        synced = self._synced_size_by_inode.get(path.stat().st_ino, 0)
        rest = bytearray(data[synced:])
        while rest and source.random() < 0.7:
            start = source.randrange(len(rest))
            end = source.randrange(start, len(rest)) + 1
            match source.randrange(3):
                case 0:
                    del rest[start:]
                case 1:
                    rest[start:end] = bytes(end - start)
                case 2:
                    rest[start:end] = source.randbytes(end - start)
        target.write_bytes(data[:synced] + rest)

    def _note_sync(self, descriptor):
        if self._is_failing:
            raise OSError("injected failure of a sync")
        if self._syncs_left is not None:
            if self._syncs_left == 0:
                raise PowerCutError
            self._syncs_left -= 1
        self._sync(descriptor)
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path == self.folder:
            self._make_links()
        elif path.is_file():
            status = os.fstat(descriptor)
            self._synced_size_by_inode[status.st_ino] = status.st_size

    def _make_links(self):
        self._links = self._root / "links"
        shutil.rmtree(self._links, ignore_errors=True)
        self._links.mkdir()
        self._durable_names = set()
        if not self.folder.exists():
            return
        for path in self.folder.iterdir():
            os.link(path, self._links / path.name)
            self._durable_names.add(path.name)
        inodes = {p.stat().st_ino for p in self.folder.iterdir()}
        # The number of a deleted file may be used again.
        self._synced_size_by_inode = {
            inode: size
            for inode, size in self._synced_size_by_inode.items()
            if inode in inodes
        }


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """A store in a temporary folder, on a disk that may lose power."""

    capacity_bytes = CAPACITY_BYTES

    def setUp(self):
        root = self.enterContext(tempfile.TemporaryDirectory())
        self.disk = CrashingDisk(root)
        self.enterContext(self.disk.patched())
        self.now_ms = 1_000
        self.store = self.open()

    async def asyncTearDown(self):
        await self.store.close()

    def open(self):
        return open_store(
            self.disk.folder, self.capacity_bytes, lambda: self.now_ms
        )

    async def restart(self):
        await self.store.close()
        self.store = self.open()

    async def lose_power(self, seed=0):
        # Closing writes nothing, so it does not count as a sync.
        await self.store.close()
        self.disk.lose_power(random.Random(seed))
        self.store = self.open()

    async def append(self, *records):
        outcome = await self.store.append(records)
        return outcome.failure().kind if isinstance(outcome, Failed) else None

    async def read(self, turn_id, workspace="w"):
        chain = await self.store.read_chain(workspace, turn_id)
        return None if chain is None else list(chain.records)
