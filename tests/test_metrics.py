"""Tests of counters and histograms."""

import testtools

from burdockdock.metrics import Metrics


class MetricsTest(testtools.TestCase):
    """Tests of the metrics that operators scrape."""

    def test_workspaces_beyond_the_limit_share_a_histogram(self) -> None:
        metrics = Metrics()
        for i in range(2000):
            metrics.record_latency("call", 0.01, workspace=f"t{i}", traffic_class='c"1')
        rows = metrics.quantiles()
        self.assertLessEqual(len(rows), 513)
        self.assertEqual(2000, sum(row["count"] for row in rows))
        self.assertIn('class="c\\"1"', metrics.prometheus_text())

    def test_counters_are_rendered_in_the_prometheus_format(self) -> None:
        metrics = Metrics()
        metrics.count("retries", label="queue_full", by=2)
        text = metrics.prometheus_text()
        self.assertIn('burdockdock_retries_total{kind="queue_full"} 2', text)
