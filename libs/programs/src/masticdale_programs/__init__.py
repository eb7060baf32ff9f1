"""Program shards: journal, order, budget and unrepeatable calls."""
