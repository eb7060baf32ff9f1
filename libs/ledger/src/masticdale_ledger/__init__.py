"""Replicated ledger of program budgets.

Budgets hold across hosts, restarts and outages of the store.
"""

from masticdale_ledger.claims import ShardClaims
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.crash_notices import CrashNotices
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.fallback_store import FallbackStore
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease, boot_time_s
from masticdale_ledger.messages import LEDGER
from masticdale_ledger.owner import REPLICATION_INTERVAL_S, ShardOwner
from masticdale_ledger.reconciler import (
    LEASE_CHECK_INTERVAL_S,
    RECONCILE_INTERVAL_S,
    ShardReconciler,
)
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.service import LedgerService
from masticdale_ledger.shards import (
    LEDGER_SHARD_COUNT,
    SHARD_PREFIX,
    ShardMap,
    ShardRecord,
)
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_ledger.standby import StandbyCopies
from masticdale_ledger.stream_origins import SharedOrigins

__all__ = [
    "LEASE_CHECK_INTERVAL_S",
    "LEDGER",
    "LEDGER_SHARD_COUNT",
    "RECONCILE_INTERVAL_S",
    "REPLICATION_INTERVAL_S",
    "SHARD_PREFIX",
    "CrashNotices",
    "FallbackStore",
    "Hosts",
    "Identity",
    "Lease",
    "LedgerClient",
    "LedgerService",
    "LiveHosts",
    "ProgramRecords",
    "ShardClaims",
    "ShardMap",
    "ShardOwner",
    "ShardReconciler",
    "ShardRecord",
    "SharedOrigins",
    "SharedWatches",
    "StandbyCopies",
    "StandbyFailover",
    "boot_time_s",
]
