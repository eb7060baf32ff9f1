"""Tests of forwarding requests through one entry host."""

import asyncio
import unittest

from case import (
    HOST,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING,
    EntryCase,
    event_ids,
    send_raw,
    turn_headers,
)

from masticdale_standins.replicas import ReplicaFault


class ForwardingTest(EntryCase):
    async def test_a_unary_request_is_served(self):
        response = await self.send(IDEMPOTENT, "r1")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.content, b"body of r1")
        (seen,) = self.requests_seen(self.unary_replicas)
        self.assertEqual(seen.body, b"body")
        self.assertEqual(seen.target, IDEMPOTENT + "x")
        self.assertLessEqual(int(seen.header_by_name["deadline-ms"]), 2500)
        self.assertIn(
            response.headers["response-seal"],
            f"seal-{seen.header_by_name['expect-instance']}-r1",
        )

    async def test_a_stream_is_served(self):
        await self.wait_shards_owned()
        response = await self.send_turn("r1", program="p")
        self.assertEqual(response.status_code, 200)
        self.assertEqual(event_ids(response.text), [1, 2, 3, 4])

    async def test_unknown_routes_are_not_found(self):
        response = await self.send("/nothing/", "r1")
        self.assertEqual(response.status_code, 404)

    async def test_callers_cannot_set_reserved_headers(self):
        """Guards against a caller claiming the memory of another request.

        Headers that order replicas to reserve or move memory are dropped.
        """
        await self.wait_shards_owned()
        await self.send_turn(
            "r1",
            **{"Kv-Hold": "1", "Pin-Ms": "9", "Kv-Backup": "x", "Kv-From": "y"},
        )
        (seen,) = self.requests_seen(self.engines)
        for name in ("kv-hold", "pin-ms", "kv-backup", "kv-from"):
            self.assertNotIn(name, seen.header_by_name)


class FaultTest(EntryCase):
    async def test_a_full_replica_passes_the_request_on(self):
        self.unary_replicas[0].behaviour.fault = ReplicaFault.OVERLOADED
        for n in range(8):
            response = await self.send(NON_IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)

    async def test_a_refusal_that_breaks_off_passes_the_request_on(self):
        """Guards against treating a rejected request as possibly executed.

        The head of the response states the rejection; the connection closes
        inside the body.
        """
        self.unary_replicas[
            0
        ].behaviour.fault = ReplicaFault.OVERLOADED_TRUNCATED
        for n in range(8):
            response = await self.send(NON_IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)

    async def test_all_full_is_said_at_once_with_a_time(self):
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        began = asyncio.get_running_loop().time()
        response = await self.send(NON_IDEMPOTENT, "r1")
        self.assertEqual(response.status_code, 503)
        self.assertGreater(float(response.headers["retry-after"]), 0)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.5)

    async def test_what_must_not_run_twice_is_sent_once(self):
        """Guards against executing a non-idempotent request twice.

        The replica executes the request, but its response is lost or unusable.
        The caller gets 502, which leaves open whether it was executed.
        """
        for fault in (
            ReplicaFault.RESET,
            ReplicaFault.MALFORMED,
            ReplicaFault.UNSIGNED,
            ReplicaFault.ENCODED,
            ReplicaFault.TRUNCATED,
            ReplicaFault.CLOSE_DELIMITED_RESET,
        ):
            with self.subTest(fault=fault):
                self.set_unary_replicas(fault=fault, faulty_requests=1_000)
                before = len(self.requests_seen(self.unary_replicas))
                response = await self.send(NON_IDEMPOTENT, f"r-{fault.name}")
                self.assertEqual(response.status_code, 502)
                self.assertEqual(
                    len(self.requests_seen(self.unary_replicas)) - before, 1
                )

    async def test_a_retriable_request_is_sent_again(self):
        for fault in (
            ReplicaFault.RESET,
            ReplicaFault.MALFORMED,
            ReplicaFault.UNSIGNED,
            ReplicaFault.TRUNCATED,
            ReplicaFault.UNRESPONSIVE,
        ):
            with self.subTest(fault=fault):
                self.unary_replicas[0].behaviour.fault = fault
                self.unary_replicas[1].behaviour.fault = ReplicaFault.NONE
                for n in range(3):
                    response = await self.send(IDEMPOTENT, f"{fault.name}-{n}")
                    self.assertEqual(response.status_code, 200)

    async def test_a_late_response_to_another_request_is_skipped(self):
        """Guards against delivering a response to the wrong caller.

        The replica first sends a response with another request's id.
        """
        self.set_unary_replicas(fault=ReplicaFault.WRONG_REQUEST)
        response = await self.send(NON_IDEMPOTENT, "r1")
        self.assertEqual(response.content, b"body of r1")

    async def test_bytes_after_a_response_are_discarded(self):
        self.set_unary_replicas(fault=ReplicaFault.EXTRA_RESPONSE)
        for n in range(6):
            response = await self.send(IDEMPOTENT, f"r{n}")
            self.assertEqual(response.content, f"body of r{n}".encode())

    async def test_a_response_without_length_ends_with_its_connection(self):
        self.set_unary_replicas(fault=ReplicaFault.CLOSE_DELIMITED)
        response = await self.send(NON_IDEMPOTENT, "r1")
        self.assertEqual(response.content, b"body of r1")

    async def test_a_replicas_own_error_is_forwarded(self):
        self.set_unary_replicas(fault=ReplicaFault.SERVER_ERROR)
        response = await self.send(IDEMPOTENT, "r1")
        self.assertEqual(response.status_code, 500)
        self.assertIn("response-seal", response.headers)

    async def test_a_replica_at_a_reused_address_runs_nothing(self):
        """Guards against the wrong service executing a request.

        The list still names a replica whose address now belongs to another
        one, which rejects the request by its expected replica id.
        """
        other = self.unary_replicas[0]
        self.store.put("servers", "i-gone", other.entry())
        self.store.remove("servers", other.id)
        await asyncio.sleep(0.8)
        for n in range(6):
            response = await self.send(NON_IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)

    async def test_a_dead_replica_is_passed_over(self):
        await self.unary_replicas[0].stop()
        for n in range(6):
            response = await self.send(NON_IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)


class StreamFaultTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.wait_shards_owned()

    async def test_a_cut_stream_resumes_after_its_last_event(self):
        """Guards against duplicated, partial or missing events.

        The replica resets the connection inside an event. It still accepts
        connections, so the stream resumes there.
        """
        self.set_engines(fault=ReplicaFault.TRUNCATED, faulty_requests=1)
        response = await self.send_turn("r1", program="p")
        self.assertEqual(event_ids(response.text), [1, 2, 3, 4])
        self.assertNotIn("ha", response.text.replace("shard", ""))
        served = [e for e in self.engines if e.received_requests]
        self.assertEqual(len(served), 1)

    async def test_a_stream_of_a_crashed_replica_resumes_elsewhere(self):
        self.set_engines(event_interval_s=0.1, events=8)
        task = asyncio.create_task(self.send_turn("r1", program="p"))
        await asyncio.sleep(0.35)
        (first,) = (e for e in self.engines if e.received_requests)
        await first.stop()
        response = await task
        self.assertEqual(event_ids(response.text), list(range(1, 9)))

    async def test_a_stream_that_cannot_resume_does_not_look_complete(self):
        self.set_engines(
            fault=ReplicaFault.TRUNCATED, events_before_cut=1, events=20
        )
        head = "\r\n".join(
            f"{k}: {v}" for k, v in turn_headers("r1", "p").items()
        )
        received = await send_raw(
            self.host.callers_port,
            f"POST {STREAMING}x HTTP/1.1\r\nHost: {HOST}\r\n{head}\r\n"
            "Content-Length: 0\r\n\r\n".encode(),
            seconds=4,
        )
        self.assertIn(b"200", received)
        self.assertNotIn(b"\r\n0\r\n\r\n", received)

    async def test_an_unsigned_stream_is_not_forwarded(self):
        self.set_engines(fault=ReplicaFault.UNSIGNED)
        response = await self.send_turn("r1", program="p")
        self.assertEqual(response.status_code, 502)


class CallerTest(EntryCase):
    async def test_a_caller_that_leaves_frees_its_replica(self):
        """Guards against replicas working on abandoned requests.

        The replica's connection closes within half a second of the caller's.
        """
        self.set_unary_replicas(processing_s=3.0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.host.callers_port
        )
        writer.write(
            f"GET {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
            "Request-Id: r1\r\nDeadline-Ms: 2000\r\n\r\n".encode()
        )
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.4)
        self.assertEqual(sum(d.abandoned for d in self.unary_replicas), 1)
        del reader

    async def test_a_request_inside_another_is_refused(self):
        """Guards against request smuggling.

        Two framings or Host fields make the end or the target of a request
        ambiguous.
        """
        for text in (
            f"POST {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
            "Content-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            f"GET {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
            "Host: b.example\r\n\r\n",
            f"GET {IDEMPOTENT}x HTTP/1.1\r\n\r\n",
            f"POST {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
            "Content-Length: 3\r\n"
            "Content-Length: 9\r\n\r\nabc",
        ):
            with self.subTest(text=text):
                received = await send_raw(self.host.callers_port, text.encode())
                self.assertTrue(received.startswith(b"HTTP/1.1 400"))
                self.assertEqual(self.requests_seen(self.unary_replicas), [])

    async def test_limits(self):
        start = f"GET {IDEMPOTENT}x HTTP/1.1\r\nHost: {HOST}\r\n"
        for text, status in (
            (start + "A: " + "x" * 20_000, b"431"),
            (start + "A: " + "x" * 17_000 + "\r\n\r\n", b"431"),
            (start + "Content-Length: 200000\r\n\r\n", b"413"),
            (start, b"408"),
        ):
            with self.subTest(status=status):
                received = await send_raw(self.host.callers_port, text.encode())
                self.assertEqual(received[9:12], status)

    async def test_the_callers_deadline_ends_a_request(self):
        self.set_unary_replicas(processing_s=5.0)
        began = asyncio.get_running_loop().time()
        response = await self.send(NON_IDEMPOTENT, "r1", Deadline_Ms="600")
        took = asyncio.get_running_loop().time() - began
        self.assertEqual(response.status_code, 504)
        self.assertLess(took, 1.0)


if __name__ == "__main__":
    unittest.main()
