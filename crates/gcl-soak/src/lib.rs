//! A soak of the real daemons: separate processes, faults from outside them, and the promises that
//! callers were given, checked while they run.
//!
//! Daemons run as processes before the stand-in of the users' platform. Every connection of theirs
//! but those among themselves passes a proxy of this crate that delays, resets, cuts or silences it.
//! A plan drawn from a seed says which faults come when; they overlap. Each caller is the only one
//! that writes its items, so it knows what every read of them may show.

pub mod caller;
pub mod plan;
pub mod proxy;
pub mod run;
