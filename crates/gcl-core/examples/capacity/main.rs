//! Measures the control cost of one daemon, by feeding events to its reducer in simulated time.
//!
//! `cargo run --release -p gcl-core --example capacity` prints one table for each activity. Counts
//! and bytes are reproducible for equal seeds; times are wall-clock times of the computer in use.

mod driver;
mod fleet;
#[path = "../../tests/core/platform.rs"]
mod platform;
mod scaling;

fn main() {
    scaling::membership();
    scaling::domain();
    scaling::group();
    scaling::configuration();
    scaling::requests();
    scaling::limits();
    scaling::relay();
}
