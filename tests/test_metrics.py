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

    def test_labels_of_a_counter_beyond_the_limit_share_one(self) -> None:
        """Guards against memory, and lines to scrape, for each workspace ever seen."""
        metrics = Metrics()
        metrics.count("calls", label="first")
        for i in range(2000):
            metrics.count("quota_refused", label=f"w{i}")
        metrics.count("quota_refused", label="w0")
        metrics.count("calls", label="second")
        text = metrics.prometheus_text()
        rows = [line for line in text.splitlines() if "quota_refused" in line]
        self.assertLessEqual(len(rows), 513)
        self.assertEqual(2001, sum(int(row.split()[-1]) for row in rows))
        self.assertEqual(2, metrics.counter("quota_refused", label="w0"))
        self.assertEqual(1488, metrics.counter("quota_refused", label="other"))
        self.assertEqual(1, metrics.counter("calls", label="second"))

    def test_counters_are_rendered_in_the_prometheus_format(self) -> None:
        metrics = Metrics()
        metrics.count("retries", label="queue_full", by=2)
        text = metrics.prometheus_text()
        self.assertIn('burdockdock_retries_total{kind="queue_full"} 2', text)
