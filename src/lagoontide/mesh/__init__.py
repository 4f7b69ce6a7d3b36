"""Discovery of entries and the messages that they exchange."""
