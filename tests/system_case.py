"""A small system of real processes for the tests of one file."""

import asyncio
import contextlib
import itertools
import json
import time
import unittest

import httpx
from returns.result import Failure as Failed

from masticdale_common import Metrics, hashing
from masticdale_load.system_checks import Verdict, check_history
from masticdale_load.system_client import (
    CallerSettings,
    ClientStats,
    SystemClient,
)
from masticdale_load.system_declarations import DEPLOYMENTS
from masticdale_load.system_hosts import Balancer
from masticdale_load.system_ledger import (
    Acknowledged,
    BranchHistory,
    ProgramLedger,
)
from masticdale_load.system_plans import SystemPlan
from masticdale_load.system_runs import running_system
from masticdale_platform.client import PlatformClient
from masticdale_programs import MAIN_BRANCH, read_head
from masticdale_programs.calls import idempotency_key
from masticdaled.callers.models import (
    CallServiceBody,
    CreateProgramBody,
    SendTurnBody,
)

DEPLOYMENT = DEPLOYMENTS[0]
MAX_TOKENS = 24
POLL_S = 0.05
WAIT_S = 25.0
SLOW_FACTOR = 6


class SystemCase(unittest.IsolatedAsyncioTestCase):
    """Starts the system of ``plan`` once for the class."""

    plan = SystemPlan(
        name="test",
        seed=1,
        turns=1,
        hosts=3,
        engines=2,
        services=1,
        tokens_per_s=30,
        service_ms=1000,
    )
    numbers = itertools.count()

    @classmethod
    def setUpClass(cls):
        stack = contextlib.ExitStack()
        cls.addClassCleanup(stack.close)
        cls.cluster = stack.enter_context(running_system(cls.plan))

    async def asyncSetUp(self):
        # The debug mode that unittest sets is slow and prints slow steps.
        asyncio.get_running_loop().set_debug(False)
        self.tally = ClientStats()
        self.client = self.client_of(*self.cluster.daemon_by_name)
        self.ledger_by_id = {}

    def client_of(self, *hosts, **settings):
        """Returns a caller that is sent to these hosts only."""
        urls = {h: self.cluster.daemon_by_name[h].callers_url for h in hosts}
        client = SystemClient(
            Balancer(urls),
            DEPLOYMENT.key,
            self.tally,
            CallerSettings(**settings),
        )
        self.addAsyncCleanup(client.close)
        return client

    def others(self, *hosts):
        return sorted(set(self.cluster.daemon_by_name) - set(hosts))

    def process(self, host):
        return self.cluster.daemon_by_name[host].process

    async def begin(self, client=None):
        """Begins a program and returns its id."""
        number = next(self.numbers)
        body = CreateProgramBody(
            request_id=f"program-{number}", program=DEPLOYMENT.program
        )
        begun = (await (client or self.client).create(body)).unwrap()
        self.ledger_by_id[begun.program_id] = ProgramLedger(
            begun.program_id,
            DEPLOYMENT.key,
            DEPLOYMENT.system_prompt,
            MAX_TOKENS,
        )
        return begun.program_id

    async def turn(self, program_id, request_id, client=None, message=""):
        """Sends a turn, whose answer is checked by ``check_kept``."""
        ledger = self.ledger_by_id[program_id]
        ledger.sent_ids.add(request_id)
        message = message or f"message of {request_id}"
        body = SendTurnBody(
            request_id=request_id,
            message=message,
            max_tokens=MAX_TOKENS,
            stream=True,
        )
        outcome = await (client or self.client).turn(program_id, body)
        if isinstance(outcome, Failed):
            self.fail(f"{request_id}: {outcome.failure()}, {self.tally}")
        answer = outcome.unwrap()
        told = Acknowledged(request_id, message, answer.text)
        ledger.acknowledged_by_branch[MAIN_BRANCH].append(told)
        return answer

    async def call(self, program_id, request_id, client=None):
        """Sends an unrepeatable call."""
        self.ledger_by_id[program_id].sent_ids.add(request_id)
        body = CallServiceBody(
            request_id=request_id,
            operation=DEPLOYMENT.unrepeatable,
            payload=request_id,
        )
        return await (client or self.client).call(program_id, body)

    def executions(self, program_id, request_id):
        key = idempotency_key(program_id, request_id)
        return sum(
            execution["count"]
            for service in self.cluster.service_by_name
            for execution in self.cluster.executions(service)
            if execution["key"] == key
        )

    async def check_kept(self, program_id):
        """Checks that the history is what callers were told, and no more."""
        view = (await self.client.read(program_id, MAIN_BRANCH)).unwrap()
        verdict = Verdict()
        history = BranchHistory(program_id, MAIN_BRANCH, view.history)
        check_history(self.ledger_by_id[program_id], history, verdict)
        self.assertTrue(verdict.is_clean, verdict)
        self.assertEqual(self.tally.mismatched_streams, 0)
        return view

    async def owner_of(self, program_id):
        """Returns the host that the platform says owns a program."""
        return (await self.head_of(program_id)).owner

    async def head_of(self, program_id):
        """Returns the head of a program's shard, as it is stored."""
        store = PlatformClient(self.cluster.platform.base_url, 2.0, Metrics())
        try:
            shard = hashing.shard_of(program_id)
            return (await read_head(store, shard)).unwrap()
        finally:
            await store.close()

    async def until(self, condition, what):
        """Waits until an asynchronous condition holds."""
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(POLL_S)
        self.fail(f"in vain waited for {what}")

    async def until_new_owner(self, program_id, old):
        async def is_new():
            return await self.owner_of(program_id) != old

        await self.until(is_new, f"a new owner in place of {old}")

    async def until_in_flight(self, program_id, client):
        async def is_waiting():
            view = (await client.read(program_id, MAIN_BRANCH)).unwrap()
            return any("answer of" in each for each in view.waiting_for)

        await self.until(is_waiting, "a call in flight")

    def slow_down_engines(self):
        """Lets turns last long enough to be found in flight, all of them."""
        for process in self.cluster.engine_by_name.values():
            self.cluster.faults(process, slow_factor=SLOW_FACTOR)
            self.addCleanup(self.cluster.faults, process)

    def restart(self, host):
        self.cluster.restart_daemon(host)
        self.cluster.wait_ready(host)

    async def admin(self, process, path):
        async with httpx.AsyncClient(trust_env=False) as http:
            response = await http.get(f"{process.base_url}/admin/{path}")
        return json.loads(response.text)

    async def engine_stats(self):
        return {
            name: await self.admin(process, "stats")
            for name, process in self.cluster.engine_by_name.items()
        }

    async def held_programs(self):
        """Returns the programs for which engines hold memory."""
        found = [
            await self.admin(process, "branches")
            for process in self.cluster.engine_by_name.values()
        ]
        return {each["program_id"] for held in found for each in held}
