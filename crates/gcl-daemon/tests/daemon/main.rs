//! Tests of the daemon's parts, one module for each.

mod caller;
mod echo;
mod peer;
