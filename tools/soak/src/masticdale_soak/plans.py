"""Plans of faults: which, when, where and for how long, from a seed."""

import dataclasses
import enum
import random

# Every fault ends this long before callers stop, in seconds, so that they
# meet the system in recovery too.
_QUIET_END_S = 3.0
# The first fault comes this long after callers began, in seconds.
_QUIET_BEGIN_S = 0.5
# Faults that begin in each second, on average. With an average length of
# about two seconds two of them overlap at most moments.
_FAULTS_PER_S = 0.8
_SHORTEST_S = 0.2
_LONGEST_S = 4.0


class Target(enum.StrEnum):
    """What a fault strikes."""

    HOST = "host"
    ALL_HOSTS = "all_hosts"
    STORE = "store"
    REPLICA = "replica"
    OPERATOR = "operator"


class Fault(enum.StrEnum):
    """Kinds of faults, planned stops and changes."""

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


_TARGET_BY_PREFIX = {
    "store_link": Target.HOST,
    "peers_link": Target.HOST,
    "store": Target.STORE,
    "replica": Target.REPLICA,
    "configuration": Target.OPERATOR,
    "kill_all": Target.ALL_HOSTS,
    "stop_in_turn": Target.ALL_HOSTS,
}


def target_of(fault: Fault) -> Target:
    """Returns what a fault strikes."""
    for prefix, target in _TARGET_BY_PREFIX.items():
        if fault.value.startswith(prefix):
            return target
    return Target.HOST


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One fault of a plan.

    Attributes:
        at_s: Seconds after callers began.
        for_s: How long it lasts, where it lasts.
        fault: What happens.
        place: Number of the host or replica; taken modulo how many there are.
    """

    at_s: float
    for_s: float
    fault: Fault
    place: int

    @property
    def end_s(self) -> float:
        """When it ends, in seconds after callers began."""
        return self.at_s + self.for_s


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A run, apart from what the machine's timing adds.

    Attributes:
        seed: Where it came from.
        seconds: How long callers go on.
        hosts: Entry hosts.
        steps: Faults, by their time.
    """

    seed: int
    seconds: float
    hosts: int
    steps: tuple[Step, ...]


def make_plan(seed: int, seconds: float, hosts: int) -> Plan:
    """Returns the plan of a seed; always the same one.

    Args:
        seed: Any number.
        seconds: How long callers go on.
        hosts: Entry hosts.
    """
    chance = random.Random(seed)
    last_s = max(_QUIET_BEGIN_S, seconds - _QUIET_END_S)
    count = max(2, round(_FAULTS_PER_S * (last_s - _QUIET_BEGIN_S)))
    steps = []
    for _ in range(count):
        at_s = chance.uniform(_QUIET_BEGIN_S, last_s)
        for_s = chance.uniform(_SHORTEST_S, _LONGEST_S)
        step = Step(
            at_s=round(at_s, 2),
            for_s=round(min(for_s, last_s - at_s), 2),
            fault=chance.choice(list(Fault)),
            place=chance.randrange(1000),
        )
        steps.append(step)
    ordered = tuple(sorted(steps, key=lambda s: s.at_s))
    return Plan(seed, seconds, hosts, ordered)
