"""Histories of turns, kept on the disks of storage hosts."""

from masticdale_history.messages import HISTORY
from masticdale_history.placement import (
    Lookup,
    Member,
    is_absence_certain,
    rank_hosts,
)
from masticdale_history.records import Chain, TurnKey, TurnRecord
from masticdale_history.store import StoreStats, TurnStore, open_store
from masticdale_history.turn_index import CLOCK_MARGIN_MS, TurnEntry

__all__ = [
    "CLOCK_MARGIN_MS",
    "HISTORY",
    "Chain",
    "Lookup",
    "Member",
    "StoreStats",
    "TurnEntry",
    "TurnKey",
    "TurnRecord",
    "TurnStore",
    "is_absence_certain",
    "open_store",
    "rank_hosts",
]
