"""Generates fault plans from a seed: kind, start, duration and target."""

import dataclasses
import enum
import random

# Every fault ends this many seconds before the load does, so that the load also
# covers the recovery.
_FAULT_FREE_END_S = 3.0
# The first fault starts at least this many seconds after the load.
_FAULT_FREE_START_S = 0.5
# Average rate of new faults; high enough for faults to overlap.
_FAULTS_PER_S = 0.8
_MIN_DURATION_S = 0.2
_MAX_DURATION_S = 4.0


class Target(enum.StrEnum):
    """What a fault affects."""

    HOST = "host"
    ALL_HOSTS = "all_hosts"
    STORE = "store"
    REPLICA = "replica"
    OPERATOR = "operator"
    WATCHES = "watches"


class Fault(enum.StrEnum):
    """Kinds of faults, planned restarts and configuration changes."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    STOP = "stop"
    STOP_IN_TURN = "stop_in_turn"
    PAUSE = "pause"
    HANG_UP = "hang_up"
    STORE_LINK_SILENT = "store_link_silent"
    STORE_LINK_ONE_WAY = "store_link_one_way"
    STORE_LINK_RESET = "store_link_reset"
    PEERS_LINK_SILENT = "peers_link_silent"
    PEERS_LINK_ONE_WAY = "peers_link_one_way"
    PEERS_LINK_SLOW = "peers_link_slow"
    PEERS_LINK_RESET = "peers_link_reset"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_RESET = "store_reset"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    REPLICA_CRASH = "replica_crash"
    REPLICA_SILENT = "replica_silent"
    REPLICA_RESETS = "replica_resets"
    REPLICA_LINK_SLOW = "replica_link_slow"
    REPLICA_FULL = "replica_full"
    REPLICA_FAILS = "replica_fails"
    REPLICA_CUTS = "replica_cuts"
    REPLICA_GARBLES = "replica_garbles"
    REPLICA_CROSSES = "replica_crosses"
    REPLICA_DRAINS = "replica_drains"
    CONFIGURATION = "configuration"
    REPLICA_ENDLESS_VALUE = "replica_endless_value"
    REPLICA_ENDLESS_FIELDS = "replica_endless_fields"
    REPLICA_ENDLESS_INTERIM = "replica_endless_interim"
    REPLICA_ENDLESS_LATE = "replica_endless_late"
    REPLICA_ENDLESS_BODY = "replica_endless_body"
    REPLICA_ENDLESS_CHUNKS = "replica_endless_chunks"
    REPLICA_ENDLESS_EXTENSION = "replica_endless_extension"
    REPLICA_ENDLESS_TRAILERS = "replica_endless_trailers"
    WATCHES_LOST = "watches_lost"
    WATCHES_CUT = "watches_cut"
    REPLICA_WRITES_LATE = "replica_writes_late"


_ENDLESS_PREFIX = "replica_endless"
# Drawn apart, so that the plans of other seeds stay as they are.
_ENDLESS_FAULTS = [f for f in Fault if f.value.startswith(_ENDLESS_PREFIX)]
_WATCH_FAULTS = [
    Fault.WATCHES_LOST,
    Fault.WATCHES_CUT,
    Fault.REPLICA_WRITES_LATE,
]
_USUAL_FAULTS = [
    f for f in Fault if f not in (*_ENDLESS_FAULTS, *_WATCH_FAULTS)
]
_TARGET_BY_PREFIX = {
    "store_link": Target.HOST,
    "peers_link": Target.HOST,
    "store": Target.STORE,
    "replica": Target.REPLICA,
    "watches": Target.WATCHES,
    "configuration": Target.OPERATOR,
    "kill_all": Target.ALL_HOSTS,
    "stop_in_turn": Target.ALL_HOSTS,
}


def target_of(fault: Fault) -> Target:
    """Returns what a fault affects."""
    for prefix, target in _TARGET_BY_PREFIX.items():
        if fault.value.startswith(prefix):
            return target
    return Target.HOST


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault of a plan.

    Attributes:
        start_s: Start in seconds after the start of the load.
        duration_s: Duration in seconds; unused by instantaneous faults.
        fault: Kind of the fault.
        target_index: Index of the host or replica, modulo their number.
    """

    start_s: float
    duration_s: float
    fault: Fault
    target_index: int

    @property
    def end_s(self) -> float:
        """End in seconds after the start of the load."""
        return self.start_s + self.duration_s


@dataclasses.dataclass(frozen=True, slots=True)
class LoadOptions:
    """What a load holds besides its usual requests.

    Attributes:
        fatal: Whether it holds requests that end each replica that runs them.
        histories: Whether it holds conversations, whose turns storage hosts
            keep, and storage hosts are lost.
        versions: Whether engines of two software versions serve, and it holds
            streams that are resumed.
        endless: Whether replicas send bytes without end at times.
        watches: Whether watches of the store are lost or cut while its calls
            are answered, and older entries of replicas arrive last.
    """

    fatal: bool = False
    histories: bool = False
    versions: bool = False
    endless: bool = False
    watches: bool = False


USUAL_LOAD = LoadOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The reproducible part of a run.

    Attributes:
        seed: Seed of the plan and of the load.
        seconds: Duration of the load in seconds.
        hosts: Number of entry hosts.
        steps: Faults, ordered by start.
        load: What the load holds.
    """

    seed: int
    seconds: float
    hosts: int
    steps: tuple[Step, ...]
    load: LoadOptions = USUAL_LOAD


def make_plan(
    seed: int,
    seconds: float,
    hosts: int,
    load: LoadOptions = USUAL_LOAD,
) -> Plan:
    """Generates a plan; equal arguments give equal plans.

    Args:
        seed: Seed of the random choices.
        seconds: Duration of the load in seconds.
        hosts: Number of entry hosts.
        load: What the load holds.
    """
    last_s = max(_FAULT_FREE_START_S, seconds - _FAULT_FREE_END_S)
    count = max(2, round(_FAULTS_PER_S * (last_s - _FAULT_FREE_START_S)))
    steps = _draw_steps(random.Random(seed), _USUAL_FAULTS, count, last_s)
    if load.endless:
        rng = random.Random(f"endless {seed}")
        steps += _draw_steps(rng, _ENDLESS_FAULTS, count, last_s)
    if load.watches:
        rng = random.Random(f"watches {seed}")
        steps += _draw_steps(rng, _WATCH_FAULTS, count, last_s)
    ordered = tuple(sorted(steps, key=lambda s: s.start_s))
    return Plan(seed, seconds, hosts, ordered, load)


def _draw_steps(
    rng: random.Random, faults: list[Fault], count: int, last_s: float
) -> list[Step]:
    """Draws steps that end by ``last_s``."""
    steps = []
    for _ in range(count):
        start_s = rng.uniform(_FAULT_FREE_START_S, last_s)
        duration_s = rng.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
        step = Step(
            start_s=round(start_s, 2),
            duration_s=round(min(duration_s, last_s - start_s), 2),
            fault=rng.choice(faults),
            target_index=rng.randrange(1000),
        )
        steps.append(step)
    return steps
