//! Measurements that the reducer reports to the metrics exporter.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One measurement; `label` is the value of the metric's single label, empty for none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Metric {
    /// Adds to a counter.
    Count {
        /// The metric's name.
        name: CompactString,
        /// The label's value.
        label: CompactString,
        /// The increment.
        by: u64,
    },
    /// Sets a gauge.
    Gauge {
        /// The metric's name.
        name: CompactString,
        /// The label's value.
        label: CompactString,
        /// The value.
        value: f64,
    },
    /// Adds a duration to a histogram.
    Observe {
        /// The metric's name.
        name: CompactString,
        /// The label's value.
        label: CompactString,
        /// The duration.
        value: Duration,
    },
}
