"""Which target a stage call goes to."""
