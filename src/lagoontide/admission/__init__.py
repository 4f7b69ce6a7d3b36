"""Admission control: authentication, rate limits and load shedding."""
