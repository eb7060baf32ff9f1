"""Command-line tool for operators of masticdale."""
