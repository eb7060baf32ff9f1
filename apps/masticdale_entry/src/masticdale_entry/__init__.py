"""The processes of masticdale on the users' platform."""
