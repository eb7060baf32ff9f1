"""Homes of model replicas: queue, prefix index, circuit breaker, engine."""

import asyncio
import dataclasses
import random

from masticdale_common import ErrorKind, Failure
from masticdale_load.cache import PrefixCache
from masticdale_load.engine import EngineModel
from masticdale_load.experiments import Engine, Experiment, Policy
from masticdale_load.gates import AdmissionGate
from masticdale_routing import (
    BranchKey,
    CachePressure,
    Candidate,
    CircuitBreaker,
    EvictionRate,
    InFlightSettings,
    LoadObservation,
    PrefixIndex,
    PrefixRequest,
    QueueSettings,
    Ticket,
    TicketResult,
    create_replica_queue,
)

_REPLICA_UNAVAILABLE = Failure(
    ErrorKind.NO_UPSTREAM, "the replica is unavailable"
)
_NO_EVICTION_RESIDENCE_S = 1e9
_KEY_SEPARATOR = "/"


def cache_key(branch: BranchKey) -> str:
    """Returns the cache key of a branch."""
    return f"{branch.program_id}{_KEY_SEPARATOR}{branch.branch_id}"


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request for a candidate's placement data.

    Attributes:
        ticket: Ticket of the call.
        request: Prompt of the call.
        importable_tokens: Prompt tokens available for import.
    """

    ticket: Ticket
    request: PrefixRequest
    importable_tokens: int


class ReplicaHome:
    """Answers probes from the state that delayed reports and events give."""

    def __init__(
        self,
        replica: str,
        domain: str,
        engine: EngineModel,
        gate: AdmissionGate,
    ) -> None:
        self.replica = replica
        self.domain = domain
        self.engine = engine
        self.gate = gate
        self.circuit = CircuitBreaker()
        self.index = PrefixIndex(engine.spec.restore_interval)
        self.index.capacity_tokens = engine.cache.capacity_tokens
        self.evictions = EvictionRate()
        self.present = True
        self._template_tokens_by_program: dict[str, int] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def usable(self) -> bool:
        """Whether the replica may receive calls."""
        return self.present and self.circuit.allows(self._loop.time())

    def candidate(self, probe: Probe) -> Candidate:
        """Returns the replica's placement data for a probe."""
        now = self._loop.time()
        queue, request = self.gate.queue, probe.request
        cached = max(
            self.index.cached_tokens(request),
            self._effective_import_tokens(probe.importable_tokens),
        )
        uncached = max(0, request.prompt_tokens - cached)
        ticket = dataclasses.replace(probe.ticket, uncached_tokens=uncached)
        return Candidate(
            self.replica,
            self.domain,
            queue.expected_wait_s(ticket, now),
            cached,
            queue.speed.prefill_tokens_per_s,
            queue.speed.decode_tokens_per_s,
            queue.in_flight(now) + queue.waiting,
            self.usable,
        )

    def pressure(self, reuse_share: float) -> CachePressure:
        """Returns the cost of keeping tokens in the replica's cache.

        Args:
            reuse_share: Share of evicted tokens that are requested again.
        """
        rate = self.evictions.tokens_per_s(self._loop.time())
        capacity = self.engine.cache.capacity_tokens
        return CachePressure(
            capacity / rate if rate > 0 else _NO_EVICTION_RESIDENCE_S,
            self.gate.queue.speed.prefill_tokens_per_s,
            self.engine.spec.transfer_tokens_per_s,
            reuse_share,
        )

    def record_sent(self, request: PrefixRequest) -> None:
        """Records a call sent to the engine."""
        program_id = request.branch.program_id
        self._template_tokens_by_program[program_id] = request.template_tokens
        self.index.record_sent(request, self._loop.time())

    def finish(self, ticket_id: str, result: TicketResult) -> None:
        """Records the end of a granted call and admits the next."""
        if not result.crashed:
            self.circuit.record_success()
            self.gate.finish(ticket_id, result)
            return
        self.circuit.record_failure(self._loop.time())
        # Admitting the waiting calls would fail each of them and use up a
        # retry for each.
        if not self.usable:
            self.gate.close(_REPLICA_UNAVAILABLE)
        self.gate.finish(ticket_id, result)

    def leave(self) -> None:
        """Refuses new calls and withdraws waiting ones."""
        self.present = False
        self.gate.close(_REPLICA_UNAVAILABLE)

    def rejoin(self) -> None:
        """Accepts calls again after a restart with an empty cache."""
        self.index.clear()
        self.gate.queue.reopen()
        self.present = True

    def release(self, branch: BranchKey) -> None:
        """Removes a branch's prefix from the engine's cache."""
        self.engine.cache.release(cache_key(branch))

    def remove_program(self, program_id: str) -> None:
        """Removes an ended program from the index."""
        self.index.remove_program(program_id)
        self._template_tokens_by_program.pop(program_id, None)

    def record_evicted(self, key: str, left: int) -> None:
        """Applies an eviction event to the index."""
        program_id, _, branch_id = key.partition(_KEY_SEPARATOR)
        template = self._template_tokens_by_program.get(program_id)
        if template is None:
            return
        tokens = left + template if left > 0 else 0
        branch = BranchKey(program_id, branch_id)
        self.index.record_evicted(branch, tokens, self._loop.time())

    def _effective_import_tokens(self, tokens: int) -> int:
        # Importing takes time too: the tokens count by the prefill time that
        # the import saves.
        rate = self.engine.spec.transfer_tokens_per_s
        speed = self.gate.queue.speed.prefill_tokens_per_s
        return int(tokens * max(0.0, 1 - speed / rate)) if rate > 0 else 0


class EventChannel:
    """Delivers an engine's events to its home with delay and loss."""

    def __init__(self, home: ReplicaHome, settings: Engine, seed: int) -> None:
        self._home = home
        self._settings = settings
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        home.engine.cache.listen(self._evicted)

    async def report_load(self) -> None:
        """Reports the engine's load periodically."""
        engine, gate = self._home.engine, self._home.gate
        while True:
            observation = LoadObservation(
                engine.running, engine.waiting, self._loop.time()
            )
            await asyncio.sleep(self._settings.event_lag_s)
            gate.queue.observe_load(observation, self._loop.time())
            gate.dispatch_granted()
            await asyncio.sleep(self._settings.report_period_s)

    def _evicted(self, key: str, left: int, freed: int) -> None:
        self._home.evictions.record_evicted(freed, self._loop.time())
        if self._random.random() < self._settings.event_loss:
            return
        lag_s = self._settings.event_lag_s
        self._loop.call_later(lag_s, self._home.record_evicted, key, left)


def create_home(
    number: int, experiment: Experiment, policy: Policy, capacity: int
) -> ReplicaHome:
    """Returns the home of a model replica with a simulated engine.

    Args:
        number: Index of the replica.
        experiment: The experiment.
        policy: The policy under test.
        capacity: Capacity of the prefix cache in tokens.
    """
    spec = experiment.engine.spec()
    replica = f"model-{number}"
    domain = f"domain-{number % experiment.deployment.failure_domains}"
    queue = create_replica_queue(
        replica,
        QueueSettings(
            order=policy.order,
            age_bound_s=policy.age_bound_s,
            max_wait_s_by_priority=policy.max_wait_s,
            in_flight=InFlightSettings(initial=spec.slots),
        ),
    )
    cache = PrefixCache(capacity, spec.restore_interval)
    engine = EngineModel(spec, cache)
    return ReplicaHome(replica, domain, engine, AdmissionGate(queue))
