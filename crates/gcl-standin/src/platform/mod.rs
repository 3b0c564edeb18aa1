//! Stand-in for the platform: its key-value service, and its list of VMs, which may lag.
//!
//! It implements the JSON gateway of etcd v3, keeps all state in memory and injects faults on
//! request.

pub mod command;
pub mod fault;
mod http;
pub mod load;
pub mod server;
pub mod store;
mod watch;

pub use server::{Options, Outcome, Platform, Server};
