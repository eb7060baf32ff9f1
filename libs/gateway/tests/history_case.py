"""Test case of a relay that keeps histories, without network and disks."""

import asyncio
import dataclasses
import types
import unittest

from returns.result import Failure as Failed
from returns.result import Success
from test_closing_connections import Transport, close, run_steps

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.codec import RequestMetadata, ResponseMetadata
from masticdale_gateway.messages import LAST_CHUNK, Headers, ResponseHead
from masticdale_gateway.relay import Relay, RelayDependencies
from masticdale_gateway.transports import ConnectionLostError
from masticdale_routing.fleet import Fleet, Replica
from masticdale_routing.routes import Route, RouteKind, WeightedService
from masticdale_workspaces import Workspace

SERVICE = "model"
# The connection is lost here, inside a response.
LOST = object()
END = None


class MemoryHistory:
    """A ``TurnHistory`` in memory; can fail or be slow.

    Attributes:
        chain_by_key: The durable turns, by workspace and id.
        load_failure: Result of each load; None for none.
        room_failure: Result of each check for room.
        save_failure: Result of each save; None for none.
        may_save: Cleared to hold up each save.
        saving: Set once a save has begun.
        calls: Names of the methods called, in order.
    """

    def __init__(self):
        self.chain_by_key = {}
        self.load_failure = None
        self.room_failure = None
        self.save_failure = None
        self.may_save = asyncio.Event()
        self.may_save.set()
        self.saving = asyncio.Event()
        self.calls = []

    def record(self, turn_id, workspace=""):
        return self.chain_by_key[workspace, turn_id].records[-1]

    async def load(
        self, request_id, workspace, turn_id, session_id, deadline_at
    ):
        self.calls.append("load")
        if self.load_failure is not None:
            return Failed(self.load_failure)
        chain = self.chain_by_key.get((workspace, turn_id))
        if chain is None:
            return Failed(Failure(ErrorKind.TURN_UNKNOWN))
        return Success(chain)

    def check_room(self):
        self.calls.append("check_room")
        return self.room_failure

    async def save(self, request_id, record, chain, deadline_at):
        self.calls.append("save")
        self.saving.set()
        await self.may_save.wait()
        if self.save_failure is not None:
            return Failed(self.save_failure)
        key = (record.workspace, record.turn_id)
        self.chain_by_key[key] = chain.with_turn(record)
        return Success(None)


class Codec:
    """Header fields with short names."""

    def parse_request(self, headers):
        def text(name):
            return (headers.get(name) or b"").decode()

        deadline_ms = text(b"deadline-ms")
        return RequestMetadata(
            request_id=text(b"request-id"),
            deadline_s=float(deadline_ms) / 1000 if deadline_ms else None,
            last_event_id=text(b"last-event-id"),
            previous_turn_id=text(b"previous-turn"),
            session_id=text(b"session-id"),
            program_id=text(b"program-id"),
            budget_tokens=1 if text(b"program-id") else None,
        )

    def parse_response(self, head):
        return ResponseMetadata(is_rejected=False, is_usable=True)

    def matches_request(self, head, request_id):
        return True

    def request_headers(self, headers, metadata):
        fields = headers.end_to_end()
        if metadata.last_event_id:
            fields.append((b"Resumes-After", metadata.last_event_id.encode()))
        return fields

    def response_headers(self, head):
        return []

    def error_headers(self, request_id, retry_after_s):
        return [(b"Retry-After", b"%r" % retry_after_s)]


class ReplicaConnection:
    """A connection to a replica that sends prepared responses.

    Attributes:
        sent: The requests received.
        responses: For each request its status and its chunks, END or LOST.
    """

    def __init__(self):
        self.sent = []
        self.responses = []
        self.skipped_responses = 0
        self._items = []

    def send(self, data, matches):
        self.sent.append(data)

    async def read_head(self):
        status, self._items = self.responses.pop(0)
        return ResponseHead(status, Headers(), keeps_alive=True)

    async def read_chunk(self):
        item = self._items.pop(0)
        if item is LOST:
            raise ConnectionLostError
        return item

    def abort(self):
        pass

    @property
    def bodies(self):
        return [data.split(b"\r\n\r\n", 1)[1] for data in self.sent]


class Pool:
    def __init__(self, connection):
        self._connection = connection

    async def acquire(self, replica, max_idle_s):
        return self._connection

    async def refuses(self, replica):
        return False

    def release(self, replica, connection):
        pass


class Ledger:
    """Refuses every claim, and keeps it."""

    def __init__(self):
        self.claims = []

    async def admit(self, claim, deadline_at):
        self.claims.append(claim)
        return Failed(Failure(ErrorKind.BUDGET_EXCEEDED))

    def settle(self, claim, used_tokens, end):
        pass


def event(number, *lines):
    """Returns the bytes of an event with these data lines."""
    data = b"".join(b"data: %b\n" % line for line in lines)
    return b"id: %d\n%b\n" % (number, data)


def request(request_id, body=b"", **fields):
    """Returns the bytes of a turn."""
    lines = [b"POST /turns/x HTTP/1.1", b"Host: a.example"]
    lines.append(b"Request-Id: " + request_id.encode())
    lines += [
        f"{name.replace('_', '-')}: {value}".encode()
        for name, value in fields.items()
    ]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class HistoryCase(unittest.IsolatedAsyncioTestCase):
    """A relay with one replica, and a caller's connection to it."""

    async def asyncSetUp(self):
        self.history = MemoryHistory()
        self.ledger = Ledger()
        self.metrics = Metrics()
        self.workspace = ""
        self.route = Route(
            name="turns",
            virtual_host="a.example",
            path_prefix="/turns/",
            kind=RouteKind.STREAMING,
            timeout_s=10.0,
            latency_objective_s=1.0,
            priority=0,
            services=(WeightedService(SERVICE, 1),),
            max_attempts=1,
            is_resumable=True,
            retention_s=60.0,
        )
        fleet = Fleet("a")
        fleet.put(Replica("r", SERVICE, "127.0.0.1", 1, "a", 8, False))
        self.relay = Relay(
            RelayDependencies(
                configuration=self._configuration,
                fleet=fleet,
                ledger=self.ledger,
                codec=Codec(),
                metrics=self.metrics,
                history=self.history,
            )
        )
        self.replica = ReplicaConnection()
        pool = Pool(self.replica)
        sender = self.relay._streams._sender
        sender.pool = sender.crashes._pool = pool
        self.connect()

    def connect(self):
        """Opens a new connection of a caller."""
        self.connection = self.relay.create_connection()
        self.transport = Transport(self.connection)
        self.connection.connection_made(self.transport)
        self.addAsyncCleanup(close, self.transport)

    def _configuration(self):
        workspaces = None
        if self.workspace:
            workspace = Workspace(self.workspace, frozenset(), None, None)
            workspaces = types.SimpleNamespace(
                authenticate=lambda digests, allows_anonymous: Success(
                    workspace
                )
            )
        return types.SimpleNamespace(
            version=1,
            table=types.SimpleNamespace(find=lambda host, path: self.route),
            service_by_name={},
            limits=types.SimpleNamespace(
                header_bytes=16_384,
                body_bytes=9 << 20,
                request_timeout_s=10.0,
                idle_timeout_s=60.0,
            ),
            workspaces=workspaces,
        )

    def set_route(self, **changes):
        self.route = dataclasses.replace(self.route, **changes)

    def answer(self, *chunks, status=200):
        """Prepares the next response of the replica."""
        self.replica.responses.append((status, list(chunks)))

    async def send(self, request_id, body=b"", **fields):
        """Sends a turn and lets everything run that waits for no time."""
        self.transport.written = b""
        self.connection.data_received(request(request_id, body, **fields))
        await run_steps(50)
        return self.transport.written

    async def run_turn(self, request_id, body, *chunks, **fields):
        """Runs a turn to its end; the replica sends these chunks."""
        self.answer(*chunks, END)
        received = await self.send(request_id, body, **fields)
        self.assertTrue(received.endswith(LAST_CHUNK))

    def assert_incomplete(self):
        self.assertIn(b"200", self.transport.written)
        self.assertFalse(self.transport.written.endswith(LAST_CHUNK))

    def assert_refused(self, received, status):
        self.assertIn(b"HTTP/1.1 %d" % status, received)
        self.assertEqual(self.replica.sent, [])
