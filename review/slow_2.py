"""Not a case. Callers read nothing for four seconds after their requests."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from standins_2 import Case, SlowCaller, main  # noqa: E402

RECORD = FOLDER / "record.txt"
# TROUBLE=0: the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALLERS = 8
# The rule allows three.
MAX_LOST = 3
ANSWER_BYTES = 900_000
PAUSE_S = 4.0
ROUTE = {
    "name": "issue",
    "host": "issue.example",
    "prefix": "/issue/",
    "kind": "unsafe",
    "timeout_ms": 20000,
    "target_latency_ms": 400,
    "priority": 1,
    "service": "plain",
    "max_attempts": 1,
}


async def run(has_trouble):
    """Run the case; return whether the rule was broken."""
    async with Case(RECORD) as case:
        case.configure([ROUTE], {"plain": {}})
        await case.start_replica("i-plain", "plain", "sized:100")
        _, front = await case.start_entry()
        await asyncio.sleep(4.0)
        callers = [
            SlowCaller(number + 1, "issue.example", "/issue/a", case.record)
            for number in range(CALLERS)
        ]
        for caller in callers:
            await caller.connect(front)
            if not await caller.ask(100, 0.0):
                raise RuntimeError("a caller was not answered before the pauses")
        pause_s = PAUSE_S if has_trouble else 0.0
        asks = [caller.ask(ANSWER_BYTES, pause_s) for caller in callers]
        are_whole = await asyncio.gather(*asks)
        for caller in callers:
            caller.close()
        for line in case.log_of("i-plain"):
            case.record.write(f"i-plain {line}")
        for line in case.log_of("front-welshpool-1"):
            if '"request ended' in line or "gave up" in line:
                case.record.write(f"entry: {line[:300]}")
        lost = are_whole.count(False)
        case.record.write(f"{lost} of {CALLERS} answers are not whole")
        return lost > MAX_LOST


main(run, TROUBLE)
