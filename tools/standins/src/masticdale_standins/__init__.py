"""Stand-ins of platform, model engine and service."""
