"""Reading the logs of several processes as one story."""
