"""Stages that run before a request, executed in batches.

Each stage of a request consists of pieces, and each piece yields one result. The stage
targets of a service are divided into shards. One entry owns each shard and makes all
calls to its targets, so that pieces of different requests share calls.
"""
