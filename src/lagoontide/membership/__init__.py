"""Who is there, who is leaving and which agents an entry talks to."""
