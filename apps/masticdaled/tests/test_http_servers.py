"""Tests of the HTTP servers at a planned stop."""

import asyncio
import unittest

import litestar

from masticdale_peers import Address
from masticdale_standins.testing import free_port
from masticdaled.http_servers import create_http_server

FINISH_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


class HttpServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.arrived = asyncio.Semaphore(0)
        self.proceed = asyncio.Event()

    async def start(self, finish_s):
        @litestar.get("/")
        async def answer() -> str:
            self.arrived.release()
            await self.proceed.wait()
            return "whole"

        self.port = free_port()
        app = litestar.Litestar([answer], logging_config=None)
        address = Address(ip="127.0.0.1", port=self.port)
        self.server = create_http_server(app, address, finish_s)
        self.serving = asyncio.create_task(self.server.serve())
        self.addAsyncCleanup(self.stop)
        while not self.server.started:
            await asyncio.sleep(0)

    async def stop(self):
        self.proceed.set()
        self.server.should_exit = True
        await self.serving

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer


class FinishTest(HttpServerTestCase):
    async def test_request_is_finished_within_part_of_a_second(self):
        """A stop with finish_s below 1 s cut off every request at once."""
        await self.start(0.9)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.arrived.acquire()
        self.server.should_exit = True
        asyncio.get_running_loop().call_later(0.4, self.proceed.set)
        self.assertIn(b"200 OK", await reader.read())


class LeavingTest(HttpServerTestCase):
    async def test_responses_of_a_leaving_host_end_their_connections(self):
        """A caller's next request met a connection that the stop closed."""
        await self.start(FINISH_S)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await self.arrived.acquire()
        self.server.end_kept_connections()
        self.proceed.set()
        async with asyncio.timeout(FINISH_S):
            self.assertIn(b"connection: close", await reader.read())
        # uvicorn renews the headers of its responses once a second.
        await self.server.on_tick(0)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        async with asyncio.timeout(FINISH_S):
            self.assertIn(b"connection: close", await reader.read())


if __name__ == "__main__":
    unittest.main()
