"""Configuration shared by the tests of stages."""

from lagoontide.routes.records import PieceSettings

WORK = PieceSettings(
    slots=1,
    batch=4,
    call_time=0.2,
    piece_time=0.05,
    result_memory_bytes=9e6,
    result_ttl=4.0,
)
