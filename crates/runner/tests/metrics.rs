//! The page of metrics of an agent.

use lease::{CLASSES, ClassStats};
use runner::Metrics;

// series by entry, job or data centre would grow with the fleet
#[test]
fn each_metric_by_class_has_one_series_a_class() {
    let metrics = Metrics::default();
    let mut stats = [ClassStats::default(); CLASSES];
    stats[2] = ClassStats { started: 5, returned: 3, waiting: 7, share: 0.25 };
    for _ in 0..3 {
        metrics.set_classes(&stats);
    }
    let page = metrics.page();
    let series = page.lines().filter(|l| l.starts_with("egret_class_")).count();
    assert_eq!(series, 4 * CLASSES, "{page}");
    for line in [
        "egret_class_tasks_started_total{class=\"2\"} 5",
        "egret_class_tasks_returned_total{class=\"2\"} 3",
        "egret_class_tasks_waiting{class=\"2\"} 7",
        "egret_class_use_share{class=\"2\"} 0.25",
    ] {
        assert!(page.lines().any(|l| l == line), "no {line} in {page}");
    }
}
