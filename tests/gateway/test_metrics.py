"""Exported metrics, and the documentation page that lists them."""

import asyncio
import re
from pathlib import Path

from lagoontide.gateway.metrics import MAX_LABEL_VALUES, OVERFLOW_LABEL, GatewayMetrics
from lagoontide.platform.standins.deployment import send, start_deployment

PAGE = Path(__file__).resolve().parents[2] / "docs" / "operations" / "metrics.md"


def names(metrics):
    text = metrics.render().decode()
    return set(re.findall(r"^# TYPE (lagoontide_\S+)", text, re.MULTILINE))


def test_documented_and_exported_metrics_agree():
    documented = set(re.findall(r"`(lagoontide_[a-z_]+)`", PAGE.read_text()))
    exported = {name.removesuffix("_created") for name in names(GatewayMetrics())}
    assert documented == {name.removesuffix("_total") for name in exported}


def test_requests_are_counted_by_route_account_and_outcome():
    async def main():
        async with start_deployment() as small:
            await send(small.ports[0], "/safe/a", "r1")
            await send(small.ports[0], "/nowhere/a", "r2")
            return small.gateways[0].metrics.render().decode()

    text = asyncio.run(main())
    wanted = 'account="first",outcome="answered_2xx",route="safe"} 1.0'
    assert f"lagoontide_requests_total{{{wanted}" in text
    assert 'outcome="rejected_404",route=""} 1.0' in text
    assert 'lagoontide_sends_total{service="plain"} 1.0' in text


def test_label_cardinality_is_bounded():
    metrics = GatewayMetrics()
    found = {
        metrics._limit_label(f"route-{number}")
        for number in range(2 * MAX_LABEL_VALUES)
    }
    assert len(found) == MAX_LABEL_VALUES + 1
    assert OVERFLOW_LABEL in found
