//! Measures what one daemon's control costs, by feeding events to one reducer in simulated time.
//!
//! `cargo run --release -p gcl-core --example capacity` prints one table for each slope. Counts and
//! bytes repeat for equal seeds; times are wall-clock times of this machine.

mod driver;
mod fleet;
#[path = "../../tests/core/platform.rs"]
mod platform;
mod slopes;

fn main() {
    slopes::membership();
    slopes::domain();
    slopes::group();
    slopes::configuration();
    slopes::requests();
    slopes::limits();
    slopes::spread();
}
