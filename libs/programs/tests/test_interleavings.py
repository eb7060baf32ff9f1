"""Properties of a shard over interleavings of faults, takeovers, retries.

Each example is a list of steps: callers submit and send again, also to hosts
that were deposed; hosts are paused, cut off from the platform, killed; writes
lose their answer, are dropped or land late; other hosts take the shard over.
What callers were told is then held against the services' executions and the
history that a last owner reads from the platform.
"""

import asyncio
import dataclasses
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from masticdale_common import Ran
from masticdale_platform.testing import MemoryStore
from masticdale_programs import (
    MAIN_BRANCH,
    Caller,
    CallOutcome,
    CallService,
    CopyStore,
    CreateProgram,
    GetProgram,
    OpenBranch,
    RequestKey,
    SendTurn,
    ShardSettings,
    open_shard,
    testing_time,
)
from masticdale_programs.calls import idempotency_key
from masticdale_programs.testing import (
    REPEATABLE,
    UNREPEATABLE,
    FakeExecutor,
    read_outcome,
    sample_kind,
)
from masticdale_programs.testing_hosts import (
    HostCopies,
    HostExecutor,
    HostFaults,
    HostStore,
    WriteFault,
)

WORKSPACE = "tengri"
SETTINGS = ShardSettings(commit_wait_s=0.2)
KIND = sample_kind(tokens=500, calls=2, turns=4)
PLACES = (("p1", MAIN_BRANCH), ("p1", "sub"), ("p2", MAIN_BRANCH))
CALLER_WAITS_S = 2.0
SHORT_S = 0.003
OUTAGE_S = 1.6
RECOVERY_S = 120.0


@dataclasses.dataclass
class Host:
    """One owner, present or deposed."""

    shard: object
    faults: HostFaults
    executor: HostExecutor


@dataclasses.dataclass
class Answer:
    """What one caller was told."""

    operation: object
    host: Host
    outcome: object
    host_executions: int


class World:
    """Hosts, callers and what they were told."""

    def __init__(self):
        self.store = MemoryStore()
        self.executor = FakeExecutor()
        self.hosts = []
        self.holders = {name: CopyStore() for name in ("c1", "c2", "c3")}
        self.lost_holders = {}
        self.answers = []
        self.sent = []
        self.done_before = {}
        self.callers = []

    async def start(self):
        await self.take_over()
        for program_id in ("p1", "p2"):
            await self.ask(CreateProgram(program_id, KIND))
        await self.ask(OpenBranch("p1", "sub"))

    async def ask(self, operation):
        caller = Caller(WORKSPACE, time.monotonic() + CALLER_WAITS_S)
        return await self.hosts[-1].shard.submit(operation, caller)

    async def take_over(self):
        faults = HostFaults()
        executor = HostExecutor(self.executor, faults)
        name = f"host-{len(self.hosts)}"
        opened = await open_shard(
            HostStore(self.store, faults),
            3,
            name,
            name,
            executor,
            lambda *_: None,
            SETTINGS,
            HostCopies(self.holders, faults),
        )
        if isinstance(opened, Success):
            self.hosts.append(Host(opened.unwrap(), faults, executor))

    def submit(self, operation, host):
        self.sent.append((operation, host))
        done = {
            a.operation.request_id
            for a in self.answers
            if isinstance(a.outcome, Success)
        }
        self.done_before.setdefault(operation.request_id, done)
        self.callers.append(asyncio.create_task(self._call(operation, host)))

    async def _call(self, operation, host):
        caller = Caller(WORKSPACE, time.monotonic() + CALLER_WAITS_S)
        accepted = await host.shard.submit(operation, caller)
        if not isinstance(accepted, Success):
            return
        key = RequestKey(operation.program_id, operation.request_id)
        outcome = await read_outcome(host.shard, key, WORKSPACE)
        ran = host.executor.run_count(operation.request_id)
        self.answers.append(Answer(operation, host, outcome, ran))
        if isinstance(outcome, Success):
            was_sent_once = self.executor.execution_count_by_key[
                key_of(operation)
            ]
            if is_filing(operation):
                assert was_sent_once == 1, "done, but not run once"

    async def sweep(self):
        while True:
            await asyncio.sleep(1.0)
            for host in self.hosts:
                if host.shard.is_owned:
                    await host.shard.sweep()

    async def recover(self):
        for host in self.hosts:
            host.faults.is_partitioned = False
            host.faults.write_faults.clear()
            host.faults.resume()
        self.executor.faults.delay_s = 0.0
        self.holders.update(self.lost_holders)
        await asyncio.sleep(RECOVERY_S)
        await self.take_over()
        await asyncio.sleep(RECOVERY_S)
        for caller in self.callers:
            if caller.done():
                caller.result()
            caller.cancel()

    async def close(self):
        for host in self.hosts:
            await host.shard.close()


def key_of(operation):
    return idempotency_key(operation.program_id, operation.request_id)


def is_filing(operation):
    return (
        isinstance(operation, CallService)
        and operation.operation == UNREPEATABLE
    )


def make_operation(place, number, kind):
    program_id, branch_id = PLACES[place]
    request_id = f"{program_id}-{branch_id}-{kind}-{number}"
    if kind == "turn":
        return SendTurn(program_id, branch_id, request_id, request_id)
    name = UNREPEATABLE if kind == "filing" else REPEATABLE
    return CallService(program_id, branch_id, request_id, name, "{}")


class Step:
    """Steps are functions of the world; hosts are picked by recency."""

    @staticmethod
    def submit(operation, back):
        async def run(world):
            world.submit(operation, pick(world, back))

        return run

    @staticmethod
    def send_again(index, back):
        async def run(world):
            if world.sent:
                operation, _ = world.sent[index % len(world.sent)]
                world.submit(operation, pick(world, back))

        return run

    @staticmethod
    def outage(operation, then, seconds):
        async def run(world):
            world.submit(operation, world.hosts[-1])
            await asyncio.sleep(SHORT_S)
            for host in world.hosts:
                host.faults.is_partitioned = True
            await asyncio.sleep(seconds)
            world.submit(then, world.hosts[-1])
            await asyncio.sleep(SHORT_S)
            for host in world.hosts:
                host.faults.is_partitioned = False

        return run

    @staticmethod
    def die_in_outage(operations, is_killed):
        async def run(world):
            host = world.hosts[-1]
            host.faults.is_partitioned = True
            for operation in operations:
                world.submit(operation, host)
            await asyncio.sleep(OUTAGE_S)
            if is_killed:
                await host.shard.close()
            else:
                host.faults.pause()
            await world.take_over()

        return run

    @staticmethod
    def holder(name, change):
        async def run(world):
            if change == "restart" and name in world.holders:
                world.holders[name] = CopyStore()
            elif change == "lose" and not world.lost_holders:
                world.lost_holders[name] = world.holders.pop(name)
            elif change == "find":
                world.holders.update(world.lost_holders)
                world.lost_holders.clear()

        return run

    @staticmethod
    def burst(operations):
        async def run(world):
            for operation in operations:
                world.submit(operation, world.hosts[-1])

        return run

    @staticmethod
    def interrupt(operation, steps_s, is_killed):
        async def run(world):
            host = world.hosts[-1]
            world.submit(operation, host)
            await asyncio.sleep(steps_s)
            if is_killed:
                await host.shard.close()
            else:
                host.faults.pause()
            await world.take_over()
            world.submit(operation, world.hosts[-1])

        return run

    @staticmethod
    def fault(name, back):
        async def run(world):
            host = pick(world, back)
            if name == "pause":
                host.faults.pause()
            elif name == "resume":
                host.faults.resume()
            else:
                host.faults.is_partitioned = name == "cut"

        return run

    @staticmethod
    def write_fault(fault, back):
        async def run(world):
            pick(world, back).faults.write_faults.append(fault)

        return run

    @staticmethod
    def service(name):
        async def run(world):
            faults = world.executor.faults
            if name == "lookup":
                faults.can_look_up = not faults.can_look_up
            elif name == "slow":
                faults.delay_s = 0.1 - faults.delay_s
            else:
                setattr(faults, name, getattr(faults, name) + 1)

        return run

    @staticmethod
    def wait(seconds):
        async def run(world):
            await asyncio.sleep(seconds)

        return run

    @staticmethod
    def take_over():
        return World.take_over


def pick(world, back):
    return world.hosts[max(-len(world.hosts), -1 - back)]


BACK = st.sampled_from((0, 0, 0, 1, 2))
WAIT = st.builds(Step.wait, st.sampled_from((0.0005, 0.0021, 0.05, 0.4, 3)))
OPERATION = st.builds(
    make_operation,
    st.integers(0, len(PLACES) - 1),
    st.integers(0, 1),
    st.sampled_from(("turn", "turn", "filing", "filing", "reading")),
)
SUBMIT = st.builds(Step.submit, OPERATION, BACK)
OUTAGE = st.builds(
    Step.outage, OPERATION, OPERATION, st.sampled_from((0.3, 3.0))
)
BURST = st.builds(Step.burst, st.lists(OPERATION, min_size=2, max_size=5))
DIE_IN_OUTAGE = st.builds(
    Step.die_in_outage,
    st.lists(OPERATION, min_size=1, max_size=4),
    st.booleans(),
)
HOLDER = st.builds(
    Step.holder,
    st.sampled_from(("c1", "c2", "c3")),
    st.sampled_from(("restart", "lose", "find", "find")),
)
INTERRUPT = st.builds(
    Step.interrupt,
    OPERATION,
    st.integers(0, 14).map(lambda steps: steps * 0.0005),
    st.booleans(),
)
SEND_AGAIN = st.builds(Step.send_again, st.integers(0, 20), BACK)
FAULT = st.builds(
    Step.fault,
    st.sampled_from(("pause", "pause", "resume", "cut", "heal")),
    BACK,
)
WRITE_FAULT = st.builds(Step.write_fault, st.sampled_from(WriteFault), BACK)
SERVICE = st.builds(
    Step.service,
    st.sampled_from(("lookup", "slow", "lose_answers", "refuse", "fail_turns")),
)
STEPS = st.lists(
    st.one_of(
        SUBMIT,
        SUBMIT,
        SEND_AGAIN,
        SEND_AGAIN,
        WAIT,
        FAULT,
        WRITE_FAULT,
        SERVICE,
        OUTAGE,
        BURST,
        INTERRUPT,
        DIE_IN_OUTAGE,
        HOLDER,
        st.builds(Step.take_over),
    ),
    min_size=12,
    max_size=40,
)


class InterleavingsTest(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_promises_hold(self, steps):
        # Callers see done, not run or unknown; whichever it is must be true
        # of the service, and whatever was answered must be in the history
        # once, in its place, whoever owned the shard in between.
        testing_time.run(self.run_steps(steps))

    async def run_steps(self, steps):
        world = World()
        await world.start()
        sweeper = asyncio.create_task(world.sweep())
        for step in steps:
            await step(world)
        await world.recover()
        self.check_executions(world)
        await self.check_histories(world)
        sweeper.cancel()
        await world.close()

    def check_executions(self, world):
        for key, count in world.executor.execution_count_by_key.items():
            filings = {key_of(o) for o, _ in world.sent if is_filing(o)}
            if key in filings:
                self.assertLessEqual(count, 1, "ran more than once")
        for answer in world.answers:
            self.check_refusal(world, answer)

    def check_refusal(self, world, answer):
        if isinstance(answer.outcome, Success):
            return
        if answer.outcome.failure().answer.ran is not Ran.NO:
            return
        sent_there = [
            o
            for o, h in world.sent
            if h is answer.host and o == answer.operation
        ]
        if is_filing(answer.operation) or len(sent_there) == 1:
            self.assertEqual(answer.host_executions, 0, "had run")
        if len(sent_there) == 1:
            ran = answer.host.executor.run_count(answer.operation.request_id)
            self.assertEqual(ran, 0, "refused, but ran later")

    async def check_histories(self, world):
        history_by_place = {}
        for program_id, branch_id in PLACES:
            view = await world.ask(GetProgram(program_id, branch_id))
            history_by_place[program_id, branch_id] = view.unwrap().history
            self.check_branch(program_id, branch_id, view.unwrap().history)
            self.check_budget(world, program_id, view.unwrap())
        for answer in world.answers:
            if isinstance(answer.outcome, Success):
                self.check_answer(world, answer, history_by_place)

    def check_branch(self, program_id, branch_id, history):
        ids = [item.request_id for item in history]
        self.assertEqual(len(ids), len(set(ids)), "stands twice")
        for place, item in enumerate(history):
            self.assertTrue(
                item.request_id.startswith(f"{program_id}-{branch_id}-"),
                "stands in another program's history",
            )
            if item.kind == "turn":
                # The fake model answers with the length of its prompt.
                expected = f"answer {2 + 2 * place} to {item.request_id}"
                self.assertEqual(item.answer, expected, "ran out of order")

    def check_budget(self, world, program_id, view):
        budget = KIND.budget
        self.assertLessEqual(view.calls_spent, budget.calls)
        self.assertLessEqual(view.turns_spent, budget.turns)
        self.assertLessEqual(view.tokens_spent, budget.tokens)
        keys = {
            key_of(o)
            for o, _ in world.sent
            if is_filing(o) and o.program_id == program_id
        }
        executions = world.executor.execution_count_by_key
        self.assertLessEqual(sum(executions[k] for k in keys), budget.calls)

    def check_answer(self, world, answer, history_by_place):
        operation = answer.operation
        history = history_by_place[operation.program_id, operation.branch_id]
        ids = [item.request_id for item in history]
        self.assertIn(operation.request_id, ids, "acknowledged and lost")
        item = history[ids.index(operation.request_id)]
        outcome = answer.outcome.unwrap()
        is_call = isinstance(outcome, CallOutcome)
        told = outcome.result if is_call else outcome.text
        self.assertEqual(item.answer, told, "another answer was told")
        later = set(ids[ids.index(operation.request_id) :])
        earlier = world.done_before[operation.request_id]
        self.assertFalse(later & (earlier - {operation.request_id}))


if __name__ == "__main__":
    unittest.main()
