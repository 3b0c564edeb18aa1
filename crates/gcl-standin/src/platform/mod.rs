//! The platform's stand-in: its key-value service, and its lagging list of VMs.
//!
//! It speaks the etcd v3 JSON gateway, keeps everything in memory and shows faults on demand.

pub mod command;
pub mod fault;
mod http;
pub mod load;
pub mod server;
pub mod store;
mod watch;

pub use server::{Options, Outcome, Platform, Server};
