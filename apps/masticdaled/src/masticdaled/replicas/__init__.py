"""Homes of replicas and of content digests on this host.

The home of a replica is the host that holds its admission queue; the home of a
content digest is the host that counts the crashes of its content.
"""
