"""Tests of the route lookup and of weighted services."""

import collections
import unittest

from masticdale_routing.routes import (
    Route,
    RouteKind,
    RouteTable,
    WeightedService,
)

ONE_SERVICE = (WeightedService("s", 1),)


def route(prefix, host="h.example", services=ONE_SERVICE):
    return Route(
        name=prefix,
        virtual_host=host,
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        latency_objective_s=0.1,
        priority=0,
        services=services,
        max_attempts=1,
        is_resumable=False,
    )


class FindTest(unittest.TestCase):
    def test_longest_path_prefix_wins(self):
        table = RouteTable(
            [route("/a/"), route("/a/b/"), route("/c/", host="other.example")]
        )
        for host, path, expected in (
            ("h.example", "/a/x", "/a/"),
            ("h.example", "/a/b/x", "/a/b/"),
            ("h.example", "/a/b/", "/a/b/"),
            ("h.example", "/a/bc", "/a/"),
            ("h.example", "/a", None),
            ("h.example", "/c/x", None),
            ("other.example", "/c/x/y/z", "/c/"),
            ("unknown.example", "/a/x", None),
        ):
            with self.subTest(host=host, path=path):
                found = table.find(host, path)
                self.assertEqual(found.name if found else None, expected)

    def test_services_follow_their_weights_and_are_stable_per_key(self):
        weighted = route(
            "/a/",
            services=(WeightedService("x", 90), WeightedService("y", 10)),
        )
        count = collections.Counter(
            weighted.service_for(f"key-{n}") for n in range(2000)
        )
        self.assertGreater(count["y"], 120)
        self.assertLess(count["y"], 290)
        self.assertEqual(weighted.service_for("k"), weighted.service_for("k"))


if __name__ == "__main__":
    unittest.main()
