//! Tests of the soak test itself: the schedule of faults, the proxy, and the detection of
//! violations.

mod caller;
mod plan;
mod proxy;
