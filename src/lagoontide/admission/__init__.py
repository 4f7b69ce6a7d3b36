"""What is refused at the door, before any work starts."""
