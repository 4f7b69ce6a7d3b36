"""What entries log when a target ends while it serves requests."""

import asyncio

from loguru import logger

from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.targets import TargetFault

FIELDS = [
    (b"X-Lagoontide-Token-Counts", b"1200,6"),
    (b"X-Lagoontide-Prompt-Prefix", b"aa:800,bad:100,own:300"),
]


def lines_of(spoil):
    """Send a stream to targets that ``spoil`` has changed; return the log lines."""
    lines = []

    async def main():
        async with start_deployment(1) as small:
            for target in small.targets_of("engine"):
                spoil(target)
            await send(small.ports[0], "/events/a", "r1", extra=FIELDS)

    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    try:
        asyncio.run(main())
    except OSError:
        pass  # The response was cut.
    finally:
        logger.remove(sink)
    return [
        (line["message"], line["extra"].get("parts"))
        for line in lines
        if "broke" in line["message"]
    ]


def test_the_parts_of_requests_that_a_target_s_end_breaks_off_are_logged():
    def crash(target):
        target.crashes_on = lambda run: "bad" in run.parts

    ends = [parts for text, parts in lines_of(crash) if "end of its target" in text]
    assert ends
    assert all(parts == ["aa", "bad"] for parts in ends)


def test_a_stream_that_breaks_off_at_a_target_that_goes_on_is_no_end():
    def cut(target):
        target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, 1

    lines = lines_of(cut)
    assert any("still accepts connections" in text for text, _ in lines)
    assert not any("end of its target" in text for text, _ in lines)
