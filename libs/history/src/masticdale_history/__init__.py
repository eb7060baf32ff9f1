"""Histories of turns, kept on the disks of storage hosts."""

from masticdale_history.client import HistoryClient
from masticdale_history.member_clients import create_member_client
from masticdale_history.members import (
    MEMBER_PREFIX,
    MemberDirectory,
    encode_member,
    member_key,
    parse_member,
)
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
    "MEMBER_PREFIX",
    "Chain",
    "HistoryClient",
    "Lookup",
    "Member",
    "MemberDirectory",
    "StoreStats",
    "TurnEntry",
    "TurnKey",
    "TurnRecord",
    "TurnStore",
    "create_member_client",
    "encode_member",
    "is_absence_certain",
    "member_key",
    "open_store",
    "parse_member",
    "rank_hosts",
]
