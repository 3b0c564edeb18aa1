//! The parts of the daemon: listeners, clients and the shell around the reducer.

pub mod caller;
