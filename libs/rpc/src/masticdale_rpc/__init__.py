"""RPC between hosts: thrift contracts over pooled connections."""

from masticdale_rpc.client import (
    PoolLimits,
    RpcClient,
    may_have_been_sent,
    unavailable,
)
from masticdale_rpc.contracts import Contract, Rpc, parse_idl
from masticdale_rpc.server import RpcServer
from masticdale_rpc.settings import Address, PeerSettings, TlsSettings
from masticdale_rpc.structs import build_structs

__all__ = [
    "Address",
    "Contract",
    "PeerSettings",
    "PoolLimits",
    "Rpc",
    "RpcClient",
    "RpcServer",
    "TlsSettings",
    "build_structs",
    "may_have_been_sent",
    "parse_idl",
    "unavailable",
]
