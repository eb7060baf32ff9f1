"""The replicas and content digests whose home this host is."""
