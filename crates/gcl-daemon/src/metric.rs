//! Passes the reducer's measurements to the `metrics` library.

use gcl_core::metric::Metric;
use metrics::{SharedString, counter, gauge, histogram};

/// Records one measurement.
pub fn report(metric: Metric) {
    match metric {
        Metric::Count { name, label, by } => {
            counter!(text(name), labels(label)).increment(by);
        }
        Metric::Gauge { name, label, value } => gauge!(text(name), labels(label)).set(value),
        Metric::Observe { name, label, value } => {
            histogram!(text(name), labels(label)).record(value.as_secs_f64());
        }
    }
}

fn text(name: compact_str::CompactString) -> SharedString {
    SharedString::from(name.into_string())
}

fn labels(label: compact_str::CompactString) -> Vec<metrics::Label> {
    if label.is_empty() {
        return Vec::new();
    }
    vec![metrics::Label::new("name", label.into_string())]
}
