"""Retention of old revisions and snapshots in the platform's object store.

An old revision is overwritten by a tombstone rather than deleted. If its key
were free again, a host that was paused between reading the newest revision and
creating the next one could still create it: the operator would be told that
the change is accepted, but no host would apply it.
"""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import logs
from masticdale_platform.types import ObjectStore

TOMBSTONE = b"{}"
KEPT_REVISIONS = 5000
MAX_TRIMMED_AT_ONCE = 400
_MAX_CONCURRENT_CALLS = 8


async def trim_revisions(
    store: ObjectStore,
    numbers: range,
    key_of: Callable[[int], str],
) -> int:
    """Overwrites old revisions by tombstones.

    Args:
        store: The platform's object store.
        numbers: Numbers of the revisions to trim, in ascending order.
        key_of: Returns the key of a revision.

    Returns:
        How many revisions, counted from the first, are certain to be trimmed.
    """
    done = 0
    for start in range(0, len(numbers), _MAX_CONCURRENT_CALLS):
        batch = numbers[start : start + _MAX_CONCURRENT_CALLS]
        trims = [_overwrite(store, key_of(number)) for number in batch]
        if not all(await asyncio.gather(*trims)):
            logs.write("revision_trim_failed", first=batch[0])
            return done
        done += len(batch)
    return done


async def delete_keys(store: ObjectStore, keys: Iterable[str]) -> bool:
    """Deletes objects; returns whether all are certain to be deleted."""
    outcomes = [await _delete(store, key) for key in keys]
    return all(outcomes)


async def _overwrite(store: ObjectStore, key: str) -> bool:
    found = await store.read(key)
    if isinstance(found, Failed):
        return False
    stored = found.unwrap()
    if stored is None or stored.value == TOMBSTONE:
        return True
    written = await store.write(key, TOMBSTONE, stored.version)
    return isinstance(written, Success)


async def _delete(store: ObjectStore, key: str) -> bool:
    found = await store.read(key)
    if isinstance(found, Failed):
        return False
    stored = found.unwrap()
    if stored is None:
        return True
    return isinstance(await store.delete(key, stored.version), Success)
