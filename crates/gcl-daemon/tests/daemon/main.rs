//! Tests of the daemon's components, one module each.

mod caller;
mod echo;
mod peer;
