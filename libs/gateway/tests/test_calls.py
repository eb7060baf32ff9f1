"""Tests of routed requests."""

import unittest

from masticdale_gateway.calls import Call
from masticdale_gateway.codec import RequestMetadata
from masticdale_gateway.messages import Headers, Request
from masticdale_routing.routes import (
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from masticdale_workspaces import Workspace


def create_call(
    request_id="r1",
    program_id="p1",
    host=b"a.example",
    target=b"/lookups/x?n=1",
    body=b"body",
    workspace="",
):
    headers = Headers([(b"Host", host), (b"Request-Id", request_id.encode())])
    route = Route(
        "lookups",
        "a.example",
        "/lookups/",
        RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        latency_objective_s=0.1,
        priority=0,
        services=(WeightedService("desk", 1),),
        max_attempts=2,
        is_resumable=False,
    )
    return Call(
        Request(b"POST", target, headers, body, 0.0, keeps_alive=True),
        RequestMetadata(request_id, program_id=program_id),
        route,
        Service("desk", 0),
        deadline_at=1.0,
        workspace=Workspace(workspace, frozenset()) if workspace else None,
    )


class ContentDigestTest(unittest.TestCase):
    def test_ids_do_not_change_it(self):
        """Guards against taking a repeated request for another one."""
        again = create_call(request_id="r2", program_id="p2")
        self.assertEqual(create_call().content_digest, again.content_digest)

    def test_each_part_of_the_content_changes_it(self):
        digest = create_call().content_digest
        for changes in (
            {"host": b"b.example"},
            {"target": b"/lookups/x?n=2"},
            {"target": b"/lookups/x?n=1b", "body": b"ody"},
            {"body": b"other"},
            {"workspace": "w"},
        ):
            with self.subTest(changes):
                self.assertNotEqual(
                    digest, create_call(**changes).content_digest
                )


if __name__ == "__main__":
    unittest.main()
