"""Stores exported caches of the fake engine."""

import pathlib
import uuid
from typing import Protocol

import pydantic

from masticdale_standins.cache import BranchKey


class ExportedCache(pydantic.BaseModel):
    """An exported prefix.

    Attributes:
        program_id: Program of the prefix.
        branch_id: Branch of the prefix.
        hashes: Hashes of its blocks.
    """

    program_id: str
    branch_id: str
    hashes: tuple[int, ...]


class ExportStore(Protocol):
    """Stores exported prefixes by handle."""

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """Stores a prefix and returns its handle."""
        ...

    def get(self, handle: str) -> ExportedCache | None:
        """Returns the prefix of a handle; None if unknown."""
        ...


class MemoryExports:
    """Exported prefixes in the memory of one engine."""

    def __init__(self) -> None:
        self._cache_by_handle: dict[str, ExportedCache] = {}

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """See ``ExportStore.put``."""
        handle = uuid.uuid4().hex
        self._cache_by_handle[handle] = _create_export(branch, hashes)
        return handle

    def get(self, handle: str) -> ExportedCache | None:
        """See ``ExportStore.get``."""
        return self._cache_by_handle.get(handle)


class FolderExports:
    """Exported prefixes in a folder that several engines share."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def put(self, branch: BranchKey, hashes: tuple[int, ...]) -> str:
        """See ``ExportStore.put``."""
        handle = uuid.uuid4().hex
        exported = _create_export(branch, hashes)
        self._path(handle).write_text(exported.model_dump_json())
        return handle

    def get(self, handle: str) -> ExportedCache | None:
        """See ``ExportStore.get``."""
        # The handle is untrusted and must not escape the folder.
        if not handle.isalnum() or not self._path(handle).exists():
            return None
        return ExportedCache.model_validate_json(self._path(handle).read_text())

    def _path(self, handle: str) -> pathlib.Path:
        return self._folder / f"{handle}.json"


def create_export_store(folder: str) -> ExportStore:
    """Returns a store in a folder, or in memory if the folder is empty."""
    if not folder:
        return MemoryExports()
    return FolderExports(pathlib.Path(folder))


def _create_export(branch: BranchKey, hashes: tuple[int, ...]) -> ExportedCache:
    return ExportedCache(
        program_id=branch.program_id,
        branch_id=branch.branch_id,
        hashes=hashes,
    )
