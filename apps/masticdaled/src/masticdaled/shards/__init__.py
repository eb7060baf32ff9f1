"""The program shards that this host owns."""
