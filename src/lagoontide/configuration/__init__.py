"""The one configuration document: its models, validation and version in force."""
