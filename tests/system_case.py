"""Base class of tests against a small system of real processes."""

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
POLL_INTERVAL_S = 0.05
TIMEOUT_S = 25.0
SLOW_FACTOR = 6


class SystemCase(unittest.IsolatedAsyncioTestCase):
    """Starts the system described by ``plan`` once per class."""

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
    program_numbers = itertools.count()

    @classmethod
    def setUpClass(cls):
        stack = contextlib.ExitStack()
        cls.addClassCleanup(stack.close)
        cls.cluster = stack.enter_context(running_system(cls.plan))

    async def asyncSetUp(self):
        # unittest enables debug mode, which slows the loop and logs slow
        # callbacks.
        asyncio.get_running_loop().set_debug(False)
        self.tally = ClientStats()
        self.client = self.client_for(*self.cluster.daemon_by_name)
        self.ledger_by_id = {}

    def client_for(self, *hosts, **settings):
        """Returns a client that sends requests to the given hosts only."""
        urls = {h: self.cluster.daemon_by_name[h].callers_url for h in hosts}
        client = SystemClient(
            Balancer(urls),
            DEPLOYMENT.key,
            self.tally,
            CallerSettings(**settings),
        )
        self.addAsyncCleanup(client.close)
        return client

    def other_hosts(self, *hosts):
        return sorted(set(self.cluster.daemon_by_name) - set(hosts))

    def process(self, host):
        return self.cluster.daemon_by_name[host].process

    async def create_program(self, client=None):
        """Creates a program and returns its id."""
        number = next(self.program_numbers)
        body = CreateProgramBody(
            request_id=f"program-{number}", program=DEPLOYMENT.program
        )
        created = (await (client or self.client).create(body)).unwrap()
        self.ledger_by_id[created.program_id] = ProgramLedger(
            created.program_id,
            DEPLOYMENT.key,
            DEPLOYMENT.system_prompt,
            MAX_TOKENS,
        )
        return created.program_id

    async def send_turn(self, program_id, request_id, client=None, message=""):
        """Sends a turn and records its answer for ``check_history``."""
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
        acknowledged = Acknowledged(request_id, message, answer.text)
        ledger.acknowledged_by_branch[MAIN_BRANCH].append(acknowledged)
        return answer

    async def send_unrepeatable_call(self, program_id, request_id, client=None):
        """Sends a call that must not be executed twice."""
        self.ledger_by_id[program_id].sent_ids.add(request_id)
        body = CallServiceBody(
            request_id=request_id,
            operation=DEPLOYMENT.unrepeatable,
            payload=request_id,
        )
        return await (client or self.client).call(program_id, body)

    def execution_count(self, program_id, request_id):
        key = idempotency_key(program_id, request_id)
        return sum(
            execution["count"]
            for service in self.cluster.service_by_name
            for execution in self.cluster.executions(service)
            if execution["key"] == key
        )

    async def check_history(self, program_id):
        """Checks that the history holds exactly the acknowledged turns."""
        view = (await self.client.read(program_id, MAIN_BRANCH)).unwrap()
        verdict = Verdict()
        history = BranchHistory(program_id, MAIN_BRANCH, view.history)
        check_history(self.ledger_by_id[program_id], history, verdict)
        self.assertTrue(verdict.is_clean, verdict)
        self.assertEqual(self.tally.mismatched_streams, 0)
        return view

    async def owner_of(self, program_id):
        """Returns the owner of a program, as stored in the platform."""
        return (await self.head_of(program_id)).owner

    async def head_of(self, program_id):
        """Returns the stored head of a program's shard."""
        store = PlatformClient(self.cluster.platform.base_url, 2.0, Metrics())
        try:
            shard = hashing.shard_of(program_id)
            return (await read_head(store, shard)).unwrap()
        finally:
            await store.close()

    async def wait_until(self, condition, description):
        """Polls an asynchronous condition; fails the test on a timeout."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fail(f"timed out waiting for {description}")

    async def wait_for_new_owner(self, program_id, old_owner):
        async def is_new():
            return await self.owner_of(program_id) != old_owner

        await self.wait_until(is_new, f"a new owner in place of {old_owner}")

    async def wait_until_in_flight(self, program_id, client):
        async def is_waiting():
            view = (await client.read(program_id, MAIN_BRANCH)).unwrap()
            return any("answer of" in each for each in view.waiting_for)

        await self.wait_until(is_waiting, "a call in flight")

    def slow_down_engines(self):
        """Slows the engines so that all turns can be observed in flight."""
        for process in self.cluster.engine_by_name.values():
            self.cluster.set_faults(process, slow_factor=SLOW_FACTOR)
            self.addCleanup(self.cluster.set_faults, process)

    def restart(self, host):
        self.cluster.restart_daemon(host)
        self.cluster.wait_ready(host)

    async def get_admin(self, process, path):
        async with httpx.AsyncClient(trust_env=False) as http:
            response = await http.get(f"{process.base_url}/admin/{path}")
        return json.loads(response.text)

    async def engine_stats(self):
        return {
            name: await self.get_admin(process, "stats")
            for name, process in self.cluster.engine_by_name.items()
        }

    async def cached_programs(self):
        """Returns the programs whose prefixes are cached in engines."""
        branches = [
            await self.get_admin(process, "branches")
            for process in self.cluster.engine_by_name.values()
        ]
        return {each["program_id"] for held in branches for each in held}
