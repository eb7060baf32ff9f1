"""Tests of API keys and usage caps through real hosts."""

import asyncio
import collections
import time
import unittest

import eliot
from case import (
    HOST,
    IDEMPOTENT,
    EntryCase,
    configuration,
    free_port,
    route,
    send_raw,
    turn_headers,
)

OPEN = "/open/"
KEY = "key-of-alpha-000001"
OTHER_KEY = "key-of-alpha-000002"
BETA_KEY = "key-of-beta-0000001"
CAPPED_KEY = "key-of-capped-0001"
RATE_PER_S = 20
BURST = 10


def configured(version=1, alpha_keys=(KEY, OTHER_KEY)):
    """Returns a configuration with two workspaces and an open route."""
    opened = route(OPEN, "idempotent", "desk", allow_anonymous=True)
    return configuration(version, [opened]) | {
        "tenants": [
            {"name": "alpha", "api_keys": list(alpha_keys), "priority": 1},
            {
                "name": "capped",
                "api_keys": [CAPPED_KEY],
                "rate_per_s": RATE_PER_S,
                "burst": BURST,
            },
        ]
    }


class WorkspaceCase(EntryCase):
    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.store.put("config", "main", configured())
        self.host = await self.add_host("host-1")
        await self.wait_shards_owned()

    async def call(self, request_id, host=None, path=IDEMPOTENT, **headers):
        return await self.send(path, request_id, host=host, **headers)

    def workspaces_seen(self):
        """Returns the workspace named to a replica, by request."""
        return {
            seen.header_by_name["request-id"]: seen.header_by_name.get(
                "tenant-id"
            )
            for seen in self.requests_seen(self.unary_replicas)
        }


class BudgetTest(WorkspaceCase):
    async def test_programs_of_two_workspaces_may_have_one_id(self):
        """Guards against a budget that is spent by another workspace."""
        # The same owner counts for both.
        shard = self.host.entry.shard_of("alpha")
        name = next(
            name
            for name in (f"beta-{n}" for n in range(100))
            if self.host.entry.shard_of(name) == shard
        )
        config = configured(2)
        config["tenants"].append({"name": name, "api_keys": [BETA_KEY]})
        self.store.put("config", "main", config)
        await asyncio.sleep(0.5)
        statuses = []
        for key in (KEY, BETA_KEY):
            for number in range(3):
                response = await self.send_turn(
                    f"{key}-{number}",
                    program="same",
                    budget=50,
                    turn_tokens=40,
                    **{"Api-Key": key},
                )
                statuses.append(response.status_code)
        # A turn has 40 tokens.
        self.assertEqual(statuses, 2 * [200, 402, 402])


class KeyTest(WorkspaceCase):
    async def test_a_replica_gets_the_name_of_the_workspace(self):
        response = await self.call("r1", Api_Key=KEY, Tenant_Id="capped")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(self.workspaces_seen(), {"r1": "alpha"})

    async def test_requests_without_a_valid_key_are_not_run(self):
        cases = (
            ("missing", [], 401),
            ("unknown", [b"Api-Key: nobody"], 401),
            ("empty", [b"Api-Key:"], 401),
            ("long", [b"Api-Key: " + b"k" * 4000], 401),
            ("not ASCII", [b"Api-Key: \xff\xfe" + KEY.encode()], 401),
            ("with a scheme", [b"Api-Key: Bearer " + KEY.encode()], 401),
            (
                "two",
                [b"Api-Key: " + KEY.encode(), b"API-KEY: " + KEY.encode()],
                400,
            ),
        )
        for name, fields, status in cases:
            with self.subTest(name):
                head = [
                    b"GET " + IDEMPOTENT.encode() + b"x HTTP/1.1",
                    b"Host: " + HOST.encode(),
                    b"Request-Id: r",
                    b"Connection: close",
                    *fields,
                ]
                received = await send_raw(
                    self.host.callers_port, b"\r\n".join(head) + b"\r\n\r\n"
                )
                self.assertIn(f"HTTP/1.1 {status} ".encode(), received[:16])
        self.assertEqual(self.workspaces_seen(), {})

    async def test_no_key_reaches_a_replica(self):
        """Guards against a key that a replica, or who owns it, could use."""
        for path in (IDEMPOTENT, OPEN):
            for name in ("api-key", "API-KEY", "Api-Key", "aPi-kEY"):
                await self.send(path, f"{path}{name}", **{name: KEY})
            fields = {
                "Host": HOST,
                "Request-Id": f"{path}_",
                "Api-Key": KEY,
                "Api_Key": KEY,
                "Tenant_Id": "capped",
            }
            await self.host.http.get(f"{path}x", headers=fields)
        await self.host.http.post(
            "/turns/x",
            headers={"Host": HOST, "Api-Key": KEY}
            | turn_headers("turn", "program"),
            content=b"{}",
        )
        seen = self.requests_seen([*self.unary_replicas, *self.engines])
        self.assertEqual(len(seen), 11)
        for request in seen:
            fields = str(request.header_by_name)
            self.assertNotIn(KEY, fields)
            self.assertNotIn("capped", fields)
            self.assertEqual(request.header_by_name["tenant-id"], "alpha")

    async def test_a_trailer_names_no_workspace(self):
        """Guards against fields after the body that replace those before."""
        body = b"1\r\nx\r\n0\r\nTenant-Id: capped\r\nApi-Key: z\r\n\r\n"
        head = (
            f"POST {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: r1\r\nApi-Key: {KEY}\r\nConnection: close\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        received = await send_raw(self.host.callers_port, head.encode() + body)
        self.assertIn(b"HTTP/1.1 200 ", received)
        self.assertEqual(self.workspaces_seen(), {"r1": "alpha"})

    async def test_open_routes_serve_requests_without_a_key(self):
        response = await self.call("r1", path=OPEN, Tenant_Id="alpha")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(self.workspaces_seen(), {"r1": None})
        response = await self.call("r2", path=OPEN, Api_Key="nobody")
        self.assertEqual(response.status_code, 401)

    async def test_a_key_that_is_taken_away_is_refused_on_open_connections(
        self,
    ):
        self.assertEqual(
            (await self.call("r1", Api_Key=OTHER_KEY)).status_code, 200
        )
        self.store.put("config", "main", configured(2, alpha_keys=[KEY]))
        deadline = time.monotonic() + 2.0
        statuses = []
        while time.monotonic() < deadline and 401 not in statuses:
            response = await self.call(f"q{len(statuses)}", Api_Key=OTHER_KEY)
            statuses.append(response.status_code)
            await asyncio.sleep(0.05)
        self.assertEqual(statuses[-1], 401)
        self.assertEqual((await self.call("r2", Api_Key=KEY)).status_code, 200)

    async def test_no_key_is_logged_dumped_or_counted(self):
        lines = []
        eliot.add_destinations(lines.append)
        self.addCleanup(eliot.remove_destination, lines.append)
        await self.call("r1", Api_Key=KEY)
        await self.call("r2", Api_Key="nobody-0001")
        response = await self.call("r3", Api_Key=KEY, path="/none/")
        metrics_port = self.host.ports[3]
        pages = [
            (await self.host.fetch(metrics_port, path)).text
            for path in ("/metrics", "/state")
        ]
        self.assertIn("r1", str(lines))
        for text in (str(lines), response.text, *pages):
            self.assertNotIn(KEY, text)
            self.assertNotIn("nobody-0001", text)


class CapTest(WorkspaceCase):
    """A cap holds for all hosts together."""

    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.store.put("config", "main", configured())
        ports = [free_port() for _ in range(3)]
        for number, port in enumerate(ports):
            await self.add_host(f"host-{number}", ports, port)
        self.host = self.hosts[0]
        await self.wait_shards_owned()

    async def flood(self, seconds, hosts):
        """Sends far more than the cap through hosts; returns the statuses."""
        statuses = collections.Counter()
        deadline = time.monotonic() + seconds

        async def send(host, number):
            count = 0
            while time.monotonic() < deadline:
                count += 1
                try:
                    response = await self.call(
                        f"{host.name}-{number}-{count}",
                        host=host,
                        Api_Key=CAPPED_KEY,
                    )
                except Exception:
                    statuses["broken"] += 1
                    await asyncio.sleep(0.05)
                    continue
                statuses[response.status_code] += 1
                if response.status_code != 200:
                    self.assertGreater(
                        float(response.headers["retry-after"]), 0
                    )
                await asyncio.sleep(0.02)

        await asyncio.gather(*(send(h, n) for h in hosts for n in range(3)))
        return statuses

    def runs(self):
        return len(self.requests_seen(self.unary_replicas))

    async def test_it_holds_over_all_hosts(self):
        statuses = await self.flood(2.0, self.hosts)
        self.assertLessEqual(self.runs(), BURST + 2.5 * RATE_PER_S)
        self.assertGreaterEqual(self.runs(), BURST + 1.5 * RATE_PER_S)
        self.assertGreater(statuses[429], 0)
        self.assertEqual(statuses[503], 0)

    async def test_it_holds_while_its_owner_is_lost(self):
        """Guards against a burst that is granted once by each owner."""
        owner = next(h for h in self.hosts if h.entry.owned_shards)
        others = [h for h in self.hosts if h is not owner]
        flood = asyncio.create_task(self.flood(4.0, others))
        await asyncio.sleep(1.0)
        await owner.kill()
        statuses = await flood
        self.assertLessEqual(self.runs(), BURST + 4.5 * RATE_PER_S)
        self.assertGreaterEqual(self.runs(), BURST + RATE_PER_S)
        self.assertGreater(statuses[429], 0)

    async def test_other_workspaces_are_not_refused(self):
        flood = asyncio.create_task(self.flood(1.0, self.hosts))
        for number in range(20):
            response = await self.call(f"alpha-{number}", Api_Key=KEY)
            self.assertEqual(response.status_code, 200)
        await flood


if __name__ == "__main__":
    unittest.main()
