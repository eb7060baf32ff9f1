"""Tests of a planned stop: no request that was read is cut off."""

import asyncio
import time
import unittest
from unittest import mock

from returns.result import Success

from masticdale_common import ErrorKind, Executed, hashing
from masticdale_config import testing as config_testing
from masticdale_peers.testing import MemoryNetwork
from masticdale_platform.testing import MemoryStore
from masticdale_programs import (
    Accepted,
    Caller,
    CallService,
    CreateProgram,
    RequestKey,
    SendTurn,
    ShardSettings,
    read_head,
)
from masticdale_programs.testing import (
    UNREPEATABLE,
    FakeExecutor,
    read_outcome,
    sample_kind,
)
from masticdaled.callers.forwarding import OperationRequest
from masticdaled.cluster import Cluster
from masticdaled.shards.ownership_checks import Ownership, OwnershipChecks
from masticdaled.testing import create_memory_host

PROGRAM = "p1"
SHARD = hashing.shard_of(PROGRAM)
FINISH_S = 5.0
SHORT_FINISH_S = 0.1
COMMIT_WAIT_S = 0.1
STOP_TIMEOUT_S = 15.0
FINISH_POLL = "masticdaled.shards.owners._FINISH_POLL_S"
RELEASE_TIMEOUT = "masticdaled.shards.owners._RELEASE_TIMEOUT_S"
DEADLINE_S = 3.0
CREATE = CreateProgram(PROGRAM, sample_kind())
TURN = SendTurn(PROGRAM, "main", "t1", "hello")
CALL = CallService(PROGRAM, "main", "c1", UNREPEATABLE, "{}")


class StoppingTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.executor = FakeExecutor()
        self.host = self.create_host("host-1")
        self.owned = self.host.owned_shards

    def create_host(self, name):
        host = create_memory_host(
            name,
            (name,),
            MemoryNetwork(),
            self.store,
            config_testing.active_config(),
            self.executor,
            ShardSettings(commit_wait_s=COMMIT_WAIT_S),
        )
        self.addAsyncCleanup(host.close)
        return host

    async def submit(self, operation):
        caller = Caller("w", time.monotonic() + DEADLINE_S)
        return await self.owned.submit(operation, caller)

    def start_submit(self, operation):
        return asyncio.create_task(self.submit(operation))

    def start_stop(self):
        return asyncio.create_task(self.owned.stop(FINISH_S))

    async def wait_until(self, condition):
        async with asyncio.timeout(FINISH_S):
            while not condition():
                await asyncio.sleep(0)

    async def head(self):
        return (await read_head(self.store, SHARD)).unwrap()


class TakeoverTest(StoppingTestCase):
    """Shards whose takeover is under way when the stop begins."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The program's owner before this host.
        await self.submit(CREATE)
        await self.owned.stop(FINISH_S)
        self.store = HeldStore(self.store)
        self.owned = self.create_host("host-2").owned_shards

    async def stop_during_takeover(self, operation):
        submitted = self.start_submit(operation)
        await self.store.reached.wait()
        stopping = self.start_stop()
        await asyncio.sleep(0)
        self.store.proceed.set()
        outcome = await submitted
        await stopping
        return outcome

    async def test_shard_of_a_takeover_under_way_is_handed_over(self):
        """Other hosts waited for the lease of a host that had stopped."""
        await self.stop_during_takeover(CREATE)
        self.assertEqual(self.owned.owned_shards(), ())
        self.assertTrue((await self.head()).released)

    async def test_forced_takeover_is_refused_during_the_stop(self):
        """A shard taken over by an operator was not handed over."""
        self.store.proceed.set()
        await self.owned.stop(FINISH_S)
        taken = await self.owned.force_takeover(SHARD)
        self.assertIs(taken.failure().kind, ErrorKind.STOPPING)

    async def test_call_accepted_after_such_a_takeover_is_finished(self):
        """The process ended during a call that must not run twice."""
        self.executor.faults.delay_s = 0.1
        outcome = await self.stop_during_takeover(CALL)
        self.assertEqual(outcome, Success(Accepted("c1", 2)))
        in_flight = [s.in_flight for s in self.owned.owned_shards()]
        self.assertEqual(in_flight, [])
        self.owned = self.create_host("host-3").owned_shards
        await self.submit(CALL)
        found = (await self.owned.find_program(PROGRAM)).unwrap()
        entry = found.program.entry_by_request_id["c1"]
        self.assertEqual(entry.status.value, "done")


class HeldStore:
    """Holds the first write of a head until ``proceed`` is set."""

    def __init__(self, store):
        self.reached = asyncio.Event()
        self.proceed = asyncio.Event()
        self._store = store
        self._write = store.write

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def write(self, key, value, expected_version):
        if key.endswith("/head"):
            self.reached.set()
            await self.proceed.wait()
        return await self._write(key, value, expected_version)


class HandoffTest(StoppingTestCase):
    """Shards that the host owns when the stop begins."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.submit(CREATE)

    async def test_call_is_not_accepted_by_a_shard_being_handed_off(self):
        """A call ran at a host that had given its program away."""
        checked = asyncio.Event()

        async def check(_):
            await checked.wait()
            return Ownership.OWNED

        with mock.patch.object(OwnershipChecks, "check", side_effect=check):
            submitted = self.start_submit(TURN)
            await asyncio.sleep(0)
            self.store.faults.delay_s = SHORT_FINISH_S
            stopping = self.start_stop()
            await self.wait_until(lambda: not self.owned.owned_shards())
            checked.set()
            outcome = await submitted
        await stopping
        self.assertEqual(self.executor.calls, [])
        self.assertIs(outcome.failure().kind, ErrorKind.STOPPING)

    async def test_answer_can_be_read_after_the_handoff(self):
        """With no next owner, an answer was lost between two reads."""
        self.executor.faults.delay_s = SHORT_FINISH_S
        request = OperationRequest(TURN, "w", time.monotonic() + DEADLINE_S)
        await self.host.forwarder.submit(request)
        await self.owned.stop(FINISH_S)
        parts = [p async for p in self.host.forwarder.stream_answer(request)]
        outcome = parts[-1].outcome.unwrap()
        self.assertEqual(outcome.request_id, TURN.request_id)
        self.assertEqual(len(self.executor.calls), 1)

    async def test_refused_call_is_voided_before_the_handoff(self):
        """A call refused as not run was reported as unknown on its retry."""
        self.store.faults.delay_s = 2 * COMMIT_WAIT_S
        await self.submit(CALL)
        (shard,) = self.owned.owned_shards()
        key = RequestKey(PROGRAM, CALL.request_id)
        refused = (await read_outcome(shard, key, "w")).failure()
        self.assertIs(refused.kind, ErrorKind.PLATFORM_UNAVAILABLE)
        await self.owned.stop(FINISH_S)
        self.store.faults.delay_s = 0.0
        self.owned = self.create_host("host-2").owned_shards
        await self.submit(CALL)
        (shard,) = self.owned.owned_shards()
        outcome = await read_outcome(shard, key, "w")
        status = outcome.map(lambda call: call.status.value)
        self.assertEqual(status, Success("done"))
        self.assertEqual(sum(self.executor.execution_count_by_key.values()), 1)

    async def test_call_without_a_commit_may_be_sent_to_the_next_owner(self):
        """An outage made a stop answer "cancelled", which none may retry."""
        await self.submit(TURN)
        await self.wait_until(lambda: self.executor.calls)
        self.store.faults.down = True
        key = RequestKey(PROGRAM, TURN.request_id)
        (shard,) = self.owned.owned_shards()
        reading = asyncio.create_task(read_outcome(shard, key, "w"))
        await asyncio.sleep(0)
        with mock.patch(RELEASE_TIMEOUT, SHORT_FINISH_S):
            await self.owned.stop(SHORT_FINISH_S)
        failure = (await reading).failure()
        self.assertIs(failure.kind, ErrorKind.WRITE_UNKNOWN)

    async def test_stop_ends_while_the_platform_is_down(self):
        """The process was killed, with requests, as its stop never ended."""
        self.store.faults.down = True
        with mock.patch(RELEASE_TIMEOUT, SHORT_FINISH_S):
            stopping = asyncio.create_task(self.owned.stop(SHORT_FINISH_S))
            self.addCleanup(stopping.cancel)
            done, _ = await asyncio.wait([stopping], timeout=STOP_TIMEOUT_S)
        self.assertTrue(done)
        self.assertEqual(self.owned.owned_shards(), ())


class MoveTest(StoppingTestCase):
    """A shard that moves to another host as this one begins to stop."""

    async def test_stop_waits_for_a_move_under_way(self):
        """The move was cut off, and callers waited for the host's lease."""
        await self.submit(CREATE)
        held = HeldStore(self.store)
        with (
            mock.patch.object(Cluster, "owner_of_shard", return_value="host-2"),
            mock.patch.object(self.store, "write", held.write),
        ):
            moving = asyncio.create_task(self.owned.tick())
            await held.reached.wait()
            stopping = self.start_stop()
            done, _ = await asyncio.wait([stopping], timeout=SHORT_FINISH_S)
            self.assertEqual(done, set())
            held.proceed.set()
            await stopping
        self.assertTrue((await self.head()).released)
        await moving

    async def test_stop_does_not_hand_a_shard_off_a_second_time(self):
        """The second handoff cut off the write of the first."""
        await self.submit(CREATE)
        self.executor.faults.delay_s = SHORT_FINISH_S
        await self.submit(TURN)
        (shard,) = self.owned.owned_shards()
        with (
            mock.patch.object(Cluster, "owner_of_shard", return_value="host-2"),
            mock.patch(FINISH_POLL, 2 * SHORT_FINISH_S),
        ):
            stopping = self.start_stop()
            await self.wait_until(lambda: not shard.in_flight)
            held = HeldStore(self.store)
            with mock.patch.object(self.store, "write", held.write):
                moving = asyncio.create_task(self.owned.tick())
                await held.reached.wait()
                done, _ = await asyncio.wait(
                    [stopping], timeout=4 * SHORT_FINISH_S
                )
                self.assertEqual(done, set())
                held.proceed.set()
                await stopping
        self.assertTrue((await self.head()).released)
        await moving


class LastHostTest(StoppingTestCase):
    """A stop while no other host can take the programs over."""

    async def test_request_is_answered_before_the_process_ends(self):
        """A request was retried until its deadline, and cut off before it."""
        await self.submit(CREATE)
        await self.owned.stop(FINISH_S)
        deadline = time.monotonic() + DEADLINE_S
        request = OperationRequest(TURN, "w", deadline)
        outcome = await self.host.forwarder.submit(request)
        self.assertLess(time.monotonic(), deadline - DEADLINE_S / 2)
        failure = outcome.failure()
        self.assertIs(failure.kind, ErrorKind.PEER_UNAVAILABLE)
        # An earlier attempt under the same id may have run.
        self.assertIs(failure.response.ran, Executed.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
