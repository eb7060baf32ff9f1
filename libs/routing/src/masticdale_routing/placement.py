"""Chooses the replica that runs a call.

The baseline policies (round robin, least in flight, affinity) are kept for
comparative measurements.
"""

import dataclasses
import functools
from collections.abc import Collection, Sequence
from typing import TypeAlias

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing

_DEFAULT_PROBES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may run a call.

    Attributes:
        replica: Name of the replica.
        failure_domain: Its failure domain.
        expected_wait_s: Expected wait in its queue.
        cached_tokens: Prompt tokens of the call expected in its cache.
        prefill_tokens_per_s: Speed of computing a prompt.
        decode_tokens_per_s: Generation speed of one call.
        in_flight: Calls running and waiting at the replica.
        usable: False for a replica that is draining, dead, or whose circuit
            is open.
    """

    replica: str
    failure_domain: str
    expected_wait_s: float = 0.0
    cached_tokens: int = 0
    prefill_tokens_per_s: float = 10_000.0
    decode_tokens_per_s: float = 50.0
    in_flight: int = 0
    usable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A call to be placed.

    Attributes:
        program_id: Id of the call's program.
        prompt_tokens: Length of the whole context in tokens.
        expected_tokens: Expected number of generated tokens.
        last_replica: Replica of the branch's last call; empty if none.
    """

    program_id: str
    prompt_tokens: int
    expected_tokens: int = 0
    last_replica: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The replica chosen for a call.

    Attributes:
        replica: Name of the replica.
        cost_s: Expected time until the end of the response.
        uncached_tokens: Prompt tokens expected to be computed.
        moved: Whether this differs from the branch's last replica.
    """

    replica: str
    cost_s: float
    uncached_tokens: int
    moved: bool


@dataclasses.dataclass(slots=True)
class RoundRobin:
    """Baseline: each call goes to the next replica.

    Attributes:
        placed_count: Number of calls placed so far.
    """

    placed_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Baseline: each call goes to the replica with the fewest calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Affinity:
    """Baseline: a branch stays at its replica, however long the queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastCost:
    """Least expected time for waiting, prefill and generation.

    Attributes:
        margin_s: A branch moves only if that saves more than the sum of this
            and ``margin_share`` of the cost of staying, because the moved
            prefix also displaces prefixes of other programs.
        margin_share: See ``margin_s``.
        tie_s: Candidates within this of the least cost are compared by the
            calls in flight.
    """

    margin_s: float = 1.0
    margin_share: float = 0.2
    tie_s: float = 0.25


Policy: TypeAlias = RoundRobin | LeastInFlight | Affinity | LeastCost


def cost_s(request: PlacementRequest, candidate: Candidate) -> float:
    """Returns the expected time until the call's end at a replica."""
    uncached = max(0, request.prompt_tokens - candidate.cached_tokens)
    return (
        candidate.expected_wait_s
        + uncached / candidate.prefill_tokens_per_s
        + request.expected_tokens / candidate.decode_tokens_per_s
    )


def place(
    request: PlacementRequest, candidates: Sequence[Candidate], policy: Policy
) -> Result[Placement, Failure]:
    """Chooses a replica for a call.

    Args:
        request: The call.
        candidates: Replicas to choose from; unusable ones are skipped.
        policy: The placement policy.

    Returns:
        The placement, or NO_UPSTREAM if no candidate is usable.
    """
    usable = [c for c in candidates if c.usable]
    if not usable:
        return Failed(Failure(ErrorKind.NO_UPSTREAM))
    chosen = _choose(policy, request, usable)
    last = request.last_replica
    return Success(
        Placement(
            chosen.replica,
            cost_s(request, chosen),
            max(0, request.prompt_tokens - chosen.cached_tokens),
            moved=bool(last) and chosen.replica != last,
        )
    )


@functools.singledispatch
def _choose(
    policy: Policy,
    _request: PlacementRequest,
    _candidates: Sequence[Candidate],
) -> Candidate:
    raise TypeError(f"unknown placement policy {policy!r}")


@_choose.register
def _(
    policy: RoundRobin,
    _request: PlacementRequest,
    candidates: Sequence[Candidate],
) -> Candidate:
    policy.placed_count += 1
    return candidates[policy.placed_count % len(candidates)]


@_choose.register
def _(
    _policy: LeastInFlight,
    _request: PlacementRequest,
    candidates: Sequence[Candidate],
) -> Candidate:
    return min(candidates, key=lambda c: c.in_flight)


@_choose.register
def _(
    _policy: Affinity,
    request: PlacementRequest,
    candidates: Sequence[Candidate],
) -> Candidate:
    last = _find_candidate(request.last_replica, candidates)
    if last is not None:
        return last
    return min(candidates, key=lambda c: c.in_flight)


@_choose.register
def _(
    policy: LeastCost,
    request: PlacementRequest,
    candidates: Sequence[Candidate],
) -> Candidate:
    cheapest = _cheapest(policy, request, candidates)
    last = _find_candidate(request.last_replica, candidates)
    if last is None or last is cheapest:
        return cheapest
    stay_cost_s = cost_s(request, last)
    saved_s = stay_cost_s - cost_s(request, cheapest)
    if saved_s > policy.margin_s + policy.margin_share * stay_cost_s:
        return cheapest
    return last


def _cheapest(
    policy: LeastCost,
    request: PlacementRequest,
    candidates: Sequence[Candidate],
) -> Candidate:
    cost_by_replica = {c.replica: cost_s(request, c) for c in candidates}
    bound_s = min(cost_by_replica.values()) + policy.tie_s
    return min(
        (c for c in candidates if cost_by_replica[c.replica] <= bound_s),
        key=lambda c: (c.in_flight, cost_by_replica[c.replica]),
    )


def _find_candidate(
    replica: str, candidates: Sequence[Candidate]
) -> Candidate | None:
    if not replica:
        return None
    return next((c for c in candidates if c.replica == replica), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """A replica and its failure domain.

    Attributes:
        replica: Name of the replica.
        failure_domain: Its failure domain.
    """

    replica: str
    failure_domain: str


def choose_probes(
    key: str,
    locations: Sequence[Location],
    count: int = _DEFAULT_PROBES,
    excluded: Collection[str] = (),
) -> list[str]:
    """Returns a few replicas to probe, spread over failure domains.

    Probing a fixed number keeps the cost of a placement independent of the
    fleet's size. The spread leaves candidates if a failure domain is down.

    Args:
        key: Hash key, such as the program id and the attempt.
        locations: All usable replicas.
        count: Number of replicas to probe.
        excluded: Replicas to skip.
    """
    domain_by_replica = {
        x.replica: x.failure_domain
        for x in locations
        if x.replica not in excluded
    }
    ranked = hashing.rendezvous_rank(key, domain_by_replica)
    first_of_domain: list[str] = []
    others: list[str] = []
    seen: set[str] = set()
    for replica in ranked:
        domain = domain_by_replica[replica]
        (others if domain in seen else first_of_domain).append(replica)
        seen.add(domain)
    return [*first_of_domain, *others][:count]
