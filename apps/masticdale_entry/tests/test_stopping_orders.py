"""Tests of the orders of events in which a planned stop meets a request.

A request that the host has read whole is owed a whole answer before the process
ends: the replica's, or else one that is true. Each test forces one order.
"""

import asyncio
import functools
import os
import signal
import socket
import time
import unittest
from unittest import mock

from case import (
    HOST,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING,
    EntryCase,
    RunningHost,
    event_ids,
    turn_headers,
)

from masticdale_entry import entry, main
from masticdale_gateway import callers
from masticdale_standins.objects import StoreFault
from masticdale_standins.raw_http import encode_response
from masticdale_standins.replicas import FakeReplica
from masticdale_standins.testing import free_port

# Grace of the hosts in these tests, in seconds. A host may use it up.
GRACE_S = 2.0
# Longer than the grace, so that the replica answers after the end.
ENDLESS_S = 60.0
# Statuses that promise that the request has not run.
NOT_RUN = (429, 503)
# Statuses that promise nothing.
MAY_HAVE_RUN = (502, 504)
# Steps of the event loop between the arrival of a request and a step of the
# stop. By then the request has been handed to its task.
STEPS = range(6)
LARGE_BODY = b"x" * (16 << 20)


def encode_call(request_id, path=IDEMPOTENT, **headers):
    fields = {"Host": HOST, "Request-Id": request_id, "Content-Length": "0"}
    fields |= {"Deadline-Ms": "20000"} | headers
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path}x HTTP/1.1\r\n{lines}\r\n".encode()


def pause_process(seconds):
    """Blocks the event loop, as a lack of processor time does."""
    time.sleep(seconds)


class Caller:
    """A caller that connects and sends without a step of the event loop."""

    def __init__(self, port, receive_buffer_bytes=0):
        self._socket = socket.socket()
        if receive_buffer_bytes:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._socket.settimeout(1.0)
        self._socket.connect(("127.0.0.1", port))
        self.received = bytearray()

    def send(self, data):
        self._socket.settimeout(1.0)
        self._socket.sendall(data)

    async def read(self, until=b"", seconds=5.0):
        """Reads until these bytes, or until the connection ends."""
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                while not until or until not in self.received:
                    data = await loop.sock_recv(self._socket, 1 << 20)
                    if not data:
                        break
                    self.received += data
        except (ConnectionError, TimeoutError):
            pass
        return self.received

    def close(self):
        self._socket.close()

    @property
    def statuses(self):
        heads = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads]


class LargeReplica(FakeReplica):
    """A replica whose responses exceed the buffers of the kernel."""

    async def _send_unary(self, connection, headers, fault):
        await connection.write(encode_response(200, headers, LARGE_BODY))


class OrderCase(EntryCase):
    """Hosts with a short grace whose process ends when ``run`` returns."""

    grace_s = GRACE_S

    async def asyncSetUp(self):
        patch = mock.patch.object(entry, "_BALANCER_DRAIN_S", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def add_host(self, name, seeds=(), peers_port=None):
        host = await super().add_host(name, seeds, peers_port)
        host.entry._settings = host.settings.model_copy(
            update={"grace_s": self.grace_s}
        )
        return host

    def call(self, data, host=None, **options):
        caller = Caller((host or self.host).callers_port, **options)
        self.addCleanup(caller.close)
        caller.send(data)
        return caller

    async def stop(self, host=None):
        """Stops a host as SIGTERM does, and ends it as the process ends."""
        (host or self.host).stop_event.set()
        await self.end(host)

    async def end(self, host=None):
        host = host or self.host
        await asyncio.wait({host.task}, timeout=self.grace_s + 0.5)
        # The end of the process, or SIGKILL, closes all connections and
        # discards what they have not sent.
        host.entry._relay.abort()

    async def wait_received(self, replicas, count=1):
        for _ in range(200):
            if len(self.requests_seen(replicas)) >= count:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the replicas have not received the requests")

    def run_as_listener_closes(self, host, action):
        """Runs an action after the last poll before the listener closes."""
        wait_idle = host.entry._wait_idle
        actions = [action]

        async def wait(deadline):
            await wait_idle(deadline)
            if actions:
                await actions.pop()()

        patch = mock.patch.object(host.entry, "_wait_idle", wait)
        patch.start()
        self.addCleanup(patch.stop)


class EndOfGraceTest(OrderCase):
    """Requests that are not answered when the grace period runs out."""

    async def test_a_request_at_a_silent_replica_gets_an_answer(self):
        """Guards against a closed connection in place of 502 or 504."""
        self.set_unary_replicas(processing_s=ENDLESS_S)
        caller = self.call(encode_call("r", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        await self.stop()
        await caller.read()
        self.assertIn(caller.statuses, [[s] for s in MAY_HAVE_RUN])

    async def test_a_request_read_late_in_the_drain_gets_an_answer(self):
        """Guards against cutting off requests read just before the end.

        One long request keeps the listener open for the whole grace, so that
        others are read until shortly before it ends.
        """
        self.set_unary_replicas(processing_s=ENDLESS_S)
        self.call(encode_call("long", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        started_at = time.monotonic()
        self.host.stop_event.set()
        reserve_s = (
            entry._FINAL_RESPONSES_S + entry._SETTLEMENTS_S + entry._EXIT_S
        )
        late = started_at + 0.8 * (GRACE_S - reserve_s)
        await asyncio.sleep(late - time.monotonic())
        try:
            caller = self.call(encode_call("late", NON_IDEMPOTENT))
        except ConnectionRefusedError:
            return  # The caller goes to another host.
        await self.end()
        await caller.read()
        self.assertIn(caller.statuses, [[s] for s in NOT_RUN + MAY_HAVE_RUN])

    async def test_no_connection_is_accepted_late_in_the_grace(self):
        """Guards against requests that come too late to be answered.

        One long request keeps the host from being idle, and a failure domain
        whose hosts all stop still sends callers to it.
        """
        self.set_unary_replicas(processing_s=ENDLESS_S)
        self.call(encode_call("long", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        self.host.stop_event.set()
        await asyncio.sleep(0.6 * GRACE_S)
        with self.assertRaises(ConnectionRefusedError):
            self.call(encode_call("late", NON_IDEMPOTENT))

    async def test_a_request_that_waits_for_the_ledger_is_refused(self):
        """Guards against a closed connection where nothing has run."""
        is_asked = asyncio.Event()

        async def admit(claim, deadline_at):
            is_asked.set()
            await asyncio.sleep(ENDLESS_S)

        with mock.patch.object(self.host.entry._ledger, "admit", admit):
            caller = self.call(
                encode_call("t", STREAMING, **turn_headers("t", program="p"))
            )
            await is_asked.wait()
            await self.stop()
        await caller.read()
        self.assertEqual(self.requests_seen(self.engines), [])
        self.assertEqual(caller.statuses, [503])

    async def test_a_stream_without_an_event_gets_an_answer(self):
        """Guards against a closed connection before the head of a stream."""
        self.set_engines(processing_s=ENDLESS_S)
        caller = self.call(encode_call("s", STREAMING))
        await self.wait_received(self.engines)
        await self.stop()
        await caller.read()
        self.assertIn(caller.statuses, [[s] for s in MAY_HAVE_RUN])

    async def test_a_stream_under_way_is_visibly_incomplete(self):
        """Guards against a broken stream that looks complete."""
        self.set_engines(event_interval_s=0.2, events=1000)
        caller = self.call(encode_call("s", STREAMING))
        await caller.read(until=b"id: 1\n")
        await self.stop()
        await caller.read()
        self.assertEqual(event_ids(caller.received.decode())[0], 1)
        self.assertNotIn(b"\r\n0\r\n\r\n", caller.received)


class LateRequestTest(OrderCase):
    """Guards against running late requests that the end of the grace cuts."""

    LATE_S = 0.2

    async def asyncSetUp(self):
        patch = mock.patch.object(entry, "_LATE_REQUESTS_S", self.LATE_S)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        # Keeps the listener open.
        self.set_unary_replicas(processing_s=ENDLESS_S)
        self.call(encode_call("long", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        self.set_unary_replicas(processing_s=0.0)

    async def send_late(self, path, deadline_ms):
        self.host.stop_event.set()
        await asyncio.sleep(2 * self.LATE_S)
        late = {"Deadline-Ms": str(deadline_ms)}
        caller = self.call(encode_call("late", path, **late))
        await self.end()
        await caller.read()
        seen = self.requests_seen([*self.engines, *self.unary_replicas])
        ids = [r.header_by_name["request-id"] for r in seen]
        return caller.statuses, ids.count("late")

    async def test_a_call_that_may_last_longer_is_refused(self):
        outcome = await self.send_late(NON_IDEMPOTENT, 20_000)
        self.assertEqual(outcome, ([503], 0))

    async def test_a_stream_that_may_last_longer_is_refused(self):
        outcome = await self.send_late(STREAMING, 20_000)
        self.assertEqual(outcome, ([503], 0))

    async def test_a_call_that_ends_before_is_served(self):
        outcome = await self.send_late(NON_IDEMPOTENT, 300)
        self.assertEqual(outcome, ([200], 1))


class ListenerCloseTest(OrderCase):
    """Requests that arrive as the listener and idle connections close."""

    async def assert_answered(self, open_caller, flush_s):
        """Sends a request before the listener closes, at each step before.

        Args:
            open_caller: Opens a caller's connection to a host.
            flush_s: How long the last settlements take, in seconds.
        """
        self.set_unary_replicas(processing_s=0.3)
        unanswered = {}
        for steps in STEPS:
            request_id = f"r{steps}"
            host = await self.add_host(f"host-{request_id}")
            caller = await open_caller(host)

            async def arrive(caller=caller, steps=steps, id_=request_id):
                caller.send(encode_call(id_, NON_IDEMPOTENT))
                for _ in range(steps):
                    await asyncio.sleep(0)

            async def flush():
                if flush_s:
                    await asyncio.sleep(flush_s)

            self.run_as_listener_closes(host, arrive)
            with mock.patch.object(host.entry._ledger, "flush", flush):
                await self.stop(host)
            answer = (await caller.read()).rpartition(b"HTTP/1.1 ")[2]
            if answer[:3] not in (b"200", b"503"):
                seen = self.requests_seen(self.unary_replicas)
                ids = [r.header_by_name["request-id"] for r in seen]
                unanswered[steps] = (
                    "passed on" if request_id in ids else "not passed on"
                )
        self.assertEqual(unanswered, {})

    async def test_connections_in_the_accept_queue_are_served(self):
        """Guards against a reset of callers that have sent a request.

        The kernel has accepted their connection, and the host reads it at most
        a few steps of the event loop later, or never.
        """
        await self.assert_answered(self.create_late_caller, flush_s=0.0)

    async def test_requests_read_as_the_last_settlements_are_sent(self):
        """Guards against passing on requests of which nobody waits for the end.

        Connections accepted just before the listener closes are read after the
        host has found that no request is in progress.
        """
        await self.assert_answered(self.create_late_caller, flush_s=0.1)

    async def test_requests_on_idle_connections_are_served(self):
        """Guards against closing an idle connection with a request in it.

        A host that is short of processor time has not yet read what the kernel
        holds for it.
        """
        await self.assert_answered(self.open_idle_caller, flush_s=0.1)

    async def test_callers_that_connect_during_a_pause_are_answered(self):
        """Guards against losing all callers that came while the host paused.

        After the pause they are accepted in one step, and the timer of the
        drain is due in the same one.
        """

        def connect():
            return self.call(encode_call("r", NON_IDEMPOTENT))

        statuses = await self.statuses_after_pause([connect, connect])
        passed_on = len(self.requests_seen(self.unary_replicas))
        self.assertEqual(statuses, [[200], [200]], f"passed on: {passed_on}")

    async def test_requests_on_kept_connections_in_a_pause_are_answered(self):
        """Guards against the same loss on connections that are open."""
        kept = [await self.open_idle_caller(self.host) for _ in range(2)]

        def send(caller):
            caller.send(encode_call("r", NON_IDEMPOTENT))
            return caller

        statuses = await self.statuses_after_pause(
            [functools.partial(send, caller) for caller in kept]
        )
        self.assertEqual(statuses, [[200], [200]])

    async def statuses_after_pause(self, actions):
        """Pauses the process beyond the drain, while callers act.

        Returns:
            The statuses that each caller has received at the end.
        """
        self.set_unary_replicas(processing_s=0.3)

        async def flush():
            await asyncio.sleep(0.1)

        drain_s = 0.3
        with (
            mock.patch.object(entry, "_BALANCER_DRAIN_S", drain_s),
            mock.patch.object(self.host.entry._ledger, "flush", flush),
        ):
            self.host.stop_event.set()
            await asyncio.sleep(drain_s / 2)
            acting = [action() for action in actions]
            pause_process(drain_s)
            await self.end()
        for caller in acting:
            await caller.read()
        return [caller.statuses for caller in acting]

    async def create_late_caller(self, host):
        return LateCaller(host.callers_port, self.addCleanup)

    async def open_idle_caller(self, host):
        caller = self.call(encode_call("first"), host)
        await caller.read(until=b"body of first")
        caller.received = b""
        return caller


class LateCaller:
    """A caller that connects only when it sends its request."""

    def __init__(self, port, add_cleanup):
        self._port = port
        self._add_cleanup = add_cleanup
        self._caller = None

    def send(self, data):
        self._caller = Caller(self._port)
        self._add_cleanup(self._caller.close)
        self._caller.send(data)

    async def read(self):
        return await self._caller.read()


class PipelinedTest(OrderCase):
    async def test_a_request_behind_a_stream_is_answered(self):
        """Guards against dropping a request that was read behind a stream.

        The head of the stream was sent before the stop, and so did not say
        that the connection will be closed.
        """
        self.set_engines(event_interval_s=0.2, events=4)
        caller = self.call(
            encode_call("s", STREAMING) + encode_call("next", IDEMPOTENT)
        )
        await caller.read(until=b"id: 1\n")
        await self.stop()
        await caller.read()
        self.assertNotIn(
            b"connection: close", caller.received.split(b"\r\n\r\n")[0].lower()
        )
        self.assertEqual(caller.statuses, [200, 200])


class FlushTest(OrderCase):
    """Responses that wait for a slow reader, which a busy machine slows more.

    The stop ends as soon as they are sent.
    """

    grace_s = 20.0

    async def start_stand_ins(self):
        await super().start_stand_ins()
        for replica in self.unary_replicas:
            self.store.remove("servers", replica.id)
            await replica.stop()
        self.unary_replicas = [LargeReplica("desk", False)]
        for replica in self.unary_replicas:
            await replica.start()
            self.store.put("servers", replica.id, replica.entry())

    async def test_a_response_to_a_slow_reader_is_sent_whole(self):
        """Guards against an end of the process with bytes not yet sent."""
        caller = self.call(encode_call("r"), receive_buffer_bytes=4096)
        await self.wait_received(self.unary_replicas)
        while not self.host.entry._relay.count_by_state().get("flushing"):
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(self.stop())
        # Longer than a stop takes that does not wait for the reader.
        await asyncio.sleep(GRACE_S / 4)
        await caller.read(seconds=self.grace_s)
        await stopping
        body = caller.received.partition(b"\r\n\r\n")[2]
        self.assertEqual(len(body), len(LARGE_BODY))

    async def test_a_slow_reader_of_the_drain_gets_the_whole_response(self):
        """Guards against cutting off a reader while there is time left."""
        with (
            mock.patch.object(entry, "_BALANCER_DRAIN_S", 0.8),
            mock.patch.object(callers, "_LINGER_S", 0.1),
        ):
            self.host.stop_event.set()
            caller = self.call(encode_call("r"), receive_buffer_bytes=4096)
            await self.wait_received(self.unary_replicas)
            await asyncio.sleep(0.4)
            self.assertFalse(self.host.task.done())
            await caller.read(seconds=self.grace_s)
        body = caller.received.partition(b"\r\n\r\n")[2]
        self.assertEqual(len(body), len(LARGE_BODY))


class HandoverTest(OrderCase):
    """Handovers of shards that hold up the stop or fail."""

    async def test_a_handover_that_hangs_leaves_time_for_answers(self):
        """Guards against SIGKILL in the middle of the stop.

        The listener is open until then, and what was read is cut off.
        """

        async def hang():
            await asyncio.sleep(ENDLESS_S)

        self.set_unary_replicas(processing_s=ENDLESS_S)
        with mock.patch.object(
            self.host.entry._reconciler, "hand_over_all", hang
        ):
            self.host.stop_event.set()
            caller = self.call(encode_call("r", NON_IDEMPOTENT))
            await self.end()
        self.assertTrue(self.host.task.done())
        await caller.read()
        self.assertIn(caller.statuses, [[s] for s in MAY_HAVE_RUN])

    async def test_a_handover_that_raises_cuts_nothing_off(self):
        """Guards against an end of the process with requests in progress."""

        async def fail():
            raise RuntimeError("handover")

        self.set_unary_replicas(processing_s=0.3)
        caller = self.call(encode_call("r", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        with mock.patch.object(
            self.host.entry._reconciler, "hand_over_all", fail
        ):
            await self.stop()
        await caller.read()
        self.assertEqual(caller.statuses, [200])


class SignalTest(OrderCase):
    async def test_signals_during_the_stop_change_nothing(self):
        """Guards against a stop cut short by another SIGTERM or SIGHUP."""
        self.set_unary_replicas(processing_s=0.4)
        host = RunningHost("signalled", self.store.port)
        loop = asyncio.get_running_loop()
        self.addCleanup(host.http.aclose)
        process = asyncio.create_task(main._run(host.settings, "missing.json"))
        while await self.readiness(host) != 200:
            await asyncio.sleep(0.05)
        caller = self.call(encode_call("r", NON_IDEMPOTENT), host)
        await self.wait_received(self.unary_replicas)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.02)
        await caller.read()
        await process
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            loop.remove_signal_handler(number)
        self.assertEqual(caller.statuses, [200])

    async def readiness(self, host):
        try:
            page = await host.fetch(host.ports[1], "/api/ready")
        except OSError:
            return 0
        except Exception as error:
            if "Connect" not in type(error).__name__:
                raise
            return 0
        return page.status_code


class OtherHostTest(OrderCase):
    async def test_a_turn_that_waits_for_a_stopping_owner_is_admitted(self):
        """Guards against failures at hosts whose calls the stop cuts off."""
        other = await self.add_host("host-2", [self.host.peers_port])
        await self.wait_shards_owned()
        owner, asker = self.host, other
        programs = (f"p{n}" for n in range(1000))
        program = next(
            p
            for p in programs
            if owner.entry.shard_of(p) in owner.entry.owned_shards
        )
        is_asked = asyncio.Event()

        async def admit(request):
            is_asked.set()
            await asyncio.sleep(ENDLESS_S)

        handler = owner.entry._peer_server._handler
        with mock.patch.object(handler, "admit", admit):
            turn = asyncio.create_task(
                self.send_turn("t", host=asker, program=program)
            )
            await is_asked.wait()
            await self.stop(owner)
            response = await turn
        self.assertEqual(response.status_code, 200)


class StartTest(OrderCase):
    async def test_a_request_before_the_configuration_is_refused(self):
        """Guards against silence between the start and the configuration."""
        self.store.faults.fault = StoreFault.UNRESPONSIVE
        host = RunningHost("starting", self.store.port)
        self.hosts.append(host)
        host.start()
        while host.entry._listener is None:
            await asyncio.sleep(0)
        caller = self.call(encode_call("r"), host)
        await caller.read(until=b"\r\n\r\n")
        self.assertEqual(caller.statuses, [503])

    async def test_a_stop_before_the_configuration_answers(self):
        """Guards against a stop of a starting host that drops callers."""
        patch = mock.patch.object(entry, "_BALANCER_DRAIN_S", 0.3)
        patch.start()
        self.addCleanup(patch.stop)
        self.store.faults.fault = StoreFault.UNRESPONSIVE
        host = RunningHost("starting", self.store.port, [free_port()])
        self.hosts.append(host)
        host.start()
        while host.entry._listener is None:
            await asyncio.sleep(0)
        host.stop_event.set()
        caller = self.call(encode_call("r"), host)
        await self.end(host)
        await caller.read()
        self.assertEqual(caller.statuses, [503])


if __name__ == "__main__":
    unittest.main()
