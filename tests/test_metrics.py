# SPDX-License-Identifier: MIT
"""Metrics: histograms, text exposition format and the metrics server."""

from __future__ import annotations

import asyncio

from aiohttp import ClientSession

from cluster import free_port
from foldloom.exposition import metrics_text
from foldloom.metrics import BUCKETS_MS, Metrics
from foldloom.metrics_server import METRICS_PATH, MetricsServer


def _sample_metrics() -> Metrics:
    metrics = Metrics()
    metrics.count("jobs.refused.too_late", 3)
    metrics.gauge("claims.held", 2.5)
    for took_ms in (0.5, 1.0, 7.0, 99_000.0):
        metrics.timing("job_ms", took_ms)
    return metrics


class TestHistograms:
    """Guards the assignment of durations to buckets."""

    def test_bounds_belong_to_their_bucket(self) -> None:
        """Upper bounds are inclusive; durations above the last bound have their own bucket."""
        histogram = _sample_metrics().histograms["job_ms"]
        assert histogram.counts[0] == 2
        assert histogram.counts[BUCKETS_MS.index(10.0)] == 1
        assert histogram.counts[-1] == 1
        assert histogram.total_ms == 99_008.5


class TestText:
    """Guards the text exposition format and its HTTP server."""

    def test_every_kind_of_figure(self) -> None:
        """Counters, gauges and histograms with cumulative buckets are rendered."""
        lines = metrics_text(_sample_metrics()).decode().splitlines()
        assert "foldloom_jobs_refused_too_late_total 3.0" in lines
        assert "foldloom_claims_held 2.5" in lines
        assert 'foldloom_job_ms_bucket{le="1.0"} 2.0' in lines
        assert 'foldloom_job_ms_bucket{le="5000.0"} 3.0' in lines
        assert 'foldloom_job_ms_bucket{le="+Inf"} 4.0' in lines
        assert "foldloom_job_ms_count 4.0" in lines

    def test_served(self) -> None:
        """The metrics path is served; other paths get 404."""

        async def scenario() -> None:
            address = f"127.0.0.1:{free_port()}"
            server = MetricsServer(_sample_metrics(), address)
            await server.start()
            async with ClientSession() as session:
                async with session.get(f"http://{address}{METRICS_PATH}") as response:
                    text = await response.text()
                    assert response.status == 200
                async with session.get(f"http://{address}/other") as response:
                    assert response.status == 404
            await server.stop()
            assert "foldloom_claims_held 2.5" in text

        asyncio.run(scenario())

    def test_address_in_use(self) -> None:
        """An address in use does not raise, and the first server keeps serving."""

        async def scenario() -> None:
            address = f"127.0.0.1:{free_port()}"
            first, second = (
                MetricsServer(_sample_metrics(), address),
                MetricsServer(Metrics(), address),
            )
            await first.start()
            await second.start()
            await second.stop()
            url = f"http://{address}{METRICS_PATH}"
            async with ClientSession() as session, session.get(url) as response:
                assert "foldloom_claims_held 2.5" in await response.text()
            await first.stop()

        asyncio.run(scenario())

    def test_no_address(self) -> None:
        """Without an address, the server starts and stops without listening."""

        async def scenario() -> None:
            server = MetricsServer(Metrics(), "")
            await server.start()
            await server.stop()

        asyncio.run(scenario())
