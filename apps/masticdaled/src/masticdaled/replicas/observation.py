"""Reads the health, the load and the cache events of engines."""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_routing import BranchKey, LoadObservation
from masticdale_upstreams import CacheEventKind, Health, ModelEngine
from masticdaled.replicas.home import ReplicaHome

_HEALTH_TIMEOUT_S = 1.5


async def read_health(client: ModelEngine) -> Result[Health, Failure]:
    """Reads an engine's health; NO_UPSTREAM if it does not answer in time."""
    try:
        async with asyncio.timeout(_HEALTH_TIMEOUT_S):
            return await client.health()
    except TimeoutError:
        return Failed(Failure(ErrorKind.NO_UPSTREAM, "health check timed out"))


async def observe(home: ReplicaHome, client: ModelEngine) -> None:
    """Updates a replica's state by its engine's load and cache events."""
    now = time.monotonic()
    load = await client.load_report()
    if isinstance(load, Success):
        report = load.unwrap()
        home.prefixes.capacity_tokens = report.cache_capacity
        observed_at = now - report.age_ms / 1000
        home.queue.observe_load(
            LoadObservation(report.running, report.waiting, observed_at),
            now,
        )
    events = await client.cache_events(home.events_position, 0.0)
    if not isinstance(events, Success):
        return
    batch = events.unwrap()
    home.events_position = batch.position
    if batch.gap:
        home.prefixes.record_event_gap()
    held_before = home.prefixes.held_tokens
    for event in batch.events:
        branch = BranchKey(event.program_id, event.branch_id)
        if event.kind is CacheEventKind.STORED:
            home.prefixes.record_stored(branch, event.tokens, now)
        else:
            home.prefixes.record_evicted(branch, event.tokens, now)
    freed = held_before - home.prefixes.held_tokens
    home.evictions.record_evicted(max(0, freed), now)
