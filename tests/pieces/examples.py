"""Configuration shared by the tests of stages."""

from lagoontide.routes.records import PieceWork

WORK = PieceWork(
    slots=1,
    batch=4,
    call_time=0.2,
    piece_time=0.05,
    room_bytes=9e6,
    kept_for=4.0,
)
