"""The fields that the users' page of the protocol names, and those left unread.

A new field is added here when the page gets it. It is then read, or is ignored here
with the reason. Names that only deployments with other rules use are listed in
``OTHER``.
"""

__all__ = [
    "ANSWERS",
    "CALLER_REQUESTS",
    "CALLS",
    "IGNORED",
    "OTHER",
    "SET_BY_ENTRIES",
    "STAGE_ANSWERS",
    "STORE_ANSWERS",
]

# Headers of requests, as callers send them.
CALLER_REQUESTS = [
    "Host",
    "Authorization",
    "Connection",
    "Keep-Alive",
    "Content-Length",
    "Transfer-Encoding",
    "Last-Event-Id",
    "X-Lagoontide-Request-Id",
    "X-Lagoontide-Deadline-Ms",
    "X-Lagoontide-Model",
    "X-Lagoontide-Token-Counts",
    "X-Lagoontide-Prompt-Prefix",
    "X-Lagoontide-Length-Hint",
    "X-Lagoontide-Pieces",
    "X-Lagoontide-Piece-Key",
]

# Headers of requests that are the system's to set; a caller's own are removed.
SET_BY_ENTRIES = [
    "X-Lagoontide-Deadline-Ms",
    "X-Lagoontide-Expect-Instance",
    "X-Lagoontide-Tenant",
    "X-Lagoontide-Request-Urgency",
    "X-Lagoontide-Expect-Version",
    "X-Lagoontide-Inputs",
    "X-Lagoontide-Pin-Ms",
    "X-Lagoontide-Kv-Hold",
    "X-Lagoontide-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
]

# Headers of targets' answers to requests.
ANSWERS = [
    "Connection",
    "Keep-Alive",
    "Content-Length",
    "Transfer-Encoding",
    "Content-Encoding",
    "Content-Type",
    "Retry-After",
    "X-Lagoontide-Request-Id",
    "X-Lagoontide-Response-Seal",
    "X-Lagoontide-Not-Executed",
    "X-Lagoontide-Instance-Id",
    "X-Lagoontide-Server-Load",
    "X-Lagoontide-Weight-Versions",
]

# Headers of answers to stage calls and reports.
STAGE_ANSWERS = [
    "Content-Type",
    "Retry-After",
    "X-Lagoontide-Not-Executed",
    "X-Lagoontide-Server-Load",
]

# Headers of the store's answers.
STORE_ANSWERS = ["Content-Type"]

# Keys of bodies and queries, by module and by the classes that hold them there; keys
# of the last kind, without a class, are written by name.
CALLS: dict[str, dict[str, list[str]]] = {
    "directory": {
        "_Registration": [
            "service",
            "address",
            "zone",
            "version",
            "slots",
            "state",
            "cold_left_ms",
            "seq",
            "born",
        ],
    },
    "pieces": {
        "_Report": [
            "stage",
            "models",
            "name",
            "version",
            "adapters",
            "busy",
            "seq",
            "queued",
            "running",
            "kv_used",
            "kv_total",
            "handles",
            "pinned",
            "held",
            "state",
            "leaves_ms",
            "next",
            "runs",
            "free_mb",
            "born",
        ],
        "_Piece": ["id", "stage", "piece", "left_ms", "key", "inputs"],
        "_Results": ["items"],
        "_Result": ["handle", "reason"],
        "": ["items", "handles"],
    },
    "configuration": {
        "_Configuration": ["version", "routes", "services", "tenants", "limits"],
        "_Route": [
            "host",
            "prefix",
            "service",
            "kind",
            "max_attempts",
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "allow_anonymous",
            "resume_streams",
            "gap_target_ms",
            "sticky",
            "stages",
        ],
        "_Share": [],
        "_Stage": ["service", "after", "bytes"],
        "_Service": [
            "slots",
            "max_conns",
            "health_path",
            "kv_capacity_tokens",
            "pieces",
        ],
        "_PieceSettings": [
            "slots",
            "queue",
            "batch",
            "call_ms",
            "item_ms",
            "headroom_mb",
            "handle_s",
            "link_mbps",
        ],
        "_Tenant": ["name", "api_keys", "priority"],
        "_Limits": [
            "max_header_bytes",
            "max_body_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        ],
    },
    "store": {
        "_Item": ["key", "value", "revision", "created_rev", "lease", "deleted"],
        "_RangePage": ["items", "more_pages", "as_of"],
        "_Events": ["events", "as_of"],
        "_Lease": ["lease", "ttl_ms"],
        "": [
            "prefix",
            "after",
            "stale_ok",
            "wait_ms",
            "expected_rev",
            "puts",
            "key",
            "value",
            "lease",
            "delete_keys",
            "ttl_ms",
        ],
    },
}

# Read, but named by issues or by the pages of other deployments.
OTHER = [
    "Resumes",
    "Server-Limit",
    "Server-Leaving",
    "X-Lagoontide-Cold-Ms",
    "Store-Era",
    "_Route.name",
    "_Route.traffic_split",
    "_Share.service",
    "_Share.weight",
    "_Service.name",
    "_Service.cold_per_s",
]

IGNORED = {
    "X-Lagoontide-Model": "passed on as it is; every target of a service has it",
    "X-Lagoontide-Length-Hint": "an estimate; the maximum is in the token counts",
    "Content-Type": "passed on as it is; bodies of calls are read as JSON in any case",
    "X-Lagoontide-Server-Load": "peers report the load; this one is stale on arrival",
    "X-Lagoontide-Weight-Versions": "passed on; no order of weights is given",
    "X-Lagoontide-Expect-Version": "not set, as no order of weights is given",
    "X-Lagoontide-Pin-Ms": "pins are not used",
    "X-Lagoontide-Kv-Hold": "holds are not used",
    "X-Lagoontide-Kv-Backup": "backups of KV caches are not used",
    "Kv-From": "moves of KV caches are not used",
    "Kv-Fetch": "fetches of KV caches are not used",
    "_Report.stage": "does not change what the stage calls need",
    "_Report.models": "of engines, which are not asked for reports",
    "_Report.name": "of a model",
    "_Report.version": "of a model",
    "_Report.adapters": "of a model",
    "_Report.seq": "counts orders, which are not given",
    "_Report.running": "of engines, which are not asked for reports",
    "_Report.kv_used": "of engines, which are not asked for reports",
    "_Report.kv_total": "of engines, which are not asked for reports",
    "_Report.handles": "of engines, which are not asked for reports",
    "_Report.pinned": "pins are not used",
    "_Report.held": "holds are not used",
    "_Report.state": "the registration and Server-Leaving say it",
    "_Report.leaves_ms": "a target that leaves gets nothing in any case",
    "_Report.next": "of engines, which are not asked for reports",
    "_Report.runs": "of engines, which are not asked for reports",
    "_Report.born": "a stage call names the instance; the registration has its start",
    "_Route.sticky": "callers' parts of prompts decide, on every route",
    "_Service.slots": "the registration has each target's own",
    "_Service.health_path": "health checks are not sent",
    "_Service.kv_capacity_tokens": "the tokens to prefill decide, not the memory",
    "_PieceSettings.queue": "calls are held back here, not queued at targets",
    "_PieceSettings.link_mbps": "calls' own durations are measured",
    "_Item.created_rev": "the latest revision is enough",
    "_Item.lease": "only this entry's own lease is kept",
    "store.stale_ok": "an old listing may lack acknowledged changes",
}
