"""One stage call: its attempts, their outcomes and the record at the agent."""
