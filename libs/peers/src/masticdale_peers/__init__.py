"""Membership of hosts and the RPC between them."""
