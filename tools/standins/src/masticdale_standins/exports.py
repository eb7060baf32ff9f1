"""Where the engine stand-in puts exported caches."""

import pathlib
import uuid
from typing import Protocol

import pydantic

from masticdale_standins.cache import BranchKey


class ExportedCache(pydantic.BaseModel):
    """One copied prefix.

    Attributes:
        program_id: Whose prefix.
        branch_id: Which branch's.
        hashes: Its blocks' hashes.
    """

    program_id: str
    branch_id: str
    hashes: tuple[int, ...]


class ExportStore(Protocol):
    """Copied prefixes by handle."""

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """Keeps a copy and returns its handle."""
        ...

    def get(self, handle: str) -> ExportedCache | None:
        """Returns the copy of a handle, if there is one."""
        ...


class MemoryExports:
    """Copies that one engine keeps for itself."""

    def __init__(self) -> None:
        self._cache_by_handle: dict[str, ExportedCache] = {}

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """See ``ExportStore.put``."""
        handle = uuid.uuid4().hex
        self._cache_by_handle[handle] = _export(branch, hashes)
        return handle

    def get(self, handle: str) -> ExportedCache | None:
        """See ``ExportStore.get``."""
        return self._cache_by_handle.get(handle)


class FolderExports:
    """Copies in a folder that several engines share."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """See ``ExportStore.put``."""
        handle = uuid.uuid4().hex
        exported = _export(branch, hashes)
        self._path(handle).write_text(exported.model_dump_json())
        return handle

    def get(self, handle: str) -> ExportedCache | None:
        """See ``ExportStore.get``."""
        # A handle comes from outside; as a path it could name any file.
        if not handle.isalnum() or not self._path(handle).exists():
            return None
        return ExportedCache.model_validate_json(self._path(handle).read_text())

    def _path(self, handle: str) -> pathlib.Path:
        return self._folder / f"{handle}.json"


def create_export_store(folder: str) -> ExportStore:
    """Returns the store of a folder, or of this process without one."""
    if not folder:
        return MemoryExports()
    return FolderExports(pathlib.Path(folder))


def _export(branch: BranchKey, hashes: tuple[int, ...]) -> ExportedCache:
    return ExportedCache(
        program_id=branch.program_id,
        branch_id=branch.branch_id,
        hashes=hashes,
    )
