"""The entry and storage processes of masticdale on the users' platform."""
