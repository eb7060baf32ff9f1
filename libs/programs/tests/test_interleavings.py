"""Property tests of a shard under interleaved faults, takeovers and retries.

Each example is a list of steps: callers submit and retry requests, also at
former owners; hosts are paused, partitioned from the platform or killed;
writes lose their response, are dropped or take effect late; other hosts take
the shard over. The answers to callers are then checked against the services'
executions and the history that a last owner reads from the platform.
"""

import asyncio
import dataclasses
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from masticdale_common import Executed
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
BRANCHES = (("p1", MAIN_BRANCH), ("p1", "sub"), ("p2", MAIN_BRANCH))
CALLER_TIMEOUT_S = 2.0
SHORT_DELAY_S = 0.003
OUTAGE_S = 1.6
RECOVERY_S = 120.0


@dataclasses.dataclass
class Host:
    """The current owner or a former one."""

    shard: object
    faults: HostFaults
    executor: HostExecutor


@dataclasses.dataclass
class Answer:
    """The answer to one submission, and executions at its host until then."""

    operation: object
    host: Host
    outcome: object
    host_executions: int


class Cluster:
    """Owners, copy holders and callers, and the answers to callers."""

    def __init__(self):
        self.store = MemoryStore()
        self.executor = FakeExecutor()
        self.hosts = []
        self.holders = {name: CopyStore() for name in ("c1", "c2", "c3")}
        self.unreachable_holders = {}
        self.answers = []
        self.submitted = []
        self.done_before_submit = {}
        self.callers = []

    async def start(self):
        await self.take_over()
        for program_id in ("p1", "p2"):
            await self.ask(CreateProgram(program_id, KIND))
        await self.ask(OpenBranch("p1", "sub"))

    async def ask(self, operation):
        caller = Caller(WORKSPACE, time.monotonic() + CALLER_TIMEOUT_S)
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
        self.submitted.append((operation, host))
        done = {
            a.operation.request_id
            for a in self.answers
            if isinstance(a.outcome, Success)
        }
        self.done_before_submit.setdefault(operation.request_id, done)
        self.callers.append(asyncio.create_task(self._call(operation, host)))

    async def _call(self, operation, host):
        caller = Caller(WORKSPACE, time.monotonic() + CALLER_TIMEOUT_S)
        accepted = await host.shard.submit(operation, caller)
        if not isinstance(accepted, Success):
            return
        key = RequestKey(operation.program_id, operation.request_id)
        outcome = await read_outcome(host.shard, key, WORKSPACE)
        ran = host.executor.run_count(operation.request_id)
        self.answers.append(Answer(operation, host, outcome, ran))
        if isinstance(outcome, Success):
            execution_count = self.executor.execution_count_by_key[
                service_key(operation)
            ]
            if is_unrepeatable(operation):
                assert execution_count == 1, "done, but not executed once"

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
        self.holders.update(self.unreachable_holders)
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


def service_key(operation):
    return idempotency_key(operation.program_id, operation.request_id)


def is_unrepeatable(operation):
    return (
        isinstance(operation, CallService)
        and operation.operation == UNREPEATABLE
    )


def make_operation(branch, number, kind):
    program_id, branch_id = BRANCHES[branch]
    request_id = f"{program_id}-{branch_id}-{kind}-{number}"
    if kind == "turn":
        return SendTurn(program_id, branch_id, request_id, request_id)
    name = UNREPEATABLE if kind == "filing" else REPEATABLE
    return CallService(program_id, branch_id, request_id, name, "{}")


class Step:
    """Makes steps, functions of the cluster; hosts are picked by recency."""

    @staticmethod
    def submit(operation, hosts_back):
        async def run(cluster):
            cluster.submit(operation, pick(cluster, hosts_back))

        return run

    @staticmethod
    def retry(index, hosts_back):
        async def run(cluster):
            if cluster.submitted:
                operation, _ = cluster.submitted[index % len(cluster.submitted)]
                cluster.submit(operation, pick(cluster, hosts_back))

        return run

    @staticmethod
    def outage(operation, second, seconds):
        async def run(cluster):
            cluster.submit(operation, cluster.hosts[-1])
            await asyncio.sleep(SHORT_DELAY_S)
            for host in cluster.hosts:
                host.faults.is_partitioned = True
            await asyncio.sleep(seconds)
            cluster.submit(second, cluster.hosts[-1])
            await asyncio.sleep(SHORT_DELAY_S)
            for host in cluster.hosts:
                host.faults.is_partitioned = False

        return run

    @staticmethod
    def fail_in_outage(operations, is_killed):
        async def run(cluster):
            host = cluster.hosts[-1]
            host.faults.is_partitioned = True
            for operation in operations:
                cluster.submit(operation, host)
            await asyncio.sleep(OUTAGE_S)
            if is_killed:
                await host.shard.close()
            else:
                host.faults.pause()
            await cluster.take_over()

        return run

    @staticmethod
    def holder(name, change):
        async def run(cluster):
            if change == "restart" and name in cluster.holders:
                cluster.holders[name] = CopyStore()
            elif change == "disconnect" and not cluster.unreachable_holders:
                cluster.unreachable_holders[name] = cluster.holders.pop(name)
            elif change == "reconnect":
                cluster.holders.update(cluster.unreachable_holders)
                cluster.unreachable_holders.clear()

        return run

    @staticmethod
    def burst(operations):
        async def run(cluster):
            for operation in operations:
                cluster.submit(operation, cluster.hosts[-1])

        return run

    @staticmethod
    def interrupt(operation, delay_s, is_killed):
        async def run(cluster):
            host = cluster.hosts[-1]
            cluster.submit(operation, host)
            await asyncio.sleep(delay_s)
            if is_killed:
                await host.shard.close()
            else:
                host.faults.pause()
            await cluster.take_over()
            cluster.submit(operation, cluster.hosts[-1])

        return run

    @staticmethod
    def fault(name, hosts_back):
        async def run(cluster):
            host = pick(cluster, hosts_back)
            if name == "pause":
                host.faults.pause()
            elif name == "resume":
                host.faults.resume()
            else:
                host.faults.is_partitioned = name == "partition"

        return run

    @staticmethod
    def write_fault(fault, hosts_back):
        async def run(cluster):
            pick(cluster, hosts_back).faults.write_faults.append(fault)

        return run

    @staticmethod
    def service(name):
        async def run(cluster):
            faults = cluster.executor.faults
            if name == "lookup":
                faults.can_look_up = not faults.can_look_up
            elif name == "slow":
                faults.delay_s = 0.1 - faults.delay_s
            else:
                setattr(faults, name, getattr(faults, name) + 1)

        return run

    @staticmethod
    def wait(seconds):
        async def run(cluster):
            await asyncio.sleep(seconds)

        return run

    @staticmethod
    def take_over():
        return Cluster.take_over


def pick(cluster, hosts_back):
    return cluster.hosts[max(-len(cluster.hosts), -1 - hosts_back)]


HOSTS_BACK = st.sampled_from((0, 0, 0, 1, 2))
WAIT = st.builds(Step.wait, st.sampled_from((0.0005, 0.0021, 0.05, 0.4, 3)))
OPERATION = st.builds(
    make_operation,
    st.integers(0, len(BRANCHES) - 1),
    st.integers(0, 1),
    st.sampled_from(("turn", "turn", "filing", "filing", "reading")),
)
SUBMIT = st.builds(Step.submit, OPERATION, HOSTS_BACK)
OUTAGE = st.builds(
    Step.outage, OPERATION, OPERATION, st.sampled_from((0.3, 3.0))
)
BURST = st.builds(Step.burst, st.lists(OPERATION, min_size=2, max_size=5))
FAIL_IN_OUTAGE = st.builds(
    Step.fail_in_outage,
    st.lists(OPERATION, min_size=1, max_size=4),
    st.booleans(),
)
HOLDER = st.builds(
    Step.holder,
    st.sampled_from(("c1", "c2", "c3")),
    st.sampled_from(("restart", "disconnect", "reconnect", "reconnect")),
)
INTERRUPT = st.builds(
    Step.interrupt,
    OPERATION,
    st.integers(0, 14).map(lambda steps: steps * 0.0005),
    st.booleans(),
)
RETRY = st.builds(Step.retry, st.integers(0, 20), HOSTS_BACK)
FAULT = st.builds(
    Step.fault,
    st.sampled_from(("pause", "pause", "resume", "partition", "heal")),
    HOSTS_BACK,
)
WRITE_FAULT = st.builds(
    Step.write_fault, st.sampled_from(WriteFault), HOSTS_BACK
)
SERVICE = st.builds(
    Step.service,
    st.sampled_from(("lookup", "slow", "lose_answers", "refuse", "fail_turns")),
)
STEPS = st.lists(
    st.one_of(
        SUBMIT,
        SUBMIT,
        RETRY,
        RETRY,
        WAIT,
        FAULT,
        WRITE_FAULT,
        SERVICE,
        OUTAGE,
        BURST,
        INTERRUPT,
        FAIL_IN_OUTAGE,
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
        # A reported outcome (done, not run or unknown) must be true of the
        # service, and each acknowledged call must be in the history once and
        # in order, whichever hosts owned the shard.
        testing_time.run(self.run_steps(steps))

    async def run_steps(self, steps):
        cluster = Cluster()
        await cluster.start()
        sweeper = asyncio.create_task(cluster.sweep())
        for step in steps:
            await step(cluster)
        await cluster.recover()
        self.check_executions(cluster)
        await self.check_histories(cluster)
        sweeper.cancel()
        await cluster.close()

    def check_executions(self, cluster):
        for key, count in cluster.executor.execution_count_by_key.items():
            unrepeatable_keys = {
                service_key(o)
                for o, _ in cluster.submitted
                if is_unrepeatable(o)
            }
            if key in unrepeatable_keys:
                self.assertLessEqual(count, 1, "executed more than once")
        for answer in cluster.answers:
            self.check_rejection(cluster, answer)

    def check_rejection(self, cluster, answer):
        if isinstance(answer.outcome, Success):
            return
        if answer.outcome.failure().response.ran is not Executed.NO:
            return
        submitted_there = [
            o
            for o, h in cluster.submitted
            if h is answer.host and o == answer.operation
        ]
        if is_unrepeatable(answer.operation) or len(submitted_there) == 1:
            self.assertEqual(
                answer.host_executions, 0, "executed before the rejection"
            )
        if len(submitted_there) == 1:
            ran = answer.host.executor.run_count(answer.operation.request_id)
            self.assertEqual(ran, 0, "executed after the rejection")

    async def check_histories(self, cluster):
        history_by_branch = {}
        for program_id, branch_id in BRANCHES:
            view = await cluster.ask(GetProgram(program_id, branch_id))
            history_by_branch[program_id, branch_id] = view.unwrap().history
            self.check_branch(program_id, branch_id, view.unwrap().history)
            self.check_budget(cluster, program_id, view.unwrap())
        for answer in cluster.answers:
            if isinstance(answer.outcome, Success):
                self.check_answer(cluster, answer, history_by_branch)

    def check_branch(self, program_id, branch_id, history):
        ids = [item.request_id for item in history]
        self.assertEqual(len(ids), len(set(ids)), "duplicate in history")
        for position, item in enumerate(history):
            self.assertTrue(
                item.request_id.startswith(f"{program_id}-{branch_id}-"),
                "in the history of another branch",
            )
            if item.kind == "turn":
                # The fake model's answer contains the length of its prompt.
                expected = f"answer {2 + 2 * position} to {item.request_id}"
                self.assertEqual(item.answer, expected, "executed out of order")

    def check_budget(self, cluster, program_id, view):
        budget = KIND.budget
        self.assertLessEqual(view.calls_spent, budget.calls)
        self.assertLessEqual(view.turns_spent, budget.turns)
        self.assertLessEqual(view.tokens_spent, budget.tokens)
        keys = {
            service_key(o)
            for o, _ in cluster.submitted
            if is_unrepeatable(o) and o.program_id == program_id
        }
        executions = cluster.executor.execution_count_by_key
        self.assertLessEqual(sum(executions[k] for k in keys), budget.calls)

    def check_answer(self, cluster, answer, history_by_branch):
        operation = answer.operation
        history = history_by_branch[operation.program_id, operation.branch_id]
        ids = [item.request_id for item in history]
        self.assertIn(operation.request_id, ids, "acknowledged, but lost")
        item = history[ids.index(operation.request_id)]
        outcome = answer.outcome.unwrap()
        is_call = isinstance(outcome, CallOutcome)
        returned = outcome.result if is_call else outcome.text
        self.assertEqual(
            item.answer, returned, "answer differs from the history"
        )
        later = set(ids[ids.index(operation.request_id) :])
        earlier = cluster.done_before_submit[operation.request_id]
        self.assertFalse(later & (earlier - {operation.request_id}))


if __name__ == "__main__":
    unittest.main()
