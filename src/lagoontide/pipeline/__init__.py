"""A request's walk through the stages of its route, under one deadline."""
