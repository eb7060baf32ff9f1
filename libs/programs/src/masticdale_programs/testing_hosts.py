"""Fakes of the platform, upstreams and peers with faults per host."""

import asyncio
import enum
from collections import Counter, deque
from collections.abc import Sequence

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_platform import ListedHost, StoredObject, WatchBatch
from masticdale_platform.testing import MemoryStore
from masticdale_programs import copies
from masticdale_programs.copies import CopyBatch, decode_batch, encode_batch
from masticdale_programs.copy_store import CopyStore
from masticdale_programs.executors import (
    ModelCall,
    ModelResult,
    ServiceCall,
    TextSink,
)
from masticdale_programs.testing import FakeExecutor

_CALL_DELAY_S = 0.001
_LATE_WRITE_DELAY_S = 0.3


class WriteFault(enum.StrEnum):
    """Effect of a write that fails with WRITE_UNKNOWN.

    Attributes:
        LOSE_ANSWER: The write takes effect.
        DROP: The write never takes effect.
        LATE: The write takes effect later.
    """

    LOSE_ANSWER = "lose_answer"
    DROP = "drop"
    LATE = "late"


class HostFaults:
    """Faults of one host.

    Attributes:
        is_partitioned: Whether the host can't reach the platform.
        write_faults: Faults of the next writes, one each.
    """

    def __init__(self) -> None:
        self.is_partitioned = False
        self.write_faults: deque[WriteFault] = deque()
        self._running = asyncio.Event()
        self._running.set()

    def pause(self) -> None:
        """Pauses the host at the start and end of its calls."""
        self._running.clear()

    def resume(self) -> None:
        """Resumes the host, which does not notice the pause."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Waits for a short delay and for the end of a pause."""
        await asyncio.sleep(_CALL_DELAY_S)
        await self._running.wait()


class HostStore:
    """An ``ObjectStore`` that injects one host's faults into a shared store."""

    def __init__(self, store: MemoryStore, faults: HostFaults) -> None:
        self._store = store
        self._faults = faults
        self._late_writes: set[asyncio.Task[Result[int, Failure]]] = set()

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        await self._faults.wait_until_running()
        outcome = await self._store.read(key)
        await self._faults.wait_until_running()
        return _unavailable() if self._faults.is_partitioned else outcome

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        await self._faults.wait_until_running()
        if self._faults.is_partitioned:
            return _unavailable()
        fault = None
        if self._faults.write_faults:
            fault = self._faults.write_faults.popleft()
        if fault is WriteFault.DROP:
            return _unknown()
        if fault is WriteFault.LATE:
            late = self._write_late(key, value, expected_version)
            self._late_writes.add(asyncio.create_task(late))
            return _unknown()
        outcome = await self._store.write(key, value, expected_version)
        await self._faults.wait_until_running()
        is_response_lost = (
            fault is WriteFault.LOSE_ANSWER or self._faults.is_partitioned
        )
        return _unknown() if is_response_lost else outcome

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        await self._faults.wait_until_running()
        if self._faults.is_partitioned:
            return _unavailable()
        return await self._store.delete(key, expected_version)

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        return await self._store.list(prefix)

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``."""
        return await self._store.watch(prefix, position, wait_s)

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        return await self._store.hosts()

    async def _write_late(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        await asyncio.sleep(_LATE_WRITE_DELAY_S)
        return await self._store.write(key, value, expected_version)


class HostExecutor:
    """An ``Executor`` that injects one host's faults into a shared executor.

    It counts the executions that this host caused, by request id.
    """

    def __init__(self, shared: FakeExecutor, faults: HostFaults) -> None:
        self._run_count_by_request_id: Counter[str] = Counter()
        self._shared = shared
        self._faults = faults

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """See ``Executor.run_model``."""
        await self._faults.wait_until_running()
        self._run_count_by_request_id[call.request_id] += 1
        outcome = await self._shared.run_model(call, sink)
        await self._faults.wait_until_running()
        return outcome

    def run_count(self, request_id: str) -> int:
        """Returns how many times this host ran a request at an upstream."""
        return self._run_count_by_request_id[request_id]

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``."""
        return self._shared.is_repeatable(workspace, operation)

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``."""
        await self._faults.wait_until_running()
        is_rejected = self._shared.faults.refuse > 0
        if not is_rejected:
            self._run_count_by_request_id[call.request_id] += 1
        outcome = await self._shared.call_service(call)
        await self._faults.wait_until_running()
        return outcome

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """See ``Executor.look_up``."""
        await self._faults.wait_until_running()
        return await self._shared.look_up(call)

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """See ``Executor.release``."""
        await self._faults.wait_until_running()
        return await self._shared.release(program_id, replica)


class HostCopies:
    """A ``CopyHolders`` that injects one host's faults into shared stores.

    Attributes:
        store_by_holder: The reachable holders' stores.
    """

    def __init__(
        self, store_by_holder: dict[str, CopyStore], faults: HostFaults
    ) -> None:
        self.store_by_holder = store_by_holder
        self._faults = faults

    def choose(self, shard: int, current: Sequence[str]) -> tuple[str, ...]:
        """See ``CopyHolders.choose``."""
        domain_by_host = {name: name for name in self.store_by_holder}
        return copies.choose_holders(shard, "", domain_by_host, current)

    async def put(self, holder: str, batch: CopyBatch) -> Result[None, Failure]:
        """See ``CopyHolders.put``."""
        await self._faults.wait_until_running()
        store = self.store_by_holder.get(holder)
        if store is None:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, holder))
        outcome = store.put(decode_batch(encode_batch(batch)))
        await self._faults.wait_until_running()
        return outcome

    async def seal(
        self, holder: str, shard: int, epoch: int
    ) -> Result[CopyBatch, Failure]:
        """See ``CopyHolders.seal``."""
        await self._faults.wait_until_running()
        store = self.store_by_holder.get(holder)
        if store is None:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, holder))
        return store.seal(shard, epoch)


def _unavailable() -> Failed[Failure]:
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))


def _unknown() -> Failed[Failure]:
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN))
