//! A soak test of the real daemons: runs them as separate processes, injects faults from outside,
//! and checks the guarantees given to callers.
//!
//! The daemons run in front of the stand-in for the users' platform. Each of their connections,
//! except those between daemons, passes through a proxy of this crate that can delay, reset or
//! block it. A plan generated from a seed schedules the faults, which may overlap. Each caller is
//! the only writer of its items, so it knows what every read of them may return.

pub mod caller;
pub mod plan;
pub mod proxy;
pub mod run;
